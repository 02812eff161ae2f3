#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t instances = 3;

// From now on no watch of the owner for jobs gets an answer.
void deafen(pool_simulation& world, std::size_t owner)
{
    world.store_fault =
        [owner](std::size_t instance, ports::kv_operation const& call)
    {
        return instance == owner && watches_jobs(call)
                   ? fault_effect::request_lost
                   : fault_effect::carried_out;
    };
}

} // namespace

// Counts of an owner that heard of no new job were told as the present ones.
TEST(pool_staleness, counts_of_an_owner_that_hears_of_no_jobs_are_not_told)
{
    pool_simulation world(instances, 1);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    auto const other = other_than(owner);
    world.submit(other, "fills", simple_job(8, 60s));
    world.run(1s);
    world.submit(other, "first", simple_job(1, 1s));
    world.run(2s);
    ASSERT_EQ(world.reported_waiting_jobs(other), 1U);
    deafen(world, owner);
    // A watch that waits already may still be answered.
    world.run(2s);
    submit_many(world, other, "later", 20, simple_job(1, 1s));
    world.run(5s);
    for (std::size_t number = 0; number < instances; ++number)
    {
        auto const told = world.reported_waiting_jobs(number);
        EXPECT_TRUE(!told || *told * 2 >= 21)
            << "instance " << number << " tells " << told.value_or(0);
    }
}

// An owner that heard of no new job kept its claim, and the jobs, for good.
TEST(pool_staleness, an_owner_that_hears_of_no_jobs_gives_the_claim_up)
{
    pool_simulation world(instances);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    deafen(world, owner);
    // A watch that waits already may still be answered.
    world.run(2s);
    submit_many(world, other_than(owner), "later", 1, simple_job(1, 1s));
    EXPECT_TRUE(world.run_until(
        [&world, owner]
        {
            return world.state(other_than(owner), "later0") ==
                   ports::job_state::completed;
        },
        15s));
}

