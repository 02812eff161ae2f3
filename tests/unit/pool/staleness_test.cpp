#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t instances = 3;

// Drops all job watches of instance `owner` from now on.
void drop_job_watches(pool_simulation& simulation, std::size_t owner)
{
    simulation.store_fault =
        [owner](std::size_t instance, ports::kv_operation const& call)
    {
        return instance == owner && watches_jobs(call)
                   ? fault_effect::request_lost
                   : fault_effect::carried_out;
    };
}

} // namespace

// Guards against outdated counts: an owner whose job watch is stalled knows no
// new jobs, and its old counts would be reported as current.
TEST(pool_staleness, counts_of_an_owner_without_job_updates_are_not_reported)
{
    pool_simulation simulation(instances, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    simulation.submit(other, "fills", simple_job(8, 60s));
    simulation.run(1s);
    simulation.submit(other, "first", simple_job(1, 1s));
    simulation.run(2s);
    ASSERT_EQ(simulation.reported_waiting_jobs(other), 1U);
    drop_job_watches(simulation, owner);
    // A watch that is already pending may still be answered.
    simulation.run(2s);
    submit_many(simulation, other, "later", 20, simple_job(1, 1s));
    simulation.run(5s);
    for (std::size_t number = 0; number < instances; ++number)
    {
        auto const reported = simulation.reported_waiting_jobs(number);
        EXPECT_TRUE(!reported || *reported * 2 >= 21)
            << "instance " << number << " reports " << reported.value_or(0);
    }
}

// Guards against an owner whose job watch is stalled and that keeps the claim,
// and with it all new jobs, for ever.
TEST(pool_staleness, an_owner_without_job_updates_hands_the_claim_over)
{
    pool_simulation simulation(instances);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    drop_job_watches(simulation, owner);
    // A watch that is already pending may still be answered.
    simulation.run(2s);
    submit_many(simulation, other_than(owner), "later", 1, simple_job(1, 1s));
    EXPECT_TRUE(simulation.run_until(
        [&simulation, owner]
        {
            return simulation.state(other_than(owner), "later0") ==
                   ports::job_state::completed;
        },
        15s));
}

// Guards against an owner that hands the claim over for a single lost watch; no
// task starts during the takeover.
TEST(pool_staleness, a_lost_watch_costs_no_claim)
{
    pool_simulation simulation(instances);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const epoch = simulation.store().find("pool/claim")->revision;
    std::size_t watches = 0;
    simulation.store_fault =
        [owner, &watches](std::size_t instance, ports::kv_operation const& call)
    {
        bool const hit =
            instance == owner && watches_jobs(call) && ++watches % 2 == 0;
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    simulation.run(20s);
    EXPECT_GT(watches, 10U);
    ASSERT_EQ(simulation.owner(), owner);
    EXPECT_EQ(simulation.store().find("pool/claim")->revision, epoch);
}

// Guards against an owner that takes long to load the state and hands the claim
// over before its first watch.
TEST(pool_staleness, a_slow_load_costs_no_claim)
{
    pool_simulation simulation(instances);
    bool lost = false;
    simulation.store_fault =
        [&lost](std::size_t, ports::kv_operation const& call)
    {
        auto const* const read = std::get_if<ports::kv_read>(&call);
        bool const hit = !lost && read != nullptr && read->key == "roster";
        lost = lost || hit;
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    ASSERT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.store().find("pool/claim").has_value();
        }));
    auto const epoch = simulation.store().find("pool/claim")->revision;
    simulation.run(10s);
    EXPECT_TRUE(lost);
    EXPECT_TRUE(simulation.owner().has_value());
    ASSERT_TRUE(simulation.store().find("pool/claim").has_value());
    EXPECT_EQ(simulation.store().find("pool/claim")->revision, epoch);
}

// Guards against a queue that grows while commits fail: each poll of a worker
// would queue another acknowledgement of the same ends.
TEST(pool_staleness, ends_that_wait_for_a_commit_are_queued_once)
{
    pool_simulation simulation(instances);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.run(1s);
    simulation.submit(other_than(owner), "a", simple_job(8, 100ms));
    simulation.store_fault =
        [owner](std::size_t instance, ports::kv_operation const& call)
    {
        bool const commits = std::holds_alternative<ports::kv_commit>(call);
        return instance == owner && commits ? fault_effect::refused
                                            : fault_effect::carried_out;
    };
    simulation.run(5s);
    auto const& commits = simulation.owner_at(owner).commits();
    auto const waiting_after_5_s = commits.waiting();
    EXPECT_GT(waiting_after_5_s, 0U);
    simulation.run(10s);
    EXPECT_EQ(commits.waiting(), waiting_after_5_s);
    simulation.store_fault = nullptr;
    simulation.run(2s);
    std::size_t acknowledged = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        acknowledged += simulation.worker(number).acknowledged_ends().size();
    }
    EXPECT_EQ(acknowledged, 8U);
}

