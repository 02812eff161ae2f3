#include "pool_simulation.hpp"

#include "core/pool/progress.hpp"

#include <gtest/gtest.h>

// Tasks that crash the workers that start them, and tasks that only run beside.
using namespace fuchsia::tests::unit::pool;
using fuchsia::ports::job_state;
namespace core = fuchsia::core;
namespace ports = fuchsia::ports;

namespace
{

// Time of day at time zero of a simulation.
constexpr std::int64_t unix_offset_ms = 1'700'000'000'000;
constexpr std::size_t most_crashes = 5; // One more start breaks the budget.

/// Returns a job whose task with this index crashes each worker that starts
/// it.
core::pool::job crashing_job(std::uint32_t count = 1,
                             std::uint32_t culprit = 0,
                             std::uint32_t after_ms = 10)
{
    auto result = simple_job(count, 500ms);
    result.spec += " crash crash_index=" + std::to_string(culprit) +
                   " crash_after=" + std::to_string(after_ms);
    return result;
}

core::pool::job lasting_job(std::uint32_t count)
{
    auto result = simple_job(count, 500ms);
    result.spec += " lasts";
    result.steps.front().long_running = true;
    return result;
}

bool ends_as(pool_simulation& simulation,
             std::string const& id,
             job_state expected,
             duration timeout = 60s)
{
    return simulation.run_until(
        [&simulation, &id, expected]
        {
            auto const owner = simulation.owner();
            return owner && simulation.state(*owner, id) == expected;
        },
        timeout);
}

/// Returns the number of the worker that runs the task.
std::optional<std::size_t> worker_of(pool_simulation& simulation,
                                     ports::task_name const& task)
{
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        if (simulation.worker(number).runs(task))
        {
            return number;
        }
    }
    return std::nullopt;
}

bool runs(pool_simulation& simulation, ports::task_name const& task)
{
    return simulation.run_until(
        [&simulation, &task]
        {
            return worker_of(simulation, task).has_value();
        });
}

/// Returns the number of crashes for which the owner blames the task.
std::uint32_t blamed_crashes(pool_simulation& simulation,
                             ports::task_name const& task)
{
    auto const detail = simulation.owner_at(*simulation.owner())
                            .describe(simulation.now(), task.job);
    for (auto const& row : detail->tasks)
    {
        if (row.name == task)
        {
            return row.crashes;
        }
    }
    return 0;
}

bool accepted(pool_simulation const& simulation, std::uint64_t request)
{
    auto const answer = simulation.answer(request);
    return answer && std::holds_alternative<ports::job_accepted>(*answer);
}

bool logged(pool_simulation const& simulation, std::string const& event)
{
    return std::any_of(simulation.log().begin(),
                       simulation.log().end(),
                       [&event](logged_line const& line)
                       {
                           return line.what.event == event;
                       });
}

} // namespace

// Guards against a task that crashes one worker after the other without end.
TEST(pool_crashes, a_task_that_crashes_its_workers_is_given_up)
{
    for (bool const same_id : {false, true})
    {
        pool_simulation simulation;
        simulation.set_crash_recovery(3s, same_id);
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.submit(1, "a", crashing_job());
        EXPECT_TRUE(ends_as(simulation, "a", job_state::failed));
        EXPECT_EQ(simulation.violation(), "");
    }
}

// Guards against crashes that no poll goes unanswered for: only the new
// incarnation shows them.
TEST(pool_crashes, a_crash_that_only_the_new_incarnation_shows_counts)
{
    pool_simulation simulation;
    simulation.set_crash_recovery(20ms, true);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", crashing_job());
    EXPECT_TRUE(ends_as(simulation, "a", job_state::failed));
    EXPECT_LE(simulation.crashes_by({"a", 0, 0, 0}), most_crashes);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a task that crashes its workers late and is taken for cleared
// each time.
TEST(pool_crashes, a_task_that_crashes_its_workers_late_is_given_up)
{
    for (std::uint32_t const after_ms : {400, 1700, 4000})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        auto late = crashing_job(1, 0, after_ms);
        late.spec = "work=9000 crash crash_after=" + std::to_string(after_ms);
        simulation.submit(1, "a", late);
        EXPECT_TRUE(ends_as(simulation, "a", job_state::failed));
        EXPECT_LE(simulation.crashes_by({"a", 0, 0, 0}), most_crashes);
        EXPECT_EQ(simulation.violation(), "") << after_ms;
    }
}