// An owner that gives up for one lost watch stops all starts for a takeover.
TEST(pool_staleness, a_watch_that_gets_lost_costs_no_claim)
{
    pool_simulation world(instances);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    auto const epoch = world.store().find("pool/claim")->create_revision;
    std::size_t watches = 0;
    world.store_fault =
        [owner, &watches](std::size_t instance, ports::kv_operation const& call)
    {
        bool const hit =
            instance == owner && watches_jobs(call) && ++watches % 2 == 0;
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    world.run(20s);
    EXPECT_GT(watches, 10U);
    ASSERT_EQ(world.owner(), owner);
    EXPECT_EQ(world.store().find("pool/claim")->create_revision, epoch);
}

// An owner that took long to read the state gave up before its first watch.
TEST(pool_staleness, a_slow_start_costs_no_claim)
{
    pool_simulation world(instances);
    bool lost = false;
    world.store_fault = [&lost](std::size_t, ports::kv_operation const& call)
    {
        auto const* const read = std::get_if<ports::kv_read>(&call);
        bool const hit = !lost && read != nullptr && read->key == "roster";
        lost = lost || hit;
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    ASSERT_TRUE(world.run_until(
        [&world]
        {
            return world.store().find("pool/claim").has_value();
        }));
    auto const epoch = world.store().find("pool/claim")->create_revision;
    world.run(10s);
    EXPECT_TRUE(lost);
    EXPECT_TRUE(world.owner().has_value());
    ASSERT_TRUE(world.store().find("pool/claim").has_value());
    EXPECT_EQ(world.store().find("pool/claim")->create_revision, epoch);
}

// Each look at a worker queued one more acknowledgement of the same ends.
TEST(pool_staleness, ends_that_wait_for_their_record_wait_once)
{
    pool_simulation world(instances);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    world.run(1s);
    world.submit(other_than(owner), "a", simple_job(8, 100ms));
    world.store_fault =
        [owner](std::size_t instance, ports::kv_operation const& call)
    {
        bool const commits = std::holds_alternative<ports::kv_commit>(call);
        return instance == owner && commits ? fault_effect::refused
                                            : fault_effect::carried_out;
    };
    world.run(5s);
    auto const& commits = world.owner_at(owner).commits();
    auto const after_a_while = commits.waiting();
    EXPECT_GT(after_a_while, 0U);
    world.run(10s);
    EXPECT_EQ(commits.waiting(), after_a_while);
    world.store_fault = nullptr;
    world.run(2s);
    std::size_t acknowledged = 0;
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        acknowledged += world.worker(number).acknowledged_ends().size();
    }
    EXPECT_EQ(acknowledged, 8U);
}

// An owner that the store turned away asked it hundreds of times a second.
TEST(pool_staleness, a_store_that_turns_the_owner_away_is_asked_with_pauses)
{
    pool_simulation world(instances);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    std::size_t asked = 0;
    world.store_fault =
        [owner, &asked](std::size_t instance, ports::kv_operation const& call)
    {
        bool const hit = instance == owner && watches_jobs(call);
        asked += hit ? 1U : 0U;
        return hit ? fault_effect::refused : fault_effect::carried_out;
    };
    world.run(3s);
    asked = 0;
    world.run(1s);
    EXPECT_GT(asked, 0U);
    EXPECT_LE(asked, 20U);
}

// A refused stop was sent again hundreds of times a second for each task.
TEST(pool_staleness, a_worker_that_refuses_a_stop_is_asked_with_pauses)
{
    pool_simulation world(instances, 1);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    world.submit(owner, "a", simple_job(1, 60s));
    world.run(1s);
    ASSERT_EQ(world.worker(0).running(), 1U);
    std::size_t asked = 0;
    world.worker_fault =
        [&asked](std::size_t, std::size_t, ports::pool_operation const& call)
    {
        asked += std::holds_alternative<ports::stop_order>(call) ? 1U : 0U;
        return fault_effect::refused;
    };
    world.cancel(owner, "a");
    world.run(1s);
    EXPECT_GT(asked, 0U);
    EXPECT_LE(asked, 20U);
}

// Final states of more jobs than an owner drops a second pile up in the store.
TEST(pool_staleness, final_states_go_as_fast_as_jobs_end)
{
    pool_simulation world(2, 16);
    world.set_final_state_retention(1s);
    world.kill(0);
    world.kill(1);
    world.start(0);
    world.start(1);
    ASSERT_TRUE(run_until_owned(world));
    auto const other = 1 - *world.owner();
    for (int step = 0; step < 100; ++step)
    {
        for (int number = 0; number < 10; ++number)
        {
            world.submit(other,
                         "job" + std::to_string(step * 10 + number),
                         simple_job(1, 50ms));
        }
        world.run(100ms);
    }
    world.run(3s);
    auto const left =
        world.store().answer(world.now(), ports::kv_range{"final/", ""});
    ASSERT_TRUE(left.has_value());
    EXPECT_LE(left->items.size(), 100U);
}

// Tasks start on a worker that leaves, by a list that the owner read long ago.
TEST(pool_staleness, nothing_starts_by_an_old_list_of_workers)
{
    pool_simulation world(3, 2);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    world.run(2s);
    bool cut = true;
    world.store_fault =
        [owner, &cut](std::size_t at, ports::kv_operation const& call)
    {
        auto const* const pages = std::get_if<ports::kv_range>(&call);
        auto const* const watch = std::get_if<ports::kv_watch>(&call);
        bool const list = (pages != nullptr && pages->prefix == "workers/") ||
                          (watch != nullptr && watch->prefix == "workers/");
        return at == owner && list && cut ? fault_effect::request_lost
                                          : fault_effect::carried_out;
    };
    auto const entry = world.store().find("workers/w0");
    ASSERT_TRUE(entry.has_value());
    world.store().put("workers/w0", entry->value + " draining");
    world.run(3s);
    auto const before = world.worker(0).started_runs().size();
    submit_many(world, other_than(owner), "later", 8, simple_job(1, 1s));
    world.run(2s);
    EXPECT_EQ(world.worker(0).started_runs().size(), before);
    cut = false;
    world.run(3s);
    EXPECT_EQ(world.worker(0).started_runs().size(), before);
    EXPECT_GE(world.worker(1).started_runs().size(), 8U);
}
