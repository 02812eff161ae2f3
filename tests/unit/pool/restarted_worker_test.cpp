#include "restarted_worker.hpp"

#include <gtest/gtest.h>

#include <string>

// A worker that starts again under its id runs nothing of before, and its
// clock and the numbers of its ends start anew. What the owner sent to or read
// from its earlier incarnation must not be applied to the new one.
using namespace fuchsia::tests::unit::pool;
namespace core = fuchsia::core;
namespace ports = fuchsia::ports;

namespace
{

/// Time from the submission of a job to a restart of its worker. Most starts
/// are sent 1 to 30 ms after the submission.
constexpr duration restart_offsets[] = {-1500ms,
                                        -700ms,
                                        -300ms,
                                        -100ms,
                                        -20ms,
                                        -1ms,
                                        0ms,
                                        5ms,
                                        10ms,
                                        15ms,
                                        20ms,
                                        25ms,
                                        30ms,
                                        40ms,
                                        60ms,
                                        100ms,
                                        200ms,
                                        400ms,
                                        700ms};

/// Submits a job of each length and restarts the worker `offset` later, or
/// earlier if that is negative.
void submit_and_restart(pool_simulation& simulation, duration offset)
{
    if (offset < 0ms)
    {
        simulation.restart_worker(restarted);
        simulation.run(-offset);
    }
    simulation.submit(0, "short", job_near_restarted(1, 5ms));
    simulation.submit(0, "long", job_near_restarted(2, 1500ms));
    if (offset >= 0ms)
    {
        simulation.run(offset);
        simulation.restart_worker(restarted);
    }
}

} // namespace

// Guards against an idle worker that restarts before a poll notices, is given
// a task and runs it beside another worker: the next poll took the run for one
// of the earlier incarnation.
TEST(pool_restarted_worker, a_run_on_the_new_incarnation_is_not_started_again)
{
    for (auto idle = 0ms; idle <= 1600ms; idle += 100ms)
    {
        pool_simulation simulation(2, 2);
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.run(2s + idle);
        simulation.restart_worker(restarted);
        simulation.submit(0, "a", job_near_restarted(1, 1500ms));
        EXPECT_TRUE(completes(simulation, "a"));
        EXPECT_EQ(simulation.violation(), "");
        EXPECT_EQ(simulation.starts_of({"a", 0, 0, 0}), 1U) << idle.count();
    }
}

// Guards against a poll that acknowledges ends of the earlier incarnation to
// the new one, which forgets its own ends with these numbers: a task that has
// ended there starts again.
TEST(pool_restarted_worker, ends_of_the_new_incarnation_are_not_acknowledged)
{
    for (auto idle = 0ms; idle <= 1600ms; idle += 100ms)
    {
        pool_simulation simulation(2, 2);
        use_first_incarnation(simulation);
        simulation.run(idle);
        simulation.restart_worker(restarted);
        simulation.submit(0, "a", job_near_restarted(1, 5ms));
        EXPECT_TRUE(completes(simulation, "a"));
        EXPECT_EQ(simulation.violation(), "");
        EXPECT_EQ(simulation.starts_of({"a", 0, 0, 0}), 1U) << idle.count();
    }
}

// Guards against tasks that run twice, or are lost, when their worker restarts
// at any step of the way of their start, whether or not the start is answered.
TEST(pool_restarted_worker, restarts_at_each_step_of_a_start)
{
    for (auto const effect : {fault_effect::carried_out,
                              fault_effect::answer_lost,
                              fault_effect::request_lost,
                              fault_effect::executed_late,
                              fault_effect::delayed})
    {
        for (auto const offset : restart_offsets)
        {
            pool_simulation simulation(2, 2);
            use_first_incarnation(simulation);
            simulation.set_late_delay(effect == fault_effect::delayed ? 200ms
                                                                      : 2s);
            fail_next_start(simulation, effect);
            submit_and_restart(simulation, offset);
            bool const completed =
                completes(simulation, "short") && completes(simulation, "long");
            EXPECT_TRUE(completed && simulation.violation().empty())
                << simulation.violation() << " effect "
                << static_cast<int>(effect) << " offset "
                << core::common::to_milliseconds(offset) << " ms";
        }
    }
}

