#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
using fuchsia::ports::job_state;
namespace ports = fuchsia::ports;

namespace
{

// Drops all calls of instance `owner` to the store from now on.
void disconnect_from_store(pool_simulation& simulation, std::size_t owner)
{
    simulation.store_fault =
        [owner](std::size_t instance, ports::kv_operation const&)
    {
        return instance == owner ? fault_effect::request_lost
                                 : fault_effect::carried_out;
    };
}

// For `period` only instance `owner` reaches worker `isolated`.
void isolate_worker(pool_simulation& simulation,
                    std::size_t isolated,
                    std::size_t owner,
                    duration period)
{
    auto const until = simulation.now() + period;
    simulation.worker_fault =
        [&simulation, isolated, owner, until](std::size_t instance,
                                              std::size_t worker,
                                              ports::pool_operation const&)
    {
        bool const lost =
            worker == isolated && instance != owner && simulation.now() < until;
        return lost ? fault_effect::request_lost : fault_effect::carried_out;
    };
}

bool completes(pool_simulation& simulation,
               std::size_t queried,
               std::string const& id,
               duration timeout = 30s)
{
    return simulation.run_until(
        [&simulation, queried, &id]
        {
            return simulation.state(queried, id) == job_state::completed;
        },
        timeout);
}

} // namespace

// Guards against a job that does not complete although nothing fails.
TEST(pool_takeover, a_job_completes_without_faults)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const request = simulation.submit(1, "a", chained_job(300ms));
    simulation.run(50ms);
    ASSERT_TRUE(simulation.answer(request).has_value());
    EXPECT_TRUE(std::holds_alternative<ports::job_accepted>(
        *simulation.answer(request)));
    EXPECT_TRUE(completes(simulation, 2, "a"));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against tasks that run twice because the killed owner had not stored
// their ends.
TEST(pool_takeover, a_killed_owner_causes_no_lost_or_repeated_task)
{
    for (auto const kill_after :
         {100ms, 290ms, 305ms, 320ms, 400ms, 610ms, 640ms})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.submit(1, "a", chained_job(300ms));
        simulation.run(kill_after);
        auto const owner = *simulation.owner();
        simulation.kill(owner);
        EXPECT_TRUE(completes(simulation, other_than(owner), "a"));
        EXPECT_EQ(simulation.violation(), "")
            << "killed after " << kill_after.count();
    }
}

// Guards against the loss or repetition of work that workers did while there
// was no owner.
TEST(pool_takeover, no_task_is_lost_or_repeated_after_a_kill_of_all_instances)
{
    for (auto const kill_after : {100ms, 305ms, 610ms})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.submit(1, "a", chained_job(300ms));
        simulation.run(kill_after);
        for (std::size_t number = 0; number < 3; ++number)
        {
            simulation.kill(number);
        }
        simulation.run(1s);
        for (std::size_t number = 0; number < 3; ++number)
        {
            simulation.start(number);
        }
        EXPECT_TRUE(completes(simulation, 0, "a"));
        EXPECT_EQ(simulation.violation(), "")
            << "killed after " << kill_after.count();
    }
}

// Guards against a second run of tasks on a worker that only the old owner
// reaches.
TEST(pool_takeover, a_worker_that_the_successor_cannot_reach_keeps_its_tasks)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", simple_job(8, 20s));
    simulation.run(500ms);
    ASSERT_GT(simulation.worker(0).running(), 0U);
    auto const owner = *simulation.owner();
    simulation.worker_fault = [owner](std::size_t instance,
                                      std::size_t worker,
                                      ports::pool_operation const&)
    {
        bool const lost = worker == 0 && instance != owner;
        return lost ? fault_effect::request_lost : fault_effect::carried_out;
    };
    disconnect_from_store(simulation, owner);
    EXPECT_TRUE(completes(simulation, other_than(owner), "a", 60s));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against an old owner that keeps sending orders beside its successor
// because no worker it reaches has seen the new fencing token.
TEST(pool_takeover, an_owner_without_a_quorum_of_workers_stops)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", simple_job(8, 20s));
    simulation.run(500ms);
    ASSERT_GT(simulation.worker(0).running(), 0U);
    auto const owner = *simulation.owner();
    simulation.worker_fault = [owner](std::size_t instance,
                                      std::size_t worker,
                                      ports::pool_operation const&)
    {
        bool const passes = (worker == 0) == (instance == owner);
        return passes ? fault_effect::carried_out : fault_effect::request_lost;
    };
    disconnect_from_store(simulation, owner);
    EXPECT_TRUE(completes(simulation, other_than(owner), "a", 60s));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against long-running tasks that stop or restart while the store does
