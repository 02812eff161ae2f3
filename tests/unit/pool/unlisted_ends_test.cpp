#include "pool_simulation.hpp"

#include <gtest/gtest.h>

// A worker lists its ends a limited number at a time. What it does not list yet
// is unknown, not lost.

using namespace fuchsia::tests::unit::pool;
using fuchsia::core::pool::job;
using fuchsia::ports::job_state;
using fuchsia::standins::pool::max_listed_ends;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t jobs = 28;
constexpr std::uint32_t tasks_per_job = 50;
constexpr std::size_t all_tasks = jobs * tasks_per_job;
constexpr std::size_t workers = 2;
static_assert(all_tasks / workers > max_listed_ends);

// Returns a job whose tasks are so small that a worker runs more of them at
// once than it lists ends at a time.
job small_tasks(duration work)
{
    auto result = simple_job(tasks_per_job, work);
    result.steps.front().declared = {10, 10, 0};
    return result;
}

// Starts more tasks on each worker than it lists ends at a time.
void run_small_tasks(pool_simulation& simulation, job const& submitted)
{
    ASSERT_TRUE(run_until_owned(simulation));
    submit_many(simulation, *simulation.owner(), "j", jobs, submitted);
    ASSERT_TRUE(simulation.run_until(
        [&simulation]
        {
            return running_tasks(simulation) == all_tasks;
        }));
}

// Refuses the commits of the present owner for `length`.
void refuse_commits(pool_simulation& simulation, duration length)
{
    auto const until = simulation.now() + length;
    simulation.store_fault =
        [&simulation, until, owner = *simulation.owner()](
            std::size_t instance, ports::kv_operation const& operation)
    {
        bool const refused =
            instance == owner && simulation.now() < until &&
            std::holds_alternative<ports::kv_commit>(operation);
        return refused ? fault_effect::refused : fault_effect::carried_out;
    };
}

