#include "owner_changes.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

// Changes of the owner in a row, from one cause at a time, in a pool of large
// and small instances. The checks are the users' rule on what must run (LOST)
// and the invariants of the simulation.
namespace
{

constexpr duration trouble_length = 30s;
// Longer than the rule needs to be broken: 4 s calm, 6 s after the last run, 3
// s without one.
constexpr duration calm_length = 15s;
// A submission has to be known and finished this long after the traffic.
constexpr duration finish_time = 14s;

constexpr duration usual_latency = 2ms;
// Long enough for the first large instance to take the claim, if it can.
constexpr duration head_start = 6s;
constexpr std::uint64_t start_orders = 16;

struct troubled_instances
{
    trouble kind = trouble::late_takeover_writes;
    bool all_large = false; ///< Or only one of them.
};

std::string name_of(troubled_instances const& troubled)
{
    return std::string(name_of(troubled.kind)) +
           (troubled.all_large ? "_of_all_large" : "_of_one_large");
}

std::ostream& operator<<(std::ostream& out, troubled_instances const& troubled)
{
    return out << name_of(troubled);
}

std::vector<troubled_instances> all_cases()
{
    std::vector<troubled_instances> cases;
    for (auto const kind : all_troubles())
    {
        cases.push_back({kind, false});
        cases.push_back({kind, true});
    }
    return cases;
}

class pool_owner_changes : public testing::TestWithParam<troubled_instances>
{
protected:
    // A small instance owns the pool when the large ones start.
    void start_small_ones()
    {
        pool.start(pool.small_instances(), 100ms);
        ASSERT_TRUE(pool.begin_work());
    }

    // The trouble begins before their start. The second one starts
    // `first_pause` after the first.
    void start_large_ones_with_trouble(duration first_pause)
    {
        auto const large = pool.large_instances();
        auto const troubled = GetParam().all_large
                                  ? large
                                  : std::vector<std::size_t>{large.front()};
        pool.begin(GetParam().kind, troubled);
        pool.start({large.front()}, first_pause);
        pool.start({large.begin() + 1, large.end()}, 100ms);
    }

    changing_pool pool{{3, 6, 24}};
};

struct kills_in_series
{
    duration interval{};
    std::optional<duration> restart_after; ///< Never, if empty.
    /// A worker crashes with each owner and returns after this time, if any.
    std::optional<duration> worker_returns_after;
    duration store_latency = usual_latency;
};

std::string in_milliseconds(duration length)
{
    return std::to_string(fuchsia::core::common::to_milliseconds(length));
}

std::string name_of(kills_in_series const& series)
{
    auto name = "every_" + in_milliseconds(series.interval) + "_ms";
    name += series.restart_after ? "_restarted" : "_for_good";
    if (series.worker_returns_after)
    {
        name += *series.worker_returns_after == never
                    ? "_and_workers_crash_for_good"
                    : "_and_workers_return_under_another_id";
    }
    name += series.store_latency > usual_latency ? "_with_a_slow_store" : "";
    return name;
}

std::ostream& operator<<(std::ostream& out, kills_in_series const& series)
{
    return out << name_of(series);
}

template<class Parameter>
std::string name_of_case(testing::TestParamInfo<Parameter> const& info)
{
    return name_of(info.param);
}

std::vector<kills_in_series> all_series()
{
    std::vector<kills_in_series> result;
    for (auto const interval : {1500ms, 3000ms, 6000ms})
    {
        for (auto const restart :
             {std::optional<duration>(1s), std::optional<duration>()})
        {
            for (auto const worker : {std::optional<duration>(),
                                      std::optional<duration>(3s),
                                      std::optional<duration>(never)})
            {
                for (auto const latency : {usual_latency, duration(150ms)})
                {
                    result.push_back({interval, restart, worker, latency});
                }
            }
        }
    }
    return result;
}

// Trouble with requests for the claim, which no other call suffers from.
class pool_claim_requests : public pool_owner_changes
{
};

class pool_owner_kills : public testing::TestWithParam<kills_in_series>
{
};

// Returns all instances in an order drawn from `seed`; the first seed gives the
// small ones first.
std::vector<std::size_t> order_of(changing_pool const& pool, std::uint64_t seed)
{
    auto order = pool.small_instances();
    auto const large = pool.large_instances();
    order.insert(order.end(), large.begin(), large.end());
    if (seed > 1)
    {
        std::mt19937_64 random(seed);
        std::shuffle(order.begin(), order.end(), random);
    }
    return order;
}

} // namespace

