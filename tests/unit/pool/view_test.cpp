#include "pool_simulation.hpp"

#include <algorithm>
#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
using namespace fuchsia::core::pool;
namespace ports = fuchsia::ports;

namespace
{

struct pool_view : testing::Test
{
    pool_view()
    {
        world.run_until(
            [this]
            {
                return world.owner().has_value();
            });
        world.run(1s);
    }

    owner& scheduler()
    {
        return world.owner_at(*world.owner());
    }

    pool_simulation world;
};

} // namespace

// A task that needs more than any worker has left waits; whoever asks is told
// that room is what is missing, by the number of workers.
TEST_F(pool_view, says_what_a_waiting_job_lacks)
{
    auto wide = simple_job(1, 1s);
    wide.steps.front().declared.millicores = 1'000'000'000;
    world.submit(0, "wide", wide);
    world.run(1s);
    auto const seen = scheduler().describe(world.now(), "wide");
    ASSERT_TRUE(seen.has_value());
    EXPECT_FALSE(seen->job.started);
    ASSERT_EQ(seen->waiting.size(), 1U);
    EXPECT_EQ(seen->waiting.front().possible, 0U);
    EXPECT_EQ(seen->waiting.front().obstacles.at(obstacle::capacity),
              world.worker_count());
}

// A worker that stops answering is why a task stays away from it.
TEST_F(pool_view, tells_a_silent_worker_from_a_full_one)
{
    world.worker_fault =
        [](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == 0 ? fault_effect::request_lost
                           : fault_effect::carried_out;
    };
    world.run(4s);
    auto const rows = scheduler().workers(world.now());
    auto const silent = std::count_if(rows.begin(),
                                      rows.end(),
                                      [](worker_status const& each)
                                      {
                                          return each.silent;
                                      });
    EXPECT_EQ(silent, 1);
}

// What runs is told with its attempt and its worker, and a job that is over is
// not shown as one at work.
TEST_F(pool_view, shows_tasks_while_they_run)
{
    world.submit(0, "two", simple_job(2, 1s));
    world.run(500ms);
    auto const seen = scheduler().describe(world.now(), "two");
    ASSERT_TRUE(seen.has_value());
    ASSERT_EQ(seen->tasks.size(), 2U);
    for (auto const& each : seen->tasks)
    {
        EXPECT_EQ(each.phase, task_phase::running);
        EXPECT_EQ(each.attempt, 1U);
        EXPECT_FALSE(each.worker.empty());
    }
    EXPECT_EQ(scheduler().jobs(world.now()).size(), 1U);
    world.run(5s);
    EXPECT_FALSE(scheduler().describe(world.now(), "two").has_value());
}