bool all_end_as(pool_simulation& simulation,
                std::size_t queried,
                job_state expected)
{
    for (std::size_t number = 0; number < jobs; ++number)
    {
        auto const id = "j" + std::to_string(number);
        auto const ended = simulation.run_until(
            [&simulation, queried, &id, expected]
            {
                return simulation.state(queried, id) == expected;
            });
        if (!ended)
        {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against a second start of tasks whose ends a worker has not listed
// yet, while the store keeps the owner from acknowledging the listed ones.
TEST(pool_unlisted_ends, no_task_starts_again_while_the_store_is_down)
{
    pool_simulation simulation(3, workers);
    run_small_tasks(simulation, small_tasks(3s));
    refuse_commits(simulation, 5s);
    simulation.run(6s);
    EXPECT_TRUE(all_end_as(simulation, 0, job_state::completed));
    EXPECT_EQ(total_starts(simulation), all_tasks);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a second start of tasks that end at once, without any fault.
TEST(pool_unlisted_ends, no_task_starts_again_when_many_end_at_once)
{
    pool_simulation simulation(3, workers);
    run_small_tasks(simulation, small_tasks(3s));
    simulation.run(3s);
    EXPECT_TRUE(all_end_as(simulation, 0, job_state::completed));
    EXPECT_EQ(total_starts(simulation), all_tasks);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a new owner that takes the first list of a worker for all of
// its ends.
TEST(pool_unlisted_ends, no_task_starts_again_after_a_takeover)
{
    for (auto const kill_after :
         {0ms, 1000ms, 2500ms, 2900ms, 2995ms, 3005ms, 3020ms, 3100ms})
    {
        pool_simulation simulation(3, workers);
        run_small_tasks(simulation, small_tasks(3s));
        auto const owner = *simulation.owner();
        simulation.run(kill_after);
        simulation.kill(owner);
        EXPECT_TRUE(
            all_end_as(simulation, other_than(owner), job_state::completed));
        EXPECT_EQ(total_starts(simulation), all_tasks) << kill_after.count();
        EXPECT_EQ(simulation.violation(), "") << kill_after.count();
    }
}

// Guards against a long list that is read too slowly: each poll acknowledges
// the ends of one list and returns the next one.
TEST(pool_unlisted_ends, a_list_is_read_with_each_poll_or_two)
{
    pool_simulation simulation(3, workers);
    run_small_tasks(simulation, small_tasks(3s));
    refuse_commits(simulation, 4s);
    simulation.run(4s);
    std::size_t polls = 0;
    simulation.worker_fault = [&polls](std::size_t,
                                       std::size_t worker,
                                       ports::pool_operation const& operation)
    {
        bool const poll = std::holds_alternative<ports::poll_order>(operation);
        polls += poll && worker == 0 ? 1U : 0U;
        return fault_effect::carried_out;
    };
    EXPECT_TRUE(all_end_as(simulation, 0, job_state::completed));
    auto const lists = all_tasks / workers / max_listed_ends + 1;
    EXPECT_LE(polls, 2 * lists + 1);
}

// Guards against a takeover that is completed after its longest wait for
// workers that do not answer, although one that does has unlisted ends.
TEST(pool_unlisted_ends, a_takeover_waits_for_them_while_the_store_is_down)
{
    pool_simulation simulation(3, workers);
    run_small_tasks(simulation, small_tasks(3s));
    auto const owner = *simulation.owner();
    simulation.run(1s);
    simulation.kill(owner);
    ASSERT_TRUE(simulation.run_until(
        [&simulation]
        {
            auto const holder = simulation.owner();
            return holder && simulation.owner_at(*holder).loaded();
        }));
    refuse_commits(simulation, 12s);
    simulation.run(13s);
    EXPECT_TRUE(
        all_end_as(simulation, other_than(owner), job_state::completed));
    EXPECT_EQ(total_starts(simulation), all_tasks);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against attempts beyond the limit: a new owner must count failures
// that a worker lists later than in its first answer.
TEST(pool_unlisted_ends, failures_listed_late_count_after_a_takeover)
{
    pool_simulation simulation(3, workers);
    auto failing = small_tasks(2s);
    failing.spec += " fail";
    run_small_tasks(simulation, failing);
    for (std::size_t kills = 0; kills < attempts_of_queue; ++kills)
    {
        auto const owner = *simulation.owner();
        simulation.run(1500ms);
        simulation.kill(owner);
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.start(owner);
        simulation.run(1s);
    }
    EXPECT_TRUE(all_end_as(simulation, 0, job_state::failed));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a task that is blamed for the crash of a worker on which it
// had ended before: the worker had not listed the end yet.
TEST(pool_unlisted_ends, a_task_that_has_ended_is_not_blamed_for_a_crash)
{
    pool_simulation simulation(3, workers);
    run_small_tasks(simulation, small_tasks(3s));
    refuse_commits(simulation, 8s);
    simulation.run(4s);
    ASSERT_EQ(running_tasks(simulation), 0U);
    auto const owner = *simulation.owner();
    simulation.restart_worker(0);
    simulation.run(2s);
    EXPECT_EQ(simulation.owner_at(owner).counters().tasks_blamed, 0U);
    EXPECT_TRUE(all_end_as(simulation, 0, job_state::completed));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a cancelled job that never ends, or runs again, because the
// ends of its tasks were not listed when it was cancelled.
TEST(pool_unlisted_ends, a_job_with_unlisted_ends_can_be_cancelled)
{
    pool_simulation simulation(3, workers);
    run_small_tasks(simulation, small_tasks(3s));
    auto const owner = *simulation.owner();
    refuse_commits(simulation, 6s);
    simulation.run(4s);
    ASSERT_EQ(running_tasks(simulation), 0U);
    // The simulated workers list ends of one moment in the order of their jobs.
    std::string const last = "j9";
    simulation.cancel(other_than(owner), last);
    EXPECT_TRUE(simulation.run_until(
        [&]
        {
            return simulation.state(other_than(owner), last) ==
                   job_state::cancelled;
        }));
    simulation.run(3s);
    EXPECT_EQ(total_starts(simulation), all_tasks);
    EXPECT_EQ(simulation.violation(), "");
}
