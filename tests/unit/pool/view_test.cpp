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

// A task that needs more than any worker has left waits; the description gives
// capacity as the obstacle, with the number of workers.
TEST_F(pool_view, reports_the_obstacles_of_a_waiting_job)
{
    auto wide = simple_job(1, 1s);
    wide.steps.front().declared.millicores = 1'000'000'000;
    world.submit(0, "wide", wide);
    world.run(1s);
    auto const detail = scheduler().describe(world.now(), "wide");
    ASSERT_TRUE(detail.has_value());
    EXPECT_FALSE(detail->job.started);
    ASSERT_EQ(detail->waiting.size(), 1U);
    EXPECT_EQ(detail->waiting.front().possible, 0U);
    EXPECT_EQ(detail->waiting.front().obstacles.at(obstacle::capacity),
              world.worker_count());
}

// Failure: a worker that stops answering is not shown as the reason why tasks
// do not start there.
TEST_F(pool_view, reports_a_worker_that_stops_answering_as_silent)
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
                                      [](worker_status const& w)
                                      {
                                          return w.silent;
                                      });
    EXPECT_EQ(silent, 1);
}

// Running tasks are described with their attempt and worker; a job that is over
// is not described as running.
TEST_F(pool_view, describes_jobs_only_while_they_run)
{
    world.submit(0, "two", simple_job(2, 1s));
    world.run(500ms);
    auto const detail = scheduler().describe(world.now(), "two");
    ASSERT_TRUE(detail.has_value());
    ASSERT_EQ(detail->tasks.size(), 2U);
    for (auto const& t : detail->tasks)
    {
        EXPECT_EQ(t.phase, task_phase::running);
        EXPECT_EQ(t.attempt, 1U);
        EXPECT_FALSE(t.worker.empty());
    }
    EXPECT_EQ(scheduler().jobs(world.now()).size(), 1U);
    world.run(5s);
    EXPECT_FALSE(scheduler().describe(world.now(), "two").has_value());
}
