#include "core/placement/bench.hpp"
#include "core/placement/latency_guard.hpp"
#include "core/placement/policy.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::core::placement;

namespace
{

struct rack
{
    std::string first = "a";
    std::string second = "b";
    std::vector<candidate> workers;

    rack()
    {
        candidate one;
        one.worker = &first;
        one.capacity = {8000, 16000, 1};
        auto other = one;
        other.worker = &second;
        workers = {one, other};
    }
};

} // namespace

TEST(placement, never_commits_above_the_declared_capacity)
{
    rack of;
    interference_model learned({});
    for (policy const& by : {policy(first_fit{}), policy(least_interference{})})
    {
        auto workers = of.workers;
        int placed = 0;
        while (auto const chosen = choose_worker(
                   by, workers, {0, true, {3000, 1000, 0}}, learned, {}))
        {
            workers[*chosen].committed += {3000, 1000, 0};
            ++placed;
        }
        EXPECT_EQ(placed, 4);
        EXPECT_FALSE(
            choose_worker(by, workers, {0, true, {1, 1, 2}}, learned, {}));
    }
}

TEST(placement, keeps_the_guard_share_and_memory_in_use_from_batch)
{
    rack of;
    placement_limits const bounds{500};
    EXPECT_FALSE(fits(of.workers[0], {0, false, {4001, 1, 0}}, bounds));
    EXPECT_TRUE(fits(of.workers[0], {0, true, {4001, 1, 0}}, bounds));
    of.workers[0].memory_over_declared = 15000;
    EXPECT_FALSE(fits(of.workers[0], {0, true, {1, 1001, 0}}, bounds));
}

TEST(placement, learns_which_pairs_disturb_each_other)
{
    rack of;
    interference_model learned({});
    auto const bids = learned.class_index("bids");
    auto const noisy = learned.class_index("noisy");
    auto const quiet = learned.class_index("quiet");
    for (int round = 0; round < 200; ++round)
    {
        learned.record_slowdown(bids, {{noisy, 0.5}}, 2.5);
        learned.record_slowdown(bids, {{quiet, 0.5}}, 1.0);
    }
    EXPECT_NEAR(learned.weight(bids, noisy), 3.0, 0.3);
    EXPECT_NEAR(learned.weight(bids, quiet), 0.0, 0.1);
    of.workers[0].residents.push_back({noisy, false, {4000, 1000, 0}, 0.5});
    of.workers[1].residents.push_back({quiet, false, {4000, 1000, 0}, 0.5});
    for (auto& worker : of.workers)
    {
        worker.committed = {4000, 1000, 0};
    }
    placement_task const task{bids, true, {1000, 1000, 0}};
    EXPECT_EQ(
        choose_worker(least_interference{}, of.workers, task, learned, {}), 1U);
    EXPECT_EQ(choose_worker(first_fit{}, of.workers, task, learned, {}), 0U);
}

TEST(placement, keeps_its_table_bounded)
{
    interference_model learned({});
    for (int number = 0; number < 1000; ++number)
    {
        EXPECT_LT(learned.class_index("class-" + std::to_string(number)), 64);
    }
    EXPECT_LE(learned.classes(), 64U);
}

// A noisy task comes to a worker and a service's tail rises. One late report
// must not throttle anybody; a lasting rise throttles the task that disturbs
// most, step by step, and evicts it last; quiet reports give the cores back.
TEST(guard_of_tails, throttles_then_evicts_and_relaxes_with_hysteresis)
{
    interference_model learned({});
    auto const bids = learned.class_index("bids");
    auto const noisy = learned.class_index("noisy");
    learned.record_slowdown(bids, {{noisy, 0.5}}, 3);
    latency_guard watch({});
    std::vector<guarded_service> const bad{{bids, 240, 250}};
    std::vector<guarded_service> const good{{bids, 20, 250}};
    std::vector<guarded_task> batch{
        {"noisy", noisy, 0.5, 1000},
        {"quiet", learned.class_index("quiet"), 0.5}};
    EXPECT_FALSE(watch.on_report(bad, batch, learned));
    EXPECT_FALSE(watch.on_report(good, batch, learned));
    std::vector<std::uint32_t> permilles;
    while (true)
    {
        EXPECT_FALSE(watch.on_report(bad, batch, learned));
        auto const step = watch.on_report(bad, batch, learned);
        ASSERT_TRUE(step);
        EXPECT_EQ(step->task, "noisy");
        if (step->action == guard_action::evict)
        {
            break;
        }
        batch[0].cpu_limit_permille = step->cpu_limit_permille;
        permilles.push_back(step->cpu_limit_permille);
    }
    EXPECT_EQ(permilles, (std::vector<std::uint32_t>{500, 250}));
    for (int report = 0; report < 4; ++report)
    {
        EXPECT_FALSE(watch.on_report(good, batch, learned));
    }
    auto const step = watch.on_report(good, batch, learned);
    ASSERT_TRUE(step);
    EXPECT_EQ(step->action, guard_action::relax);
    EXPECT_EQ(step->cpu_limit_permille, 500U);
}

TEST(placement, decides_the_same_for_the_same_seed)
{
    placement_benchmark_settings settings;
    settings.workers = 40;
    settings.services = 100;
    settings.batch_tasks = 100;
    settings.decisions = 500;
    auto const first = run_placement_benchmark(settings);
    EXPECT_EQ(first.signature, run_placement_benchmark(settings).signature);
    EXPECT_GT(first.placed, 400U);
    settings.placement_policy = first_fit{};
    EXPECT_NE(first.signature, run_placement_benchmark(settings).signature);
}
