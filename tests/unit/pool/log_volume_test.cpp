#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

// Time, level, program and the spaces between them; what a collector puts
// before each line.
constexpr std::size_t line_start = 43 + 25;

struct volume
{
    std::size_t lines = 0;
    std::size_t bytes = 0;
};

// Of lines that instance `of` logged since `since`; of one event where one is
// named.
volume written(pool_simulation const& world,
               std::size_t of,
               time_point since,
               std::string const& event = "")
{
    volume made;
    for (auto const& line : world.log())
    {
        bool const counts = line.instance == of && line.when >= since &&
                            (event.empty() || line.what.event == event);
        made.lines += counts ? 1U : 0U;
        made.bytes += counts ? line_start + text_of(line).size() : 0U;
    }
    return made;
}

// The lines of an event that say `what`.
std::vector<std::string> lines_with(pool_simulation const& world,
                                    std::string const& event,
                                    std::string const& what)
{
    std::vector<std::string> found;
    for (auto const& line : world.log())
    {
        auto const text = text_of(line);
        if (line.what.event == event && text.find(what) != std::string::npos)
        {
            found.push_back(text);
        }
    }
    return found;
}

// As long as a real one.
std::string job_id(std::size_t number)
{
    auto const digits = std::to_string(number);
    return std::string(16 - digits.size(), 'a') + digits;
}

fuchsia::core::pool::job failing_job(std::string const& how)
{
    auto made = simple_job(2, 300ms);
    made.spec += " " + how;
    return made;
}

} // namespace

// A line for each failed run filled the output of a pool where a tenth of the
// runs fails, and it held no more than the last seconds.
TEST(pool_log, failures_that_end_no_job_take_few_lines)
{
    constexpr std::size_t jobs_a_second = 15;
    constexpr std::size_t seconds = 20;
    pool_simulation world(2, 40);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    auto const since = world.now();
    for (std::size_t number = 0; number < jobs_a_second * seconds; ++number)
    {
        world.submit(1 - owner, job_id(number), failing_job("fail_first"));
        world.run(1000ms / jobs_a_second);
    }
    auto const runs = world.owner_at(owner).counters().tasks_failed;
    ASSERT_GT(runs, jobs_a_second * seconds);
    auto const single = written(world, owner, since, "task_failed");
    auto const gathered = written(world, owner, since, "tasks_failed");
    EXPECT_LE(single.bytes + gathered.bytes, 100 * seconds)
        << single.lines << " and " << gathered.lines << " lines for " << runs
        << " failed runs";
    EXPECT_GT(gathered.lines, 0U);
}

// A job had failed and no line said on which workers its attempts had been.
TEST(pool_log, names_the_workers_of_all_attempts_of_a_failed_job)
{
    pool_simulation world(2, 4);
    ASSERT_TRUE(run_until_owned(world));
    auto what = failing_job("fail");
    what.steps.front().count = 1;
    world.submit(0, "failing", what);
    ASSERT_TRUE(world.run_until(
        [&world]
        {
            return !lines_with(world, "job_ended", "job=failing").empty();
        }));
    ASSERT_EQ(lines_with(world, "job_failing", "job=failing").size(), 1U);
    auto const failures = lines_with(world, "task_failed", "job=failing");
    ASSERT_FALSE(failures.empty());
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        auto const& begun = world.worker(number).started_runs();
        auto const name = "w" + std::to_string(number);
        EXPECT_TRUE(begun.empty() ||
                    failures.back().find(name) != std::string::npos)
            << name << " is not in " << failures.back();
    }
}

// A takeover wrote a line for each worker that answered, and those took the
// place of what had led to it.
TEST(pool_log, a_takeover_takes_few_lines_however_many_workers_answer)
{
    pool_simulation world(2, 300);
    ASSERT_TRUE(run_until_owned(world));
    auto const old = *world.owner();
    auto const since = world.now();
    world.kill(old);
    ASSERT_TRUE(world.run_until(
        [&world, old, since]
        {
            return written(world, 1 - old, since, "takeover_settled").lines > 0;
        }));
    world.run(3s);
    auto const all = written(world, 1 - old, since);
    EXPECT_LE(all.bytes, 5'000U) << all.lines << " lines";
    EXPECT_FALSE(lines_with(world, "workers_adopted", "").empty());
}

// After a takeover tasks of an unreached worker start late, and only lines of
// those that had been reached said which it was.
TEST(pool_log, names_the_workers_that_a_takeover_did_not_reach)
{
    pool_simulation world(2, 4);
    ASSERT_TRUE(run_until_owned(world));
    auto const old = *world.owner();
    world.run(1s);
    world.worker_fault =
        [](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == 2 ? fault_effect::request_lost
                           : fault_effect::carried_out;
    };
    world.kill(old);
    ASSERT_TRUE(world.run_until(
        [&world]
        {
            return !lines_with(world, "takeover_settled", "unreached=1")
                        .empty();
        }));
    auto const line =
        lines_with(world, "takeover_settled", "unreached=1").front();
    EXPECT_NE(line.find("missing=w2"), std::string::npos) << line;
}

// That a worker had lost its tasks by a restart drowned among takeovers' lines.
TEST(pool_log, tells_a_restarted_worker_by_name)
{
    pool_simulation world(2, 4);
    ASSERT_TRUE(run_until_owned(world));
    world.run(1s);
    world.restart_worker(1);
    EXPECT_TRUE(world.run_until(
        [&world]
        {
            return !lines_with(world, "worker_restarted", "worker=w1 ").empty();
        }));
    EXPECT_EQ(lines_with(world, "worker_restarted", "").size(), 1U);
}

// What kept steps waiting was told each second for each kind of step, in the
// same words for minutes.
TEST(pool_log, says_at_once_why_a_kind_of_step_waits_and_then_seldom)
{
    pool_simulation world(2, 1);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    world.run(1s);
    world.submit(1 - owner, "fills", simple_job(8, 60s));
    world.run(500ms);
    world.submit(1 - owner, "waits", simple_job(1, 1s));
    auto const since = world.now();
    world.run(2s);
    EXPECT_EQ(written(world, owner, since, "steps_wait").lines, 1U);
    world.run(18s);
    auto const told = written(world, owner, since, "steps_wait").lines;
    EXPECT_GE(told, 3U);
    EXPECT_LE(told, 5U);
    world.run(60s);
    auto const again = world.now();
    world.submit(1 - owner, "fills-again", simple_job(8, 60s));
    world.run(500ms);
    world.submit(1 - owner, "waits-again", simple_job(1, 1s));
    world.run(2s);
    EXPECT_EQ(written(world, owner, again, "steps_wait").lines, 1U);
}

// A job had failed right after a takeover, and no line said that its attempts
// were used up: earlier owners had seen them fail.
TEST(pool_log, says_that_a_job_fails_whoever_saw_its_attempts_fail)
{
    std::size_t inherited = 0;
    for (auto after = 0ms; after < 2s; after += 25ms)
    {
        pool_simulation world(2, 4);
        ASSERT_TRUE(run_until_owned(world));
        auto what = failing_job("fail");
        what.steps.front().count = 1;
        world.submit(0, "failing", what);
        world.run(after);
        world.kill(*world.owner());
        ASSERT_TRUE(world.run_until(
            [&world]
            {
                return !lines_with(world, "job_ended", "state=failed").empty();
            }));
        EXPECT_FALSE(lines_with(world, "job_failing", "job=failing").empty())
            << "killed after " << after.count() << " ms";
        inherited += lines_with(world, "job_failing", "inherited=true").size();
    }
    EXPECT_GT(inherited, 0U);
}
