#include "pool_world.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

// What placing costs on a large pool: counted, not timed. An owner that looks
// at all workers for each task and after each end sends its orders seconds
// late, and cancelled tasks run on for as long.
namespace
{

constexpr std::size_t workers = 40;

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
        return world.scheduler(*world.owner()).counters();
    }

    pool_world world;
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
