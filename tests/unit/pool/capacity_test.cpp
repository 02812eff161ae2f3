#include "pool_simulation.hpp"

#include <gtest/gtest.h>

// Workers whose capacity changes while they run. The workers of the simulation
// start whatever they are told to, so what exceeds their capacity shows there.
using namespace fuchsia::tests::unit::pool;
using fuchsia::ports::job_state;
namespace core = fuchsia::core;
namespace ports = fuchsia::ports;

namespace
{

constexpr ports::resources full{8000, 8000, 0};

ports::resources cores(std::int64_t millicores)
{
    auto result = full;
    result.millicores = millicores;
    return result;
}

bool all_complete(pool_simulation& simulation,
                  std::string const& name,
                  std::size_t count,
                  duration timeout = 60s)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        bool const completed = simulation.run_until(
            [&simulation, &name, number]
            {
                auto const owner = simulation.owner();
                return owner && simulation.state(
                                    *owner, name + std::to_string(number)) ==
                                    job_state::completed;
            },
            timeout);
        if (!completed)
        {
            return false;
        }
    }
    return true;
}

std::size_t running_tasks(pool_simulation& simulation)
{
    std::size_t count = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        count += simulation.worker(number).running();
    }
    return count;
}

} // namespace

// Guards against starts by a capacity that a worker no longer has: one that
// shrinks while orders are under way, again and again.
TEST(pool_capacity, a_shrunk_worker_gets_no_more_than_it_reports)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    for (int round = 0; round < 6; ++round)
    {
        submit_many(simulation,
                    1,
                    "a" + std::to_string(round),
                    10,
                    simple_job(6, 900ms));
        simulation.run(15ms);
        for (std::size_t number = 0; number < simulation.worker_count();
             ++number)
        {
            simulation.set_capacity(number, cores(1000 * (round % 3)));
        }
        simulation.run(8s);
        for (std::size_t number = 0; number < simulation.worker_count();
             ++number)
        {
            simulation.set_capacity(number, full);
        }
        EXPECT_TRUE(all_complete(simulation, "a" + std::to_string(round), 10));
    }
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against capacity that stays unused after it has grown again.
TEST(pool_capacity, a_worker_that_has_grown_again_is_filled)
{
    pool_simulation simulation(3, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.set_capacity(0, cores(2000));
    simulation.run(6s);
    submit_many(simulation, 1, "a", 1, simple_job(8, 20s));
    simulation.run(2s);
    EXPECT_EQ(running_tasks(simulation), 2U);
    simulation.set_capacity(0, full);
    simulation.run(2s);
    EXPECT_EQ(running_tasks(simulation), 8U);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a task that is started where it does not fit, or is given up,
// because no worker can hold it for now.
TEST(pool_capacity, a_task_that_no_worker_can_hold_for_now_waits)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        simulation.set_capacity(number, cores(0));
    }
    simulation.run(6s);
    submit_many(simulation, 1, "a", 3, simple_job(2, 300ms));
    simulation.run(20s);
    EXPECT_EQ(running_tasks(simulation), 0U);
    EXPECT_EQ(simulation.state(*simulation.owner(), "a0"), job_state::queued);
    simulation.set_capacity(2, full);
    EXPECT_TRUE(all_complete(simulation, "a", 3));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a successor that fills workers by the capacity that an earlier
// owner knew.
TEST(pool_capacity, a_successor_knows_a_capacity_that_shrank_across_a_takeover)
{
    for (auto const kill_after : {0ms, 500ms, 3000ms, 6000ms})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        submit_many(simulation, 1, "a", 4, simple_job(6, 4s));
        simulation.run(300ms);
        for (std::size_t number = 0; number < simulation.worker_count();
             ++number)
        {
            simulation.set_capacity(number, cores(3000));
        }
        simulation.run(kill_after);
        auto const owner = *simulation.owner();
        simulation.kill(owner);
        submit_many(
            simulation, other_than(owner), "b", 20, simple_job(6, 300ms));
        EXPECT_TRUE(all_complete(simulation, "a", 4));
        EXPECT_TRUE(all_complete(simulation, "b", 20));
        EXPECT_EQ(simulation.violation(), "");
    }
}

// Guards against a worker that is filled by its earlier incarnation's capacity
// after it came back smaller.
TEST(pool_capacity, a_worker_that_comes_back_smaller_is_filled_as_it_reports)
{
    pool_simulation simulation;
    simulation.set_crash_recovery(500ms, true);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.crash_worker(1);
    simulation.run(600ms);
    simulation.set_capacity(1, cores(1000));
    simulation.run(6s);
    submit_many(simulation, 1, "a", 10, simple_job(6, 900ms));
    EXPECT_TRUE(all_complete(simulation, "a", 10));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a gang of which one member is started beyond the capacity of
// a shrunk worker.
TEST(pool_capacity, a_gang_waits_for_workers_that_have_shrunk)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        simulation.set_capacity(number, cores(1000));
    }
    simulation.run(6s);
    auto gang = simple_job(6, 300ms);
    gang.steps.front().gang = true;
    submit_many(simulation, 1, "a", 1, gang);
    simulation.run(10s);
    EXPECT_EQ(running_tasks(simulation), 0U);
    simulation.set_capacity(0, full);
    EXPECT_TRUE(all_complete(simulation, "a", 1));
    EXPECT_EQ(simulation.violation(), "");
}