// Guards against tasks that run twice when their worker restarts and a new
// owner takes over at the same time.
TEST(pool_restarted_worker, restarts_beside_an_owner_change)
{
    for (auto const kill_delay : {0ms, 5ms, 20ms, 50ms})
    {
        for (auto const offset : restart_offsets)
        {
            pool_simulation simulation(3, 2);
            use_first_incarnation(simulation);
            submit_and_restart(simulation, offset);
            simulation.run(kill_delay);
            if (auto const owner = simulation.owner())
            {
                simulation.kill(*owner);
                simulation.start(*owner);
            }
            bool const completed =
                completes(simulation, "short") && completes(simulation, "long");
            EXPECT_TRUE(completed && simulation.violation().empty())
                << simulation.violation() << " kill after "
                << kill_delay.count() << " ms, offset "
                << core::common::to_milliseconds(offset) << " ms";
        }
    }
}

// Guards against a lease that is computed by the clock of the earlier
// incarnation, which is ahead: the new one holds the run for longer than the
// owner believes if it is cut off right after the start.
TEST(pool_restarted_worker, a_lease_by_the_earlier_clock_is_waited_for)
{
    std::size_t starts_before_notice = 0;
    for (auto idle = 0ms; idle <= 1600ms; idle += 100ms)
    {
        pool_simulation simulation(2, 2);
        use_first_incarnation(simulation);
        // The clock of the first incarnation gets far ahead.
        simulation.run(20s + idle);
        simulation.restart_worker(restarted);
        simulation.submit(0, "a", long_running_job_near_restarted());
        if (!runs_on_restarted(simulation, "a"))
        {
            continue;
        }
        ++starts_before_notice;
        simulation.run(3ms);
        cut_off(simulation);
        simulation.run(15s);
        EXPECT_EQ(simulation.violation(), "") << idle.count();
        EXPECT_EQ(simulation.running_count({"a", 0, 0, 0}), 1U)
            << "it must run elsewhere once the longest lease is over";
    }
    EXPECT_GT(starts_before_notice, 0U);
}

// Guards against a lease that a poll meant for the earlier incarnation grants
// to the new one, and that the owner forgets when it first hears of that.
TEST(pool_restarted_worker, a_lease_granted_by_a_poll_is_waited_for)
{
    for (auto const delay : {0ms, 50ms, 100ms, 200ms, 400ms, 600ms, 800ms})
    {
        pool_simulation simulation(2, 2);
        use_first_incarnation(simulation);
        simulation.run(20s);
        simulation.submit(0, "busy", long_running_job_near_restarted());
        ASSERT_TRUE(runs_on_restarted(simulation, "busy"));
        simulation.run(1s + delay);
        simulation.restart_worker(restarted);
        simulation.run(200ms);
        simulation.submit(0, "a", long_running_job_near_restarted());
        simulation.run(1500ms);
        cut_off(simulation);
        simulation.run(15s);
        EXPECT_EQ(simulation.violation(), "") << delay.count();
        EXPECT_EQ(simulation.running_count({"a", 0, 0, 0}), 1U);
        EXPECT_EQ(simulation.running_count({"busy", 0, 0, 0}), 1U);
    }
}

// Guards against tasks of a worker that restarts which wait for its answer to
// an order that is never answered.
TEST(pool_restarted_worker, tasks_of_the_earlier_incarnation_start_again)
{
    pool_simulation simulation(2, 2);
    use_first_incarnation(simulation);
    simulation.submit(0, "a", long_running_job_near_restarted());
    ASSERT_TRUE(runs_on_restarted(simulation, "a"));
    simulation.run(500ms);
    simulation.restart_worker(restarted);
    EXPECT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.running_count({"a", 0, 0, 0}) == 1;
        },
        1500ms));
    EXPECT_NE(line_with(simulation, "task_lost", "worker restarted"), "");
}