// Guards against hundreds of calls per second by an owner whose calls the store
// refuses.
TEST(pool_staleness, watches_that_the_store_refuses_are_retried_with_pauses)
{
    pool_simulation simulation(instances);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    std::size_t calls = 0;
    simulation.store_fault =
        [owner, &calls](std::size_t instance, ports::kv_operation const& call)
    {
        bool const hit = instance == owner && watches_jobs(call);
        calls += hit ? 1U : 0U;
        return hit ? fault_effect::refused : fault_effect::carried_out;
    };
    simulation.run(3s);
    calls = 0;
    simulation.run(1s);
    EXPECT_GT(calls, 0U);
    EXPECT_LE(calls, 20U);
}

// Guards against hundreds of stop orders per second for each task whose stop is
// refused.
TEST(pool_staleness, a_refused_stop_is_retried_with_pauses)
{
    pool_simulation simulation(instances, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.submit(owner, "a", simple_job(1, 60s));
    simulation.run(1s);
    ASSERT_EQ(simulation.worker(0).running(), 1U);
    std::size_t stops = 0;
    simulation.worker_fault =
        [&stops](std::size_t, std::size_t, ports::pool_operation const& call)
    {
        stops += std::holds_alternative<ports::stop_order>(call) ? 1U : 0U;
        return fault_effect::refused;
    };
    simulation.cancel(owner, "a");
    simulation.run(1s);
    EXPECT_GT(stops, 0U);
    EXPECT_LE(stops, 20U);
}

// Guards against final states that pile up in the store when more jobs end per
// second than the owner erases.
TEST(pool_staleness, final_states_are_erased_as_fast_as_jobs_end)
{
    pool_simulation simulation(2, 16);
    simulation.set_final_state_retention(1s);
    simulation.kill(0);
    simulation.kill(1);
    simulation.start(0);
    simulation.start(1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const other = 1 - *simulation.owner();
    for (int step = 0; step < 100; ++step)
    {
        for (int number = 0; number < 10; ++number)
        {
            simulation.submit(other,
                              "job" + std::to_string(step * 10 + number),
                              simple_job(1, 50ms));
        }
        simulation.run(100ms);
    }
    simulation.run(3s);
    auto const remaining = simulation.store().answer(
        simulation.now(), ports::kv_range{"final/", ""});
    ASSERT_TRUE(remaining.has_value());
    EXPECT_LE(remaining->items.size(), 100U);
}

// Guards against tasks that start on a leaving worker because the owner's list
// of workers is old.
TEST(pool_staleness, no_task_starts_by_an_outdated_worker_list)
{
    pool_simulation simulation(3, 2);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.run(2s);
    bool list_calls_lost = true;
    simulation.store_fault =
        [owner, &list_calls_lost](std::size_t instance,
                                  ports::kv_operation const& call)
    {
        auto const* const pages = std::get_if<ports::kv_range>(&call);
        auto const* const watch = std::get_if<ports::kv_watch>(&call);
        bool const is_list_call =
            (pages != nullptr && pages->prefix == "workers/") ||
            (watch != nullptr && watch->prefix == "workers/");
        return instance == owner && is_list_call && list_calls_lost
                   ? fault_effect::request_lost
                   : fault_effect::carried_out;
    };
    auto const entry = simulation.store().find("workers/w0");
    ASSERT_TRUE(entry.has_value());
    simulation.store().put("workers/w0", entry->value + " draining");
    simulation.run(3s);
    auto const before = simulation.worker(0).started_runs().size();
    submit_many(simulation, other_than(owner), "later", 8, simple_job(1, 1s));
    simulation.run(2s);
    EXPECT_EQ(simulation.worker(0).started_runs().size(), before);
    list_calls_lost = false;
    simulation.run(3s);
    EXPECT_EQ(simulation.worker(0).started_runs().size(), before);
    EXPECT_GE(simulation.worker(1).started_runs().size(), 8U);
}