// Guards against owners that replace each other for good after trouble of large
// instances, so that tasks find no working owner in calm time.
TEST_P(pool_owner_changes, all_that_could_run_runs_in_the_calm_after_trouble)
{
    start_small_ones();
    start_large_ones_with_trouble(head_start);
    pool.run(trouble_length);
    pool.end_impairments();
    pool.calm_down();
    pool.run(calm_length);
    EXPECT_EQ(pool.unfinished_jobs(finish_time), "") << pool.report();
    EXPECT_EQ(pool.violation(), "") << pool.report();
}

// Guards against trouble of large instances that keeps the pool from running
// tasks, although small instances without trouble could own it all the while.
TEST_P(pool_owner_changes, all_that_could_run_runs_during_trouble_of_large_ones)
{
    start_small_ones();
    pool.calm_down();
    start_large_ones_with_trouble(head_start);
    pool.run(trouble_length);
    RecordProperty("longest_ms",
                   std::to_string(fuchsia::core::common::to_milliseconds(
                       pool.longest_without_owner())));
    EXPECT_EQ(pool.violation(), "") << pool.report();
}

// As above, with a worker that has died before. Each takeover waits for it, and
// none may be interrupted by the next again and again (incident 42).
TEST_P(pool_owner_changes, all_that_could_run_runs_although_a_worker_is_dead)
{
    start_small_ones();
    pool.crash_next_worker(never);
    pool.run(1s);
    pool.calm_down();
    start_large_ones_with_trouble(head_start);
    pool.run(trouble_length);
    EXPECT_EQ(pool.violation(), "") << pool.report();
}

// Guards against a request for the claim that takes it from a later owner than
// the one that it was meant for, so that each of several requests costs the
// pool a takeover (incident 42).
TEST_P(pool_claim_requests, a_request_for_the_claim_moves_no_later_owner)
{
    start_small_ones();
    start_large_ones_with_trouble(100ms);
    pool.run(trouble_length);
    pool.end_impairments();
    pool.run(calm_length);
    EXPECT_EQ(pool.large_owners_replaced(), 0U) << pool.report();
}

// Guards against takeovers that each wait anew for workers that died long ago,
// so that no owner of a series begins to work in time (incident 42).
TEST_P(pool_owner_kills, all_that_could_run_runs_in_the_calm_after_kills)
{
    auto const& series = GetParam();
    changing_pool pool({4, 6, 24});
    pool.start(pool.large_instances(), 100ms);
    pool.start(pool.small_instances(), 100ms);
    ASSERT_TRUE(pool.begin_work());
    pool.simulation().set_store_latency(series.store_latency);
    auto const kill = [&pool, &series]
    {
        pool.kill_holder(series.restart_after);
        if (series.worker_returns_after)
        {
            pool.crash_next_worker(*series.worker_returns_after);
        }
    };
    for (duration passed{}; passed < trouble_length; passed += series.interval)
    {
        // Half of the instances have to remain.
        if (series.restart_after || passed < 4 * series.interval)
        {
            kill();
        }
        pool.run(series.interval);
    }
    kill();
    pool.end_impairments();
    pool.simulation().set_store_latency(usual_latency);
    pool.calm_down();
    pool.run(calm_length);
    EXPECT_EQ(pool.unfinished_jobs(finish_time), "") << pool.report();
    EXPECT_EQ(pool.violation(), "") << pool.report();
}

// Guards against a large instance that asks for the claim, is slower than the
// small ones when it is free, and asks each of them in turn. Each round costs
// the pool a takeover, and one that waits for a dead worker takes longer than a
// round: nothing starts for ever (incident 42).
TEST(pool_owner_requests, a_large_instance_with_slow_writes_stops_no_work)
{
    for (auto const delay : {0ms, 20ms, 100ms, 400ms})
    {
        changing_pool pool({1, 12, 24});
        pool.start(pool.small_instances(), 100ms);
        ASSERT_TRUE(pool.begin_work());
        pool.crash_next_worker(never);
        for (auto const large : pool.large_instances())
        {
            pool.simulation().set_commit_delay(large, delay);
        }
        pool.start(pool.large_instances(), 100ms);
        pool.calm_down();
        pool.run(trouble_length);
        EXPECT_EQ(pool.violation(), "")
            << "delay " << in_milliseconds(delay) << " ms\n"
            << pool.report();
    }
}