// Guards against tasks that never run again: their worker restarted behind a
// cut and goes on to write its entry, and each time the owner waited anew for
// the longest lease.
TEST(pool_restarted_worker, heartbeats_behind_a_cut_do_not_delay_its_tasks)
{
    pool_simulation simulation(2, 3);
    use_first_incarnation(simulation);
    simulation.submit(0, "a", long_running_job_near_restarted());
    ASSERT_TRUE(runs_on_restarted(simulation, "a"));
    cut_off(simulation);
    simulation.restart_worker(restarted);
    auto const entry = simulation.store().find("workers/w1")->value;
    for (int heartbeat = 0; heartbeat < 12; ++heartbeat)
    {
        simulation.run(1500ms);
        simulation.store().put("workers/w1", entry);
    }
    EXPECT_EQ(simulation.running_count({"a", 0, 0, 0}), 1U);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against an old owner that goes on without the store beside its
// successor: it counts the answers of a worker that has lost the successor's
// fencing token by a restart.
TEST(pool_restarted_worker, does_not_count_for_an_owner_without_the_store)
{
    pool_simulation simulation(3, 3);
    use_first_incarnation(simulation);
    auto lasting = simple_job(1, 1s);
    lasting.spec = "lasts";
    lasting.steps.front().long_running = true;
    submit_many(simulation, 0, "l", 6, lasting);
    simulation.run(5s);
    auto const old_owner = *simulation.claim_holder();
    // No watch of the old owner may wait at the store, which would answer it
    // with the new claim.
    simulation.store_fault =
        [old_owner](std::size_t instance, ports::kv_operation const& call)
    {
        bool const watch = std::holds_alternative<ports::kv_watch>(call);
        return watch && instance == old_owner ? fault_effect::request_lost
                                              : fault_effect::carried_out;
    };
    simulation.run(1100ms);
    simulation.store_fault =
        [old_owner](std::size_t instance, ports::kv_operation const&)
    {
        return instance == old_owner ? fault_effect::request_lost
                                     : fault_effect::carried_out;
    };
    simulation.run(300ms);
    // The successor never reaches worker 0, and the old owner never worker 2.
    // Worker 1 is reached by the successor before its restart, and by the old
    // owner after it.
    bool has_restarted = false;
    simulation.worker_fault =
        [old_owner, &has_restarted](std::size_t instance,
                                    std::size_t worker,
                                    ports::pool_operation const&)
    {
        bool const old = instance == old_owner;
        bool const passes =
            worker == restarted ? old == has_restarted : old == (worker == 0);
        return passes ? fault_effect::carried_out : fault_effect::request_lost;
    };
    ASSERT_TRUE(simulation.run_until(
        [&simulation, old_owner]
        {
            auto const owner = simulation.owner();
            return owner && *owner != old_owner &&
                   !line_with(simulation, "state_loaded", "roster=3").empty();
        },
        10s));
    simulation.run(50ms);
    simulation.restart_worker(restarted);
    has_restarted = true;
    simulation.run(18s);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a step that never runs: its only allowed worker restarted
// after the policy had issued the ticket, refused the start and was not asked
// for again.
TEST(pool_restarted_worker, a_ticket_of_the_earlier_incarnation_is_renewed)
{
    for (auto delay = 0ms; delay <= 600ms; delay += 20ms)
    {
        pool_simulation simulation(2, 2);
        simulation.require_tickets();
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.run(2s);
        simulation.submit(0, "a", job_near_restarted(1, 1s));
        simulation.run(delay);
        simulation.restart_worker(restarted);
        EXPECT_TRUE(completes(simulation, "a")) << delay.count();
        EXPECT_EQ(simulation.violation(), "");
    }
}

// Guards against tasks that start on a restarted worker by the capacity of the
// earlier incarnation, whose entry is still in the list: the new one may be of
// another kind.
TEST(pool_restarted_worker, nothing_starts_by_the_earlier_entry)
{
    for (auto delay = 0ms; delay <= 1600ms; delay += 50ms)
    {
        pool_simulation simulation(2, 2);
        use_first_incarnation(simulation);
        simulation.run(delay);
        // No watch tells the new entry for a while.
        simulation.store_fault =
            [until = simulation.now() + 2s,
             &simulation](std::size_t, ports::kv_operation const& call)
        {
            auto const* const watch = std::get_if<ports::kv_watch>(&call);
            bool const of_workers =
                watch != nullptr && watch->prefix == "workers/";
            return of_workers && simulation.now() < until
                       ? fault_effect::request_lost
                       : fault_effect::carried_out;
        };
        simulation.run(700ms);
        simulation.restart_worker_as(restarted, {2000, 8000, 0});
        simulation.run_until(
            [&simulation]
            {
                return !line_with(simulation, "worker_restarted", "").empty();
            },
            5s);
        simulation.submit(0, "a", job_near_restarted(8, 1s));
        EXPECT_TRUE(completes(simulation, "a"));
        EXPECT_EQ(simulation.violation(), "") << delay.count();
    }
}
