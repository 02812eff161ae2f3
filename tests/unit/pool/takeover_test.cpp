#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
using fuchsia::ports::job_state;
namespace ports = fuchsia::ports;

namespace
{

// From now on `owner` gets nothing through to the store.
void cut_from_store(pool_simulation& world, std::size_t owner)
{
    world.store_fault =
        [owner](std::size_t instance, ports::kv_operation const&)
    {
        return instance == owner ? fault_effect::request_lost
                                 : fault_effect::carried_out;
    };
}

// For this long only `owner` reaches the worker.
void hide_worker(pool_simulation& world,
                 std::size_t hidden,
                 std::size_t owner,
                 duration how_long)
{
    auto const until = world.now() + how_long;
    world.worker_fault =
        [&world, hidden, owner, until](std::size_t instance,
                                       std::size_t worker,
                                       ports::pool_operation const&)
    {
        bool const cut =
            worker == hidden && instance != owner && world.now() < until;
        return cut ? fault_effect::request_lost : fault_effect::carried_out;
    };
}

std::size_t begun_in_all(pool_simulation& world)
{
    std::size_t begun = 0;
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        begun += world.worker(number).started_runs().size();
    }
    return begun;
}

bool completes(pool_simulation& world,
               std::size_t asked,
               std::string const& id,
               duration patience = 30s)
{
    return world.run_until(
        [&world, asked, &id]
        {
            return world.state(asked, id) == job_state::completed;
        },
        patience);
}

} // namespace

// Failure: a job does not run to its end on a calm day.
TEST(pool_takeover, a_calm_job_is_completed)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const request = world.submit(1, "a", chained_job(300ms));
    world.run(50ms);
    ASSERT_TRUE(world.answer(request).has_value());
    EXPECT_TRUE(
        std::holds_alternative<ports::job_accepted>(*world.answer(request)));
    EXPECT_TRUE(completes(world, 2, "a"));
    EXPECT_EQ(world.violation(), "");
}

// Failure: tasks whose ends a killed owner did not write down run twice.
TEST(pool_takeover, a_killed_owner_loses_and_doubles_nothing)
{
    for (auto const when : {100ms, 290ms, 305ms, 320ms, 400ms, 610ms, 640ms})
    {
        pool_simulation world;
        ASSERT_TRUE(run_until_owned(world));
        world.submit(1, "a", chained_job(300ms));
        world.run(when);
        auto const owner = *world.owner();
        world.kill(owner);
        EXPECT_TRUE(completes(world, other_than(owner), "a"));
        EXPECT_EQ(world.violation(), "") << "killed after " << when.count();
    }
}

// Failure: what workers did while nobody owned is lost or run again.
TEST(pool_takeover, all_instances_killed_at_once)
{
    for (auto const when : {100ms, 305ms, 610ms})
    {
        pool_simulation world;
        ASSERT_TRUE(run_until_owned(world));
        world.submit(1, "a", chained_job(300ms));
        world.run(when);
        for (std::size_t number = 0; number < 3; ++number)
        {
            world.kill(number);
        }
        world.run(1s);
        for (std::size_t number = 0; number < 3; ++number)
        {
            world.start(number);
        }
        EXPECT_TRUE(completes(world, 0, "a"));
        EXPECT_EQ(world.violation(), "") << "killed after " << when.count();
    }
}

// Failure: tasks of a worker that a successor can't reach run twice.
TEST(pool_takeover, a_worker_that_the_successor_cannot_reach_keeps_its_tasks)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    world.submit(1, "a", simple_job(8, 20s));
    world.run(500ms);
    ASSERT_GT(world.worker(0).running(), 0U);
    auto const owner = *world.owner();
    world.worker_fault = [owner](std::size_t instance,
                                 std::size_t worker,
                                 ports::pool_operation const&)
    {
        bool const cut = worker == 0 && instance != owner;
        return cut ? fault_effect::request_lost : fault_effect::carried_out;
    };
    cut_from_store(world, owner);
    EXPECT_TRUE(completes(world, other_than(owner), "a", 60s));
    EXPECT_EQ(world.violation(), "");
}