// Guards against a write of the claim, or a request for it, that takes effect
// without an answer, before or after the lease of its writer has ended: the
// writer neither knows that it holds the claim nor leaves it to others.
TEST(pool_owner_requests, late_writes_of_the_claim_stop_no_work)
{
    for (auto const kind :
         {trouble::late_takeover_writes, trouble::late_claim_writes})
    {
        for (duration delay = 100ms; delay <= 1900ms; delay += 200ms)
        {
            changing_pool pool({3, 6, 24});
            pool.simulation().set_late_delay(delay);
            pool.start(pool.small_instances(), 100ms);
            ASSERT_TRUE(pool.begin_work());
            pool.begin(kind, pool.large_instances());
            pool.calm_down();
            pool.start(pool.large_instances(), 100ms);
            pool.run(trouble_length);
            EXPECT_EQ(pool.violation(), "")
                << name_of(kind) << " by " << in_milliseconds(delay) << " ms\n"
                << pool.report();
        }
    }
}

// Guards against requests of several large instances that each move the claim,
// and against a small instance that takes what a large one has asked for. Each
// change of the owner interrupts new work (incident 42).
TEST(pool_owner_requests, a_herd_of_large_instances_moves_the_claim_once)
{
    for (auto const pause : {0ms, 30ms, 100ms})
    {
        changing_pool pool({6, 12, 24});
        pool.start(pool.small_instances(), 100ms);
        ASSERT_TRUE(pool.begin_work());
        pool.start(pool.large_instances(), pause);
        pool.run(trouble_length);
        EXPECT_EQ(pool.owners_replaced(), 1U) << pool.report();
        EXPECT_EQ(pool.violation(), "");
    }
}

// Guards against a new owner that loses the claim because two reads of the
// state were lost, 1 s apart: it waits 5 s for the second answer, longer than
// an owner may take to load, and the next takeover begins anew (incident 42).
TEST(pool_owner_reads, two_lost_reads_of_the_state_cost_no_claim)
{
    changing_pool pool({3, 6, 24});
    pool.start(pool.large_instances(), 100ms);
    pool.start(pool.small_instances(), 100ms);
    ASSERT_TRUE(pool.begin_work());
    pool.begin(trouble::lost_state_reads, pool.large_instances());
    pool.crash_next_worker(never);
    pool.kill_holder(std::nullopt);
    // The claim ends within 1 s, and the second read is lost 1 s after it.
    pool.run(2800ms);
    pool.end_impairments();
    pool.calm_down();
    pool.run(calm_length);
    EXPECT_EQ(pool.violation(), "") << pool.report();
}

// Guards against a herd of instances that start at the same time and move the
// claim among them instead of working.
TEST(pool_start_at_once, all_that_could_run_runs_after_a_start_in_any_order)
{
    for (std::uint64_t seed = 1; seed <= start_orders; ++seed)
    {
        changing_pool pool({3, 6, 24});
        pool.start(order_of(pool, seed), 10ms * (seed % 4));
        pool.submit_lasting_jobs();
        pool.calm_down();
        pool.run(calm_length);
        EXPECT_EQ(pool.violation(), "") << "seed " << seed << "\n"
                                        << pool.report();
    }
}

// As above, with tasks that run when all instances end at the same time.
TEST(pool_start_at_once, all_that_could_run_runs_after_a_restart_in_any_order)
{
    for (std::uint64_t seed = 1; seed <= start_orders; ++seed)
    {
        changing_pool pool({3, 6, 24});
        pool.start(pool.large_instances(), 100ms);
        pool.start(pool.small_instances(), 100ms);
        ASSERT_TRUE(pool.begin_work());
        pool.kill_all();
        pool.run(500ms * (seed % 8));
        pool.start(order_of(pool, seed), 10ms * (seed % 4));
        pool.calm_down();
        pool.run(calm_length);
        EXPECT_EQ(pool.unfinished_jobs(finish_time), "") << "seed " << seed;
        EXPECT_EQ(pool.violation(), "") << "seed " << seed << "\n"
                                        << pool.report();
    }
}

INSTANTIATE_TEST_SUITE_P(
    trouble,
    pool_claim_requests,
    testing::Values(troubled_instances{trouble::late_takeover_writes, false},
                    troubled_instances{trouble::late_takeover_writes, true},
                    troubled_instances{trouble::lost_takeover_answers, false},
                    troubled_instances{trouble::lost_takeover_answers, true}),
    name_of_case<troubled_instances>);

INSTANTIATE_TEST_SUITE_P(trouble,
                         pool_owner_changes,
                         testing::ValuesIn(all_cases()),
                         name_of_case<troubled_instances>);

INSTANTIATE_TEST_SUITE_P(kills,
                         pool_owner_kills,
                         testing::ValuesIn(all_series()),
                         name_of_case<kills_in_series>);