// not answer.
TEST(pool_takeover, long_running_tasks_survive_a_long_store_outage)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto job = simple_job(6, 1s);
    job.steps.front().long_running = true;
    job.spec = "lasts";
    simulation.submit(1, "a", job);
    simulation.run(500ms);
    simulation.store_fault = [](std::size_t, ports::kv_operation const&)
    {
        return fault_effect::request_lost;
    };
    simulation.run(30s);
    std::size_t running = 0;
    std::size_t started = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        running += simulation.worker(number).running();
        started += simulation.worker(number).started_runs().size();
    }
    EXPECT_EQ(running, 6U);
    EXPECT_EQ(started, 6U);
}

// Guards against orders that an owner sends by outdated state after it was
// frozen and replaced.
TEST(pool_takeover, orders_of_an_owner_that_was_frozen_have_no_effect)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", chained_job(1s));
    simulation.run(300ms);
    auto const owner = *simulation.owner();
    simulation.freeze(owner, 4s);
    EXPECT_TRUE(completes(simulation, other_than(owner), "a"));
    simulation.run(5s);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against two owners that schedule the same jobs because the first does
// not notice the loss of its claim.
TEST(pool_takeover, a_job_runs_once_although_its_owner_lost_the_claim)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", chained_job(1s));
    simulation.run(300ms);
    simulation.store().expire_key("pool/claim");
    EXPECT_TRUE(completes(simulation, 0, "a"));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against instances that schedule no more and use up the connections
// that a worker accepts, so that the next owner can't reach it.
TEST(pool_takeover, an_owner_that_lost_the_claim_releases_the_workers)
{
    pool_simulation simulation;
    auto const another_works = [&simulation](std::optional<std::size_t> former)
    {
        return simulation.run_until(
            [&simulation, former]
            {
                auto const working = simulation.working_owner();
                return working && working != former;
            },
            30s);
    };
    ASSERT_TRUE(another_works({}));
    auto const former = *simulation.working_owner();
    ASSERT_TRUE(simulation.uses_workers(former));
    disconnect_from_store(simulation, former);
    ASSERT_TRUE(another_works(former));
    EXPECT_FALSE(simulation.uses_workers(former));
    EXPECT_TRUE(simulation.uses_workers(*simulation.working_owner()));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a planned stop after which no task starts until a lease has
// expired.
TEST(pool_takeover, a_planned_stop_hands_the_claim_over_within_200_ms)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.submit(other_than(owner), "a", simple_job(4, 2s));
    simulation.run(300ms);
    simulation.stop(owner);
    auto const claim_moved = [&simulation, owner]
    {
        return simulation.owner() && *simulation.owner() != owner;
    };
    EXPECT_TRUE(simulation.run_until(claim_moved, 200ms));
    EXPECT_TRUE(simulation.run_until(
        [&simulation, owner]
        {
            return simulation.stopped(owner);
        },
        6s));
    EXPECT_TRUE(completes(simulation, other_than(owner), "a"));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a killed owner that is replaced later than its claim's lease
// ends.
TEST(pool_takeover, a_killed_owner_is_replaced_within_1500_ms)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.kill(owner);
    EXPECT_TRUE(simulation.run_until(
        [&simulation, owner]
        {
            return simulation.owner() && *simulation.owner() != owner;
        },
        1500ms));
}

// Guards against an attempt too many: a failure that is reported only after the
// next run has started would not be counted.
TEST(pool_takeover, a_failure_reported_after_the_next_start_is_counted)
{
    // The failure is reported during the second run and after it.
    for (auto const isolated_for : {1100ms, 3500ms})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        auto const owner = *simulation.owner();
        auto job = simple_job(1, 900ms);
        job.spec += " fail";
        simulation.submit(other_than(owner), "a", job);
        simulation.run(500ms);
        ASSERT_GT(simulation.worker(0).running(), 0U);
        disconnect_from_store(simulation, owner);
        isolate_worker(simulation, 0, owner, isolated_for);
        auto const queried = other_than(owner);
        EXPECT_TRUE(simulation.run_until(
            [&simulation, queried]
            {
                return simulation.state(queried, "a") == job_state::failed;
            }));
        EXPECT_EQ(total_starts(simulation), 3U) << isolated_for.count();
        EXPECT_EQ(simulation.violation(), "");
    }
}

