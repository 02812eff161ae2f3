#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

// What placing costs on a large pool: counted, not timed. An owner that looks
// at all workers for each task and after each end sends its orders seconds
// late, and cancelled tasks run on for as long.
namespace
{

constexpr std::size_t workers = 40;
constexpr std::uint32_t cores_each = 8;
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

    /// Tasks that outlast any test take all cores.
    void fill_up()
    {
        world.submit(0, "full", simple_job(workers * cores_each, 10min));
        world.run_until(
            [this]
            {
                return counters().starts == workers * cores_each;
            });
    }

    pool_simulation world;
};

} // namespace

// A wide step: its tasks are alike, so the workers are ranked once for all.
TEST_F(large_pool, ranks_workers_once_for_a_wide_step)
{
    constexpr std::uint32_t width = 60;
    auto const before = counters().scored;
    world.submit(0, "wide", simple_job(width, 300ms));
    world.run(100ms);
    EXPECT_EQ(counters().starts, width);
    EXPECT_LE(counters().scored - before, workers + width);
}

// Many tasks end within a second while others wait for their room. Rounds of
// placing don't become more than one in 10 ms, and none of the room is left.
TEST_F(large_pool, serves_many_ends_by_few_rounds)
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

// Steps of many kinds wait on a full pool. Each of them is held against no
// worker without room for it, round after round.
TEST_F(large_pool, looks_at_no_full_worker_for_what_waits)
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

// The same of steps that fill: a worker that told something new is looked at
// once, whatever number of kinds waits.
TEST_F(large_pool, looks_once_at_each_changed_worker_for_filling_steps)
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