// Guards against jobs that are shown as failed because another job's task
// crashed the workers that they ran on.
TEST(pool_crashes, bystanders_complete)
{
    pool_simulation simulation(3, 8);
    ASSERT_TRUE(run_until_owned(simulation));
    submit_many(simulation, 1, "beside", 12, simple_job(4, 1500ms));
    simulation.submit(1, "a", crashing_job());
    simulation.submit(1, "b", crashing_job(4, 2));
    submit_many(simulation, 1, "later", 12, simple_job(4, 1500ms));
    EXPECT_TRUE(ends_as(simulation, "a", job_state::failed));
    EXPECT_TRUE(ends_as(simulation, "b", job_state::failed));
    for (std::string const name : {"beside", "later"})
    {
        for (int number = 0; number < 12; ++number)
        {
            EXPECT_TRUE(ends_as(simulation,
                                name + std::to_string(number),
                                job_state::completed));
        }
    }
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a task that is given up for crashes of its workers that it
// survived by far in between.
TEST(pool_crashes, a_task_that_outlives_its_last_crash_is_cleared)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", lasting_job(1));
    ports::task_name const task{"a", 0, 0, 0};
    for (auto const age : {300ms, 2000ms, 5000ms, 11000ms, 16000ms, 16000ms})
    {
        ASSERT_TRUE(runs(simulation, task));
        simulation.run(age);
        simulation.crash_worker(*worker_of(simulation, task));
    }
    EXPECT_TRUE(runs(simulation, task));
    EXPECT_EQ(simulation.state(*simulation.owner(), "a"), job_state::active);
    EXPECT_TRUE(logged(simulation, "task_cleared"));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against tasks that are blamed when a whole rack is lost.
TEST(pool_crashes, no_task_is_to_blame_for_a_lost_rack)
{
    for (bool const same_id : {false, true})
    {
        pool_simulation simulation(3, 8);
        simulation.set_crash_recovery(1500ms, same_id);
        ASSERT_TRUE(run_until_owned(simulation));
        submit_many(simulation, 1, "a", 8, lasting_job(2));
        for (int loss = 0; loss < 5; ++loss)
        {
            simulation.run(loss == 0 ? 3s : 6s);
            for (std::size_t number = loss % 2; number < 8; number += 2)
            {
                simulation.crash_worker(number);
            }
        }
        simulation.run(6s);
        EXPECT_FALSE(logged(simulation, "job_crashes_workers"));
        for (auto const& line : simulation.log())
        {
            if (line.what.event == "worker_lost")
            {
                EXPECT_NE(text_of(line).find("blamed=0"), std::string::npos)
                    << text_of(line);
            }
        }
        EXPECT_EQ(simulation.violation(), "");
    }
}

// Guards against tasks that are blamed when their worker was only cut off.
TEST(pool_crashes, blame_for_a_worker_that_returns_is_withdrawn)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", lasting_job(1));
    ports::task_name const task{"a", 0, 0, 0};
    std::optional<std::size_t> cut;
    simulation.worker_fault =
        [&cut](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == cut ? fault_effect::request_lost
                             : fault_effect::carried_out;
    };
    for (int round = 0; round < 5; ++round)
    {
        ASSERT_TRUE(runs(simulation, task));
        simulation.run(300ms);
        cut = worker_of(simulation, task);
        simulation.run_until(
            [&simulation, &task]
            {
                return blamed_crashes(simulation, task) == 1;
            },
            10s);
        EXPECT_EQ(blamed_crashes(simulation, task), 1U);
        cut.reset();
        simulation.run(700ms);
        EXPECT_EQ(blamed_crashes(simulation, task), 0U);
    }
    EXPECT_TRUE(logged(simulation, "blame_withdrawn"));
    EXPECT_EQ(simulation.state(*simulation.owner(), "a"), job_state::active);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against tasks that are blamed when their worker left as announced.
TEST(pool_crashes, no_task_is_to_blame_for_a_planned_end)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", lasting_job(1));
    ports::task_name const task{"a", 0, 0, 0};
    for (int round = 0; round < 5; ++round)
    {
        ASSERT_TRUE(runs(simulation, task));
        auto const worker = *worker_of(simulation, task);
        simulation.set_draining(worker);
        simulation.run(1s);
        simulation.crash_worker(worker);
        simulation.run(6s);
    }
    EXPECT_TRUE(runs(simulation, task));
    EXPECT_EQ(simulation.state(*simulation.owner(), "a"), job_state::active);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against crashes that no owner counts because the owner was killed
// between the crash and its notice.
TEST(pool_crashes, crashes_around_takeovers_count)
{
    for (auto const kill_after : {0ms, 30ms, 300ms, 2000ms, 4500ms})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.submit(1, "a", crashing_job());
        ports::task_name const task{"a", 0, 0, 0};
        for (std::size_t crash = 1; crash < most_crashes; ++crash)
        {
            simulation.run_until(
                [&simulation, &task, crash]
                {
                    return simulation.crashes_by(task) >= crash;
                },
                30s);
            simulation.run(kill_after);
            auto const owner = simulation.owner();
            if (owner && crash % 2 == 0)
            {
                simulation.kill(*owner);
                simulation.start(*owner);
            }
        }
        EXPECT_TRUE(ends_as(simulation, "a", job_state::failed));
        EXPECT_LE(simulation.crashes_by(task), most_crashes);
        EXPECT_EQ(simulation.violation(), "") << kill_after.count();
    }
}

