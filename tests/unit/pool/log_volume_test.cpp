#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

// Bytes before the text of each line: time, level, program and the spaces
// between them, and the prefix of a log collector.
constexpr std::size_t line_prefix_bytes = 43 + 25;

struct volume
{
    std::size_t lines = 0;
    std::size_t bytes = 0;
};

// Returns the volume that `instance` has logged since `since`; only lines of
// `event` unless it is empty.
volume written(pool_simulation const& simulation,
               std::size_t instance,
               time_point since,
               std::string const& event = "")
{
    volume total;
    for (auto const& line : simulation.log())
    {
        bool const matches = line.instance == instance && line.when >= since &&
                             (event.empty() || line.what.event == event);
        total.lines += matches ? 1U : 0U;
        total.bytes += matches ? line_prefix_bytes + text_of(line).size() : 0U;
    }
    return total;
}

// Returns the lines of `event` that contain `substring`.
std::vector<std::string> lines_with(pool_simulation const& simulation,
                                    std::string const& event,
                                    std::string const& substring)
{
    std::vector<std::string> found;
    for (auto const& line : simulation.log())
    {
        auto const text = text_of(line);
        if (line.what.event == event &&
            text.find(substring) != std::string::npos)
        {
            found.push_back(text);
        }
    }
    return found;
}

// Returns a job id that is as long as a real one.
std::string job_id(std::size_t number)
{
    auto const digits = std::to_string(number);
    return std::string(16 - digits.size(), 'a') + digits;
}

fuchsia::core::pool::job failing_job(std::string const& failure)
{
    auto job = simple_job(2, 300ms);
    job.spec += " " + failure;
    return job;
}

} // namespace

// Guards against a log that covers only the last seconds: where a tenth of the
// runs fails, a line for each would fill the output.
TEST(pool_log, failures_that_end_no_job_are_logged_as_a_digest)
{
    constexpr std::size_t jobs_per_second = 15;
    constexpr std::size_t seconds = 20;
    pool_simulation simulation(2, 40);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const since = simulation.now();
    for (std::size_t number = 0; number < jobs_per_second * seconds; ++number)
    {
        simulation.submit(1 - owner, job_id(number), failing_job("fail_first"));
        simulation.run(1000ms / jobs_per_second);
    }
    auto const runs = simulation.owner_at(owner).counters().tasks_failed;
    ASSERT_GT(runs, jobs_per_second * seconds);
    auto const single = written(simulation, owner, since, "task_failed");
    auto const digest = written(simulation, owner, since, "tasks_failed");
    EXPECT_LE(single.bytes + digest.bytes, 100 * seconds)
        << single.lines << " and " << digest.lines << " lines for " << runs
        << " failed runs";
    EXPECT_GT(digest.lines, 0U);
}

// Guards against a failed job for which no log line names the workers that its
// attempts ran on.
TEST(pool_log, names_the_workers_of_all_attempts_of_a_failed_job)
{
    pool_simulation simulation(2, 4);
    ASSERT_TRUE(run_until_owned(simulation));
    auto job = failing_job("fail");
    job.steps.front().count = 1;
    simulation.submit(0, "failing", job);
    ASSERT_TRUE(simulation.run_until(
        [&simulation]
        {
            return !lines_with(simulation, "job_ended", "job=failing").empty();
        }));
    ASSERT_EQ(lines_with(simulation, "job_failing", "job=failing").size(), 1U);
    auto const failures = lines_with(simulation, "task_failed", "job=failing");
    ASSERT_FALSE(failures.empty());
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        auto const& started = simulation.worker(number).started_runs();
        auto const name = "w" + std::to_string(number);
        EXPECT_TRUE(started.empty() ||
                    failures.back().find(name) != std::string::npos)
            << name << " is not in " << failures.back();
    }
}

