#include "core/pool/short_job_reserve.hpp"
#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
using fuchsia::core::pool::short_job_reserve;
namespace common = fuchsia::core::common;

namespace
{

constexpr common::time_point start{1h};

// Returns a job whose tasks need `cores` of the 8 cores of a worker.
fuchsia::core::pool::job sized_job(std::uint32_t tasks, std::int64_t cores)
{
    auto job = simple_job(tasks, 1s);
    job.steps.front().declared.millicores = cores * 1000;
    return job;
}

fuchsia::core::pool::job long_running_job(std::uint32_t tasks,
                                          std::int64_t cores)
{
    auto job = sized_job(tasks, cores);
    job.steps.front().long_running = true;
    job.spec = "lasts";
    return job;
}

// Submits short tasks that need 24 of the 32 cores, for 5 s.
void keep_busy(pool_simulation& world, std::size_t at)
{
    for (int second = 0; second < 5; ++second)
    {
        world.submit(at, "short" + std::to_string(second), sized_job(6, 4));
        world.run(1s);
    }
}

// Lets short tasks use most of the pool, then submits long-running ones, of
// which five can start: they may not wait while a worker has capacity for two
// of them. Returns an instance that is not the owner.
std::size_t start_with_reserve(pool_simulation& world)
{
    run_until_owned(world);
    auto const other = other_than(*world.owner());
    world.run(1s);
    keep_busy(world, other);
    world.submit(other, "lasting", long_running_job(20, 3));
    world.run(2s);
    return other;
}

} // namespace

// A reserve for the average demand is too small in each burst; one for the
// highest burst leaves cores idle.
TEST(pool_short_job_reserve, expected_demand_covers_most_of_the_window)
{
    short_job_reserve reserve({});
    for (int step = 0; step < 40; ++step)
    {
        reserve.observe(start + step * 500ms, {(step % 10 + 1) * 1'000, 1});
    }
    EXPECT_EQ(reserve.expected(), 8'000);
    for (int step = 40; step < 81; ++step)
    {
        reserve.observe(start + step * 500ms, {2'000, 1});
    }
    EXPECT_EQ(reserve.expected(), 2'000);
}

// Fragments smaller than a task add up to cores that no task can use.
TEST(pool_short_job_reserve,
     usable_millicores_are_multiples_of_the_average_task)
{
    short_job_reserve reserve({});
    EXPECT_EQ(reserve.usable_millicores(7'000), 7'000);
    reserve.observe(start, {24'000, 2});
    EXPECT_EQ(reserve.usable_millicores(11'999), 0);
    EXPECT_EQ(reserve.usable_millicores(30'000), 24'000);
    EXPECT_EQ(reserve.usable_millicores(-1'000), 0);
}

TEST(pool_short_job_reserve, leaves_enough_up_to_the_expected_demand)
{
    short_job_reserve reserve({});
    reserve.observe(start, {24'000, 2});
    reserve.set_available(40'000);
    EXPECT_TRUE(reserve.leaves_enough(16'000));
    EXPECT_FALSE(reserve.leaves_enough(17'000));
    reserve.consume(10'000);
    EXPECT_FALSE(reserve.leaves_enough(7'000));
}

// Failure: long-running tasks took all capacity that could be reserved, and
// short jobs waited until they were late.
TEST(pool_short_job_reserve,
     burst_of_short_tasks_finds_capacity_beside_long_running_ones)
{
    pool_simulation world(3, 4);
    auto const other = start_with_reserve(world);
    ASSERT_EQ(running_tasks(world), 5U);
    world.submit(other, "burst", sized_job(4, 4));
    world.run(200ms);
    EXPECT_EQ(running_tasks(world), 8U);
}

// A long-running job without a running task serves nobody, while another one
// with many tasks can do with one less.
TEST(pool_short_job_reserve, every_long_running_job_gets_its_first_task)
{
    pool_simulation world(3, 4);
    auto const other = start_with_reserve(world);
    ASSERT_EQ(running_tasks(world), 5U);
    world.submit(other, "other", long_running_job(20, 3));
    world.run(1s);
    EXPECT_EQ(running_tasks(world), 6U);
}

// Failure: a long-running task that had failed waited forever behind short
// ones, though there was capacity for it.
TEST(pool_short_job_reserve,
     failed_long_running_task_restarts_before_the_reserve)
{
    pool_simulation world(3, 4);
    start_with_reserve(world);
    ASSERT_EQ(running_tasks(world), 5U);
    // A worker with two of the tasks dies; two tasks start again at once.
    std::size_t index = 0;
    while (world.worker(index).running() != 2)
    {
        ++index;
    }
    world.restart_worker(index);
    world.run(3s);
    EXPECT_EQ(running_tasks(world), 6U);
}

// Without short jobs long-running tasks may use the whole pool.
TEST(pool_short_job_reserve, nothing_is_reserved_without_short_jobs)
{
    pool_simulation world(3, 4);
    ASSERT_TRUE(run_until_owned(world));
    world.run(1s);
    world.submit(
        other_than(*world.owner()), "lasting", long_running_job(20, 3));
    world.run(2s);
    EXPECT_EQ(running_tasks(world), 8U);
}