// Guards against tasks that exceed their budget of crashes, and against jobs
// beside them that are lost, when the owner is killed between the crashes.
TEST(pool_crashes, crashing_tasks_end_and_all_others_complete_at_a_takeover)
{
    constexpr std::size_t jobs = 40;
    constexpr std::size_t crashing_every = 10;
    for (std::size_t kill_before = 1; kill_before < jobs; kill_before += 3)
    {
        pool_simulation simulation(3, 24);
        simulation.set_crash_recovery(4s, false);
        ASSERT_TRUE(run_until_owned(simulation));
        std::vector<std::uint64_t> requests;
        for (std::size_t number = 0; number < jobs; ++number)
        {
            auto const owner = simulation.owner();
            if (owner && number == kill_before)
            {
                simulation.kill(*owner);
                simulation.start(*owner);
            }
            bool const crashes = number % crashing_every == 0;
            requests.push_back(simulation.submit(
                number % 3,
                "a" + std::to_string(number),
                crashes ? crashing_job(4, 1) : simple_job(4, 1500ms)));
            simulation.run(400ms);
        }
        std::size_t not_accepted = 0;
        for (std::size_t number = 0; number < jobs; ++number)
        {
            auto const name = "a" + std::to_string(number);
            bool const crashes = number % crashing_every == 0;
            if (!accepted(simulation, requests[number]))
            {
                ++not_accepted;
                continue;
            }
            EXPECT_TRUE(
                ends_as(simulation,
                        name,
                        crashes ? job_state::failed : job_state::completed))
                << name << ", owner killed before a" << kill_before;
            EXPECT_LE(simulation.crashes_by({name, 0, 0, 1}), most_crashes);
        }
        // The kill loses no more than one submission.
        EXPECT_LE(not_accepted, 1U);
        EXPECT_EQ(simulation.violation(), "") << kill_before;
    }
}

