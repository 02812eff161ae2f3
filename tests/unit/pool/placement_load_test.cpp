#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

// Cost of placement on a large pool, counted in scores, not timed. An owner
// that examines all workers for each task and after each task end sends its
// orders seconds late, and cancelled tasks keep running for as long.
namespace
{

constexpr std::size_t workers = 40;
constexpr std::uint32_t cores_per_worker = 8;
constexpr int kinds = 12;

struct large_pool : testing::Test
{
    large_pool() : world(2, workers)
    {
        world.run_until(
            [this]
            {
                return world.owner().has_value();
            });
        world.run(1s);
    }

    fuchsia::core::pool::owner_counters const& counters()
    {
        return world.owner_at(*world.owner()).counters();
    }

    /// Occupies all cores with tasks that outlast any test.
    void fill_up()
    {
        world.submit(0, "full", simple_job(workers * cores_per_worker, 10min));
        world.run_until(
            [this]
            {
                return counters().starts == workers * cores_per_worker;
            });
    }

    pool_simulation world;
};

} // namespace

// The tasks of a step are equivalent, so the workers are ranked once for all of
// them.
TEST_F(large_pool, scores_workers_once_for_a_step_of_many_tasks)
{
    constexpr std::uint32_t width = 60;
    auto const before = counters().scored;
    world.submit(0, "wide", simple_job(width, 300ms));
    world.run(100ms);
    EXPECT_EQ(counters().starts, width);
    EXPECT_LE(counters().scored - before, workers + width);
}

// Many tasks end within a second while others wait for their capacity. There is
// at most one placement round in 10 ms, and no capacity stays unused.
TEST_F(large_pool, many_task_ends_cause_few_placement_rounds)
{
    for (int number = 0; number < 100; ++number)
    {
        world.submit(0,
                     "job" + std::to_string(number),
                     simple_job(10, std::chrono::milliseconds(200 + number)));
    }
    world.run(500ms);
    auto const before = counters().rounds;
    world.run(1s);
    EXPECT_LE(counters().rounds - before, 101U);
    EXPECT_TRUE(world.run_until(
        [this]
        {
            return counters().jobs_finished == 100;
        },
        20s));
    EXPECT_EQ(world.violation(), "");
}

// Steps of many images wait on a full pool. In no round is any of them checked
// against a worker without capacity for it.
TEST_F(large_pool, waiting_steps_score_no_full_worker)
{
    fill_up();
    for (int kind = 0; kind < kinds; ++kind)
    {
        auto job = simple_job(1, 300ms);
        job.steps.front().image = "image" + std::to_string(kind);
        world.submit(0, "waits" + std::to_string(kind), job);
    }
    world.run(100ms);
    auto const before = counters();
    world.run(1s);
    EXPECT_GE(counters().rounds - before.rounds, 9U);
    EXPECT_EQ(counters().scored - before.scored, 0U);
}

// The same holds for best-effort steps: a worker with a new report is examined
// once, however many images wait.
TEST_F(large_pool, waiting_best_effort_steps_score_each_changed_worker_once)
{
    fill_up();
    for (int kind = 0; kind < kinds; ++kind)
    {
        auto job = simple_job(1, 300ms);
        job.steps.front().image = "image" + std::to_string(kind);
        job.steps.front().best_effort = true;
        world.submit(0, "waits" + std::to_string(kind), job);
    }
    world.run(100ms);
    auto const before = counters();
    world.run(1s);
    auto const rounds = counters().rounds - before.rounds;
    EXPECT_GE(rounds, 9U);
    EXPECT_LE(counters().scored - before.scored, rounds * workers);
}
