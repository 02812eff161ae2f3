#include "core/placement/bench.hpp"
#include "core/placement/latency_guard.hpp"
#include "core/placement/policy.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::core::placement;

namespace
{

struct rack
{
    std::string first_name = "a";
    std::string second_name = "b";
    std::vector<candidate> workers;

    rack()
    {
        candidate first_worker;
        first_worker.worker = &first_name;
        first_worker.capacity = {8000, 16000, 1};
        auto second_worker = first_worker;
        second_worker.worker = &second_name;
        workers = {first_worker, second_worker};
    }
};

} // namespace

TEST(placement, never_commits_more_than_declared_capacity)
{
    rack two_workers;
    interference_model model({});
    for (policy const& tested :
         {policy(first_fit{}), policy(least_interference{})})
    {
        auto workers = two_workers.workers;
        int placed = 0;
        while (auto const chosen = choose_worker(
                   tested, workers, {0, true, {3000, 1000, 0}}, model, {}))
        {
            workers[*chosen].committed += {3000, 1000, 0};
            ++placed;
        }
        EXPECT_EQ(placed, 4);
        EXPECT_FALSE(
            choose_worker(tested, workers, {0, true, {1, 1, 2}}, model, {}));
    }
}

TEST(placement, batch_may_not_use_reserved_cores_or_memory_in_use)
{
    rack two_workers;
    placement_limits const bounds{500};
    EXPECT_FALSE(
        fits(two_workers.workers[0], {0, false, {4001, 1, 0}}, bounds));
    EXPECT_TRUE(fits(two_workers.workers[0], {0, true, {4001, 1, 0}}, bounds));
    two_workers.workers[0].memory_over_declared = 15000;
    EXPECT_FALSE(fits(two_workers.workers[0], {0, true, {1, 1001, 0}}, bounds));
}

TEST(placement, model_learns_which_classes_interfere)
{
    rack two_workers;
    interference_model model({});
    auto const bids = model.class_index("bids");
    auto const noisy = model.class_index("noisy");
    auto const quiet = model.class_index("quiet");
    for (int round = 0; round < 200; ++round)
    {
        model.record_slowdown(bids, {{noisy, 0.5}}, 2.5);
        model.record_slowdown(bids, {{quiet, 0.5}}, 1.0);
    }
    EXPECT_NEAR(model.weight(bids, noisy), 3.0, 0.3);
    EXPECT_NEAR(model.weight(bids, quiet), 0.0, 0.1);
    two_workers.workers[0].residents.push_back(
        {noisy, false, {4000, 1000, 0}, 0.5});
    two_workers.workers[1].residents.push_back(
        {quiet, false, {4000, 1000, 0}, 0.5});
    for (auto& worker : two_workers.workers)
    {
        worker.committed = {4000, 1000, 0};
    }
    placement_task const task{bids, true, {1000, 1000, 0}};
    EXPECT_EQ(choose_worker(
                  least_interference{}, two_workers.workers, task, model, {}),
              1U);
    EXPECT_EQ(choose_worker(first_fit{}, two_workers.workers, task, model, {}),
              0U);
}

TEST(placement, number_of_task_classes_is_bounded)
{
    interference_model model({});
    for (int number = 0; number < 1000; ++number)
    {
        EXPECT_LT(model.class_index("class-" + std::to_string(number)), 64);
    }
    EXPECT_LE(model.classes(), 64U);
}

// A noisy task raises the tail latency of a service on the same worker. A
// single late report must not throttle any task. A lasting rise throttles the
// task that interferes most step by step and finally evicts it; reports of low
// latency restore its cores.
TEST(latency_guard, throttles_then_evicts_and_relaxes_with_hysteresis)
{
    interference_model model({});
    auto const bids = model.class_index("bids");
    auto const noisy = model.class_index("noisy");
    model.record_slowdown(bids, {{noisy, 0.5}}, 3);
    latency_guard guard({});
    std::vector<guarded_service> const bad{{bids, 240, 250}};
    std::vector<guarded_service> const good{{bids, 20, 250}};
    std::vector<guarded_task> batch{{"noisy", noisy, 0.5, 1000},
                                    {"quiet", model.class_index("quiet"), 0.5}};
    EXPECT_FALSE(guard.on_report(bad, batch, model));
    EXPECT_FALSE(guard.on_report(good, batch, model));
    std::vector<std::uint32_t> cpu_limits;
    while (true)
    {
        EXPECT_FALSE(guard.on_report(bad, batch, model));
        auto const step = guard.on_report(bad, batch, model);
        ASSERT_TRUE(step);
        EXPECT_EQ(step->task, "noisy");
        if (step->action == guard_action::evict)
        {
            break;
        }
        batch[0].cpu_limit_permille = step->cpu_limit_permille;
        cpu_limits.push_back(step->cpu_limit_permille);
    }
    EXPECT_EQ(cpu_limits, (std::vector<std::uint32_t>{500, 250}));
    for (int report = 0; report < 4; ++report)
    {
        EXPECT_FALSE(guard.on_report(good, batch, model));
    }
    auto const step = guard.on_report(good, batch, model);
    ASSERT_TRUE(step);
    EXPECT_EQ(step->action, guard_action::relax);
    EXPECT_EQ(step->cpu_limit_permille, 500U);
}

TEST(placement, benchmark_is_deterministic_for_a_seed)
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