// Guards against a first crash that is forgotten since its owner was killed
// before the worker's lease was over.
TEST(pool_crashes, a_crash_that_the_killed_owner_saw_as_silence_counts)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", crashing_job());
    ports::task_name const task{"a", 0, 0, 0};
    simulation.run_until(
        [&simulation, &task]
        {
            return simulation.crashes_by(task) == 1;
        });
    simulation.run(2s);
    EXPECT_EQ(blamed_crashes(simulation, task), 0U);
    simulation.kill(*simulation.owner());
    simulation.run_until(
        [&simulation, &task]
        {
            return simulation.starts_of(task) == 2;
        });
    EXPECT_EQ(blamed_crashes(simulation, task), 1U);
}

// Guards against one crash that each successor counts anew while the task
// waits.
TEST(pool_crashes, a_crash_that_was_seen_as_silence_counts_once)
{
    pool_simulation simulation;
    simulation.set_crash_recovery(120s, false);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", crashing_job());
    ports::task_name const task{"a", 0, 0, 0};
    simulation.run_until(
        [&simulation, &task]
        {
            return simulation.crashes_by(task) == 1;
        });
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        simulation.set_capacity(number, {0, 8000, 0});
    }
    simulation.run(2s);
    for (int takeover = 0; takeover < 3; ++takeover)
    {
        auto const owner = *simulation.owner();
        simulation.kill(owner);
        simulation.start(owner);
        simulation.run(12s);
        EXPECT_EQ(blamed_crashes(simulation, task), 1U);
    }
}

// Guards against a long-running task that crashes its workers without end,
// since its failures are not limited.
TEST(pool_crashes, a_long_running_task_that_crashes_its_workers_is_given_up)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto crashing = lasting_job(3);
    crashing.spec += " crash crash_index=1";
    simulation.submit(1, "a", crashing);
    simulation.submit(1, "b", lasting_job(3));
    EXPECT_TRUE(ends_as(simulation, "a", job_state::failed));
    simulation.run(6s);
    EXPECT_EQ(simulation.state(*simulation.owner(), "b"), job_state::active);
    EXPECT_EQ(simulation.running_count({"a", 0, 0, 0}), 0U);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a gang that is started without end since one member crashes
// its worker.
TEST(pool_crashes, a_gang_with_a_crashing_member_is_given_up)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto gang = crashing_job(3, 1);
    gang.spec = "work=60000 crash crash_index=1";
    gang.steps.front().gang = true;
    simulation.submit(1, "a", gang);
    EXPECT_TRUE(ends_as(simulation, "a", job_state::failed));
    EXPECT_LE(simulation.crashes_by({"a", 0, 0, 1}), most_crashes);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a scheduled job whose next occurrence crashes workers again
// after the first one was given up.
TEST(pool_crashes, occurrences_end_with_the_one_that_is_given_up)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto scheduled = crashing_job();
    scheduled.occurrences = 3;
    scheduled.first_unix_ms =
        unix_offset_ms +
        core::common::to_milliseconds(simulation.now().time_since_epoch());
    scheduled.interval_ms = 40'000;
    simulation.submit(1, "a", scheduled);
    EXPECT_TRUE(ends_as(simulation, "a", job_state::failed));
    simulation.run(60s);
    EXPECT_EQ(simulation.starts_of({"a", 1, 0, 0}), 0U);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a best-effort task that crashes its workers without end, and