// Failure: an owner that nobody tells of its successor goes on beside it.
TEST(pool_takeover, an_owner_alone_with_one_worker_gives_up)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    world.submit(1, "a", simple_job(8, 20s));
    world.run(500ms);
    ASSERT_GT(world.worker(0).running(), 0U);
    auto const owner = *world.owner();
    world.worker_fault = [owner](std::size_t instance,
                                 std::size_t worker,
                                 ports::pool_operation const&)
    {
        bool const passes = (worker == 0) == (instance == owner);
        return passes ? fault_effect::carried_out : fault_effect::request_lost;
    };
    cut_from_store(world, owner);
    EXPECT_TRUE(completes(world, other_than(owner), "a", 60s));
    EXPECT_EQ(world.violation(), "");
}

// Failure: lasting tasks stop while the store is away.
TEST(pool_takeover, tasks_outlive_a_long_outage_of_the_store)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto what = simple_job(6, 1s);
    what.steps.front().long_running = true;
    what.spec = "lasts";
    world.submit(1, "a", what);
    world.run(500ms);
    world.store_fault = [](std::size_t, ports::kv_operation const&)
    {
        return fault_effect::request_lost;
    };
    world.run(30s);
    std::size_t running = 0;
    std::size_t begun = 0;
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        running += world.worker(number).running();
        begun += world.worker(number).started_runs().size();
    }
    EXPECT_EQ(running, 6U);
    EXPECT_EQ(begun, 6U);
}

// Failure: orders of an owner that wakes with old beliefs take effect.
TEST(pool_takeover, a_frozen_owner_does_no_harm)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    world.submit(1, "a", chained_job(1s));
    world.run(300ms);
    auto const owner = *world.owner();
    world.freeze(owner, 4s);
    EXPECT_TRUE(completes(world, other_than(owner), "a"));
    world.run(5s);
    EXPECT_EQ(world.violation(), "");
}

// Failure: two owners schedule the same jobs, since a lost claim goes unseen.
TEST(pool_takeover, a_claim_that_is_taken_away)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    world.submit(1, "a", chained_job(1s));
    world.run(300ms);
    world.store().expire_key("pool/claim");
    EXPECT_TRUE(completes(world, 0, "a"));
    EXPECT_EQ(world.violation(), "");
}

// Failure: a planned stop costs users the length of a lease.
TEST(pool_takeover, a_planned_stop_hands_over_within_a_moment)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    world.submit(other_than(owner), "a", simple_job(4, 2s));
    world.run(300ms);
    world.stop(owner);
    auto const moved = [&world, owner]
    {
        return world.owner() && *world.owner() != owner;
    };
    EXPECT_TRUE(world.run_until(moved, 200ms));
    EXPECT_TRUE(world.run_until(
        [&world, owner]
        {
            return world.stopped(owner);
        },
        6s));
    EXPECT_TRUE(completes(world, other_than(owner), "a"));
    EXPECT_EQ(world.violation(), "");
}

// Failure: a silent death of the owner is noticed later than its lease ends.
TEST(pool_takeover, a_silent_death_costs_a_second_and_a_half)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    world.kill(owner);
    EXPECT_TRUE(world.run_until(
        [&world, owner]
        {
            return world.owner() && *world.owner() != owner;
        },
        1500ms));
}

// Failure: a failure told after the next run began is not counted.
TEST(pool_takeover, a_failure_that_is_told_after_the_next_run)
{
    // While the second run is at work, and after it.
    for (auto const hidden : {1100ms, 3500ms})
    {
        pool_simulation world;
        ASSERT_TRUE(run_until_owned(world));
        auto const owner = *world.owner();
        auto what = simple_job(1, 900ms);
        what.spec += " fail";
        world.submit(other_than(owner), "a", what);
        world.run(500ms);
        ASSERT_GT(world.worker(0).running(), 0U);
        cut_from_store(world, owner);
        hide_worker(world, 0, owner, hidden);
        auto const asked = other_than(owner);
        EXPECT_TRUE(world.run_until(
            [&world, asked]
            {
                return world.state(asked, "a") == job_state::failed;
            }));
        EXPECT_EQ(begun_in_all(world), 3U) << hidden.count();
        EXPECT_EQ(world.violation(), "");
    }
}

