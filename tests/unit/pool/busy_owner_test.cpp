#include "pool_world.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t instances = 3;

/// Runs of the task on any worker.
std::size_t runs_of(pool_world& world, std::string const& job)
{
    std::size_t made = 0;
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        for (auto const& each : world.worker(number).begun())
        {
            made += each.task.job == job ? 1U : 0U;
        }
    }
    return made;
}

std::size_t worker_of(pool_world& world, std::string const& job)
{
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        for (auto const& each : world.worker(number).begun())
        {
            if (each.task.job == job)
            {
                return number;
            }
        }
    }
    return world.worker_count();
}

} // namespace

// An owner that could not read a worker's answers ran its tasks again once the
// lease was over, though the worker had told that they were done.
TEST(pool_busy_owner, asks_a_worker_again_before_its_tasks_start_elsewhere)
{
    pool_world world(instances);
    ASSERT_TRUE(settled(world));
    auto const owner = *world.owner();
    world.run(1s);
    world.submit(other_than(owner), "a", simple_job(1, 1s));
    ASSERT_TRUE(world.run_until(
        [&world]
        {
            return runs_of(world, "a") == 1;
        }));
    auto const unheard = worker_of(world, "a");
    world.worker_fault = [&world, owner, unheard](
                             std::size_t,
                             std::size_t worker,
                             ports::pool_operation const& call)
    {
        auto const seen = world.scheduler(owner).workers(world.now());
        bool const hit = worker == unheard &&
                         seen[unheard].lease_left > duration{} &&
                         std::holds_alternative<ports::hold_order>(call);
        return hit ? fate::answer_lost : fate::carried_out;
    };
    EXPECT_TRUE(world.run_until(
        [&world, owner]
        {
            return world.state(owner, "a") == ports::job_state::completed;
        }));
    EXPECT_EQ(runs_of(world, "a"), 1U);
}

// Tasks of a worker that is gone for good must start elsewhere all the same.
TEST(pool_busy_owner, a_worker_that_stays_silent_loses_its_tasks)
{
    pool_world world(instances);
    ASSERT_TRUE(settled(world));
    auto const owner = *world.owner();
    world.run(1s);
    world.submit(other_than(owner), "a", simple_job(1, 10s));
    ASSERT_TRUE(world.run_until(
        [&world]
        {
            return runs_of(world, "a") == 1;
        }));
    auto const lost = worker_of(world, "a");
    world.worker_fault =
        [lost](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == lost ? fate::lost : fate::carried_out;
    };
    EXPECT_TRUE(world.run_until(
        [&world]
        {
            return runs_of(world, "a") == 2;
        },
        7s));
    EXPECT_EQ(world.violation(), "");
}