// against blame on the tasks beside it.
TEST(pool_crashes, a_best_effort_task_that_crashes_its_workers_is_given_up)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    submit_many(simulation, 1, "beside", 3, lasting_job(2));
    simulation.run(3s);
    auto crashing = crashing_job(2, 1);
    crashing.steps.front().best_effort = true;
    simulation.submit(1, "a", crashing);
    EXPECT_TRUE(ends_as(simulation, "a", job_state::failed));
    for (std::string const name : {"beside0", "beside1", "beside2"})
    {
        EXPECT_EQ(simulation.state(*simulation.owner(), name),
                  job_state::active);
    }
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a task of a cancelled job that starts again after its worker
// has crashed.
TEST(pool_crashes, a_job_cancelled_between_two_crashes_starts_no_more)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", crashing_job());
    ports::task_name const task{"a", 0, 0, 0};
    simulation.run_until(
        [&simulation, &task]
        {
            return simulation.crashes_by(task) == 2;
        });
    simulation.cancel(1, "a");
    EXPECT_TRUE(ends_as(simulation, "a", job_state::cancelled));
    simulation.run(20s);
    EXPECT_EQ(simulation.starts_of(task), 2U);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against suspects that start on one worker, where a crash does not show
// which of them is to blame.
TEST(pool_crashes, suspects_start_on_different_workers)
{
    pool_simulation simulation(3, 4);
    ASSERT_TRUE(run_until_owned(simulation));
    submit_many(simulation, 1, "a", 1, lasting_job(3));
    simulation.run(300ms);
    auto const first = *worker_of(simulation, {"a0", 0, 0, 0});
    simulation.crash_worker(first);
    simulation.run(5200ms);
    std::set<std::size_t> workers;
    for (std::uint32_t index = 0; index < 3; ++index)
    {
        auto const worker = worker_of(simulation, {"a0", 0, 0, index});
        ASSERT_TRUE(worker.has_value());
        workers.insert(*worker);
    }
    EXPECT_EQ(workers.size(), 3U);
}

// Guards against counts of crashes that are lost on their way through the
// store.
TEST(pool_crashes, suspects_are_kept_in_the_progress_record)
{
    core::pool::progress saved;
    saved.job = "a";
    core::pool::progress::suspect suspect{0, 1, 2, {}};
    suspect.history.alone = 1;
    suspect.history.shared = 2;
    suspect.history.confirmed = 1;
    suspect.history.longest_lost_run = 1700ms;
    suspect.history.worker = "w1";
    suspect.history.worker_incarnation = 1'700'000'000'123;
    saved.suspects.push_back(suspect);
    core::common::failure reason;
    auto const read = core::pool::parse_progress(to_json(saved), reason);
    ASSERT_TRUE(read.has_value()) << core::common::to_string(reason);
    ASSERT_EQ(read->suspects.size(), 1U);
    auto const& found = read->suspects.front();
    EXPECT_EQ(found.step, 1U);
    EXPECT_EQ(found.index, 2U);
    EXPECT_EQ(found.history.alone, 1U);
    EXPECT_EQ(found.history.shared, 2U);
    EXPECT_EQ(found.history.confirmed, 1U);
    EXPECT_EQ(found.history.longest_lost_run, 1700ms);
    EXPECT_EQ(found.history.worker, "w1");
    EXPECT_EQ(found.history.worker_incarnation, 1'700'000'000'123U);
}

// Guards against records of earlier versions that are rejected, and against
// malformed ones that are accepted.
TEST(pool_crashes, progress_records_without_suspects_are_read)
{
    core::common::failure reason;
    EXPECT_TRUE(core::pool::parse_progress(
                    R"({"job":"a","tasks":[[0,0,1,1,[],""]]})", reason)
                    .has_value());
    for (std::string const row : {R"([0,0,0,1,0,1,10,"w"])",
                                  R"([0,0,0,-1,0,0,10,"w",1])",
                                  R"([0,0,0,1,0,1,10,7,1])",
                                  R"([0,0,0,1,0,1,10,"w",-1])",
                                  R"({})"})
    {
        EXPECT_FALSE(
            core::pool::parse_progress(
                R"({"job":"a","tasks":[],"suspects":[)" + row + "]}", reason)
                .has_value())
            << row;
    }
}