// Failure: a running step is stopped, as its predecessor's end comes later.
TEST(pool_takeover, a_step_whose_predecessor_is_told_of_later)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    auto what = simple_job(1, 700ms);
    what.steps.push_back(what.steps.front());
    what.steps.back().after = {0};
    what.spec = "work=3000";
    world.submit(other_than(owner), "a", what);
    world.run(300ms);
    ASSERT_GT(world.worker(0).running(), 0U);
    world.store().put("operators/out/even", "");
    world.run(2600ms);
    cut_from_store(world, owner);
    hide_worker(world, 0, owner, 3s);
    world.run(500ms);
    ASSERT_EQ(world.worker(1).running(), 1U);
    EXPECT_TRUE(completes(world, other_than(owner), "a"));
    EXPECT_EQ(begun_in_all(world), 2U);
    EXPECT_EQ(world.violation(), "");
}

// Failure: a failure that is told again counts twice: an attempt is not used.
TEST(pool_takeover, a_failure_that_is_told_again)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    auto what = simple_job(1, 300ms);
    what.spec += " fail";
    world.submit(other_than(owner), "a", what);
    world.worker_fault = [&world, owner](std::size_t instance,
                                         std::size_t,
                                         ports::pool_operation const&)
    {
        bool const written = world.store().find("progress/a").has_value();
        return written && instance == owner ? fault_effect::request_lost
                                            : fault_effect::carried_out;
    };
    ASSERT_TRUE(world.run_until(
        [&world]
        {
            return world.store().find("progress/a").has_value();
        }));
    world.kill(owner);
    auto const asked = other_than(owner);
    EXPECT_TRUE(world.run_until(
        [&world, asked]
        {
            return world.state(asked, "a") == job_state::failed;
        }));
    EXPECT_EQ(begun_in_all(world), 3U);
    EXPECT_EQ(world.violation(), "");
}

// Failure: a worker that forgot the successor's fence obeys the owner before.
TEST(pool_takeover, a_worker_that_restarts_between_two_owners)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const old = *world.owner();
    bool reaches_none = false;
    bool restarted = false;
    bool reaches_last = false;
    // The old owner reaches the worker that restarted, a successor the others.
    world.worker_fault = [&](std::size_t instance,
                             std::size_t worker,
                             ports::pool_operation const& call)
    {
        auto const* const start = std::get_if<ports::start_order>(&call);
        if (start != nullptr && start->attempt_id.task.job == "a" && !restarted)
        {
            return fault_effect::refused;
        }
        bool const cut =
            instance == old
                ? reaches_none && (worker != 0 || !restarted)
                : (worker == 0 && restarted) || (worker == 3 && !reaches_last);
        return cut ? fault_effect::request_lost : fault_effect::carried_out;
    };
    world.submit(other_than(old), "busy", simple_job(16, 60s));
    world.submit(other_than(old), "a", simple_job(4, 20s));
    // A watch that waits already may still be answered.
    world.store_fault = [old](std::size_t at, ports::kv_operation const& call)
    {
        return at == old && watches_jobs(call) ? fault_effect::request_lost
                                               : fault_effect::carried_out;
    };
    world.run(1500ms);
    cut_from_store(world, old);
    world.run(800ms);
    reaches_none = true;
    ASSERT_TRUE(world.run_until(
        [&world, old]
        {
            return world.owner() && *world.owner() != old;
        },
        2s));
    world.run(100ms);
    world.restart_worker(0);
    restarted = true;
    world.run(2s);
    reaches_last = true;
    world.run(5s);
    EXPECT_EQ(world.violation(), "");
}

// Failure: a slow answer is thrown away for one that is as slow and later.
TEST(pool_takeover, slow_reads_of_the_state_count)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    world.store_fault = [](std::size_t, ports::kv_operation const& call)
    {
        auto const* const page = std::get_if<ports::kv_range>(&call);
        bool const jobs = page != nullptr && page->prefix == "pool/";
        return jobs ? fault_effect::delayed : fault_effect::carried_out;
    };
    world.kill(owner);
    EXPECT_TRUE(world.run_until(
        [&world]
        {
            return world.owner().has_value();
        },
        1500ms + 2100ms));
}