// Guards against a stop of a running step whose predecessor's end is reported
// after it.
TEST(pool_takeover, a_running_step_survives_the_later_end_of_its_predecessor)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto job = simple_job(1, 700ms);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    job.spec = "work=3000";
    simulation.submit(other_than(owner), "a", job);
    simulation.run(300ms);
    ASSERT_GT(simulation.worker(0).running(), 0U);
    simulation.store().put("operators/out/even", "");
    simulation.run(2600ms);
    disconnect_from_store(simulation, owner);
    isolate_worker(simulation, 0, owner, 3s);
    simulation.run(500ms);
    ASSERT_EQ(simulation.worker(1).running(), 1U);
    EXPECT_TRUE(completes(simulation, other_than(owner), "a"));
    EXPECT_EQ(total_starts(simulation), 2U);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against an attempt too few: a failure that is reported to two owners
// would be counted twice.
TEST(pool_takeover, a_failure_reported_twice_is_counted_once)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto job = simple_job(1, 300ms);
    job.spec += " fail";
    simulation.submit(other_than(owner), "a", job);
    simulation.worker_fault = [&simulation, owner](std::size_t instance,
                                                   std::size_t,
                                                   ports::pool_operation const&)
    {
        bool const written = simulation.store().find("progress/a").has_value();
        return written && instance == owner ? fault_effect::request_lost
                                            : fault_effect::carried_out;
    };
    ASSERT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.store().find("progress/a").has_value();
        }));
    simulation.kill(owner);
    auto const queried = other_than(owner);
    EXPECT_TRUE(simulation.run_until(
        [&simulation, queried]
        {
            return simulation.state(queried, "a") == job_state::failed;
        }));
    EXPECT_EQ(total_starts(simulation), 3U);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a worker that lost the successor's fencing token in a restart
// and carries out orders of the previous owner.
TEST(pool_takeover, a_restarted_worker_obeys_no_replaced_owner)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const old_owner = *simulation.owner();
    bool old_owner_isolated = false;
    bool restarted = false;
    bool last_worker_reachable = false;
    // The old owner reaches only the restarted worker, the successor only the
    // other workers.
    simulation.worker_fault = [&](std::size_t instance,
                                  std::size_t worker,
                                  ports::pool_operation const& call)
    {
        auto const* const start = std::get_if<ports::start_order>(&call);
        if (start != nullptr && start->attempt_id.task.job == "a" && !restarted)
        {
            return fault_effect::refused;
        }
        bool const lost =
            instance == old_owner
                ? old_owner_isolated && (worker != 0 || !restarted)
                : (worker == 0 && restarted) ||
                      (worker == 3 && !last_worker_reachable);
        return lost ? fault_effect::request_lost : fault_effect::carried_out;
    };
    simulation.submit(other_than(old_owner), "busy", simple_job(16, 60s));
    simulation.submit(other_than(old_owner), "a", simple_job(4, 20s));
    // A watch that is already pending may still be answered.
    simulation.store_fault =
        [old_owner](std::size_t at, ports::kv_operation const& call)
    {
        return at == old_owner && watches_jobs(call)
                   ? fault_effect::request_lost
                   : fault_effect::carried_out;
    };
    simulation.run(1500ms);
    disconnect_from_store(simulation, old_owner);
    simulation.run(800ms);
    old_owner_isolated = true;
    ASSERT_TRUE(simulation.run_until(
        [&simulation, old_owner]
        {
            return simulation.owner() && *simulation.owner() != old_owner;
        },
        2s));
    simulation.run(100ms);
    simulation.restart_worker(0);
    restarted = true;
    simulation.run(2s);
    last_worker_reachable = true;
    simulation.run(5s);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a state read whose slow answer is discarded for that of a
// later read which is as slow.
TEST(pool_takeover, a_slow_answer_to_a_state_read_is_used)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.store_fault = [](std::size_t, ports::kv_operation const& call)
    {
        auto const* const page = std::get_if<ports::kv_range>(&call);
        bool const jobs = page != nullptr && page->prefix == "pool/";
        return jobs ? fault_effect::delayed : fault_effect::carried_out;
    };
    simulation.kill(owner);
    EXPECT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.owner().has_value();
        },
        1500ms + 2100ms));
}