// Guards against a takeover that logs a line for each worker that answers and
// so displaces the lines about its cause.
TEST(pool_log, a_takeover_logs_few_lines_however_many_workers_answer)
{
    pool_simulation simulation(2, 300);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const old_owner = *simulation.owner();
    auto const since = simulation.now();
    simulation.kill(old_owner);
    ASSERT_TRUE(simulation.run_until(
        [&simulation, old_owner, since]
        {
            return written(simulation, 1 - old_owner, since, "takeover_settled")
                       .lines > 0;
        }));
    simulation.run(3s);
    auto const all = written(simulation, 1 - old_owner, since);
    EXPECT_LE(all.bytes, 5'000U) << all.lines << " lines";
    EXPECT_FALSE(lines_with(simulation, "workers_adopted", "").empty());
}

// Guards against a takeover whose log lines name only the workers that were
// reached: tasks of an unreached one start late, and its name is needed.
TEST(pool_log, names_the_workers_that_a_takeover_did_not_reach)
{
    pool_simulation simulation(2, 4);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const old_owner = *simulation.owner();
    simulation.run(1s);
    simulation.worker_fault =
        [](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == 2 ? fault_effect::request_lost
                           : fault_effect::carried_out;
    };
    simulation.kill(old_owner);
    ASSERT_TRUE(simulation.run_until(
        [&simulation]
        {
            return !lines_with(simulation, "takeover_settled", "unreached=1")
                        .empty();
        }));
    auto const line =
        lines_with(simulation, "takeover_settled", "unreached=1").front();
    EXPECT_NE(line.find("missing=w2"), std::string::npos) << line;
}

// Guards against a worker restart, and so a loss of tasks, that can't be found
// among the log lines of takeovers.
TEST(pool_log, names_a_restarted_worker)
{
    pool_simulation simulation(2, 4);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.run(1s);
    simulation.restart_worker(1);
    EXPECT_TRUE(simulation.run_until(
        [&simulation]
        {
            return !lines_with(simulation, "worker_restarted", "worker=w1 ")
                        .empty();
        }));
    EXPECT_EQ(lines_with(simulation, "worker_restarted", "").size(), 1U);
}

// Guards against the same reason for waiting being logged every second, for
// each kind of step, for minutes.
TEST(pool_log, logs_at_once_why_steps_wait_and_then_seldom)
{
    pool_simulation simulation(2, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.run(1s);
    simulation.submit(1 - owner, "fills", simple_job(8, 60s));
    simulation.run(500ms);
    simulation.submit(1 - owner, "waits", simple_job(1, 1s));
    auto const since = simulation.now();
    simulation.run(2s);
    EXPECT_EQ(written(simulation, owner, since, "steps_wait").lines, 1U);
    simulation.run(18s);
    auto const repeated = written(simulation, owner, since, "steps_wait").lines;
    EXPECT_GE(repeated, 3U);
    EXPECT_LE(repeated, 5U);
    simulation.run(60s);
    auto const second_since = simulation.now();
    simulation.submit(1 - owner, "fills-again", simple_job(8, 60s));
    simulation.run(500ms);
    simulation.submit(1 - owner, "waits-again", simple_job(1, 1s));
    simulation.run(2s);
    EXPECT_EQ(written(simulation, owner, second_since, "steps_wait").lines, 1U);
}

// Guards against a job that fails right after a takeover without a log line:
// its attempts were used up under earlier owners.
TEST(pool_log, logs_a_failing_job_whose_attempts_failed_under_earlier_owners)
{
    std::size_t inherited = 0;
    for (auto kill_after = 0ms; kill_after < 2s; kill_after += 25ms)
    {
        pool_simulation simulation(2, 4);
        ASSERT_TRUE(run_until_owned(simulation));
        auto job = failing_job("fail");
        job.steps.front().count = 1;
        simulation.submit(0, "failing", job);
        simulation.run(kill_after);
        simulation.kill(*simulation.owner());
        ASSERT_TRUE(simulation.run_until(
            [&simulation]
            {
                return !lines_with(simulation, "job_ended", "state=failed")
                            .empty();
            }));
        EXPECT_FALSE(
            lines_with(simulation, "job_failing", "job=failing").empty())
            << "killed after " << kill_after.count() << " ms";
        inherited +=
            lines_with(simulation, "job_failing", "inherited=true").size();
    }
    EXPECT_GT(inherited, 0U);
}
