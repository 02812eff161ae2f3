#include "pool_simulation.hpp"

#include <gtest/gtest.h>

#include <map>

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

bool accepted(pool_simulation const& simulation, std::uint64_t request)
{
    auto const answer = simulation.answer(request);
    return answer && std::holds_alternative<ports::job_accepted>(*answer);
}

bool completes(pool_simulation& simulation,
               std::string const& id,
               duration timeout = 60s)
{
    return simulation.run_until(
        [&simulation, &id]
        {
            auto const owner = simulation.owner();
            return owner &&
                   simulation.state(*owner, id) == job_state::completed;
        },
        timeout);
}

bool all_complete(pool_simulation& simulation,
                  std::string const& name,
                  std::size_t count,
                  duration timeout = 60s)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        if (!completes(simulation, name + std::to_string(number), timeout))
        {
            return false;
        }
    }
    return true;
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

// Guards against starts beyond a capacity that has shrunk, and against jobs
// that are lost, when a burst comes and owners are killed meanwhile; and
// against workers that stay unused once they have grown again.
TEST(pool_capacity, workers_shrink_during_a_burst_while_owners_are_replaced)
{
    constexpr std::size_t rounds = 40;
    constexpr std::size_t shrunk_workers = 2;
    constexpr std::size_t usual_jobs = 2;
    constexpr std::size_t burst_jobs = 8;
    // The second kill comes 4 s after the first.
    for (std::size_t first_kill = 0; first_kill < rounds; first_kill += 3)
    {
        pool_simulation simulation(3, 8);
        ASSERT_TRUE(run_until_owned(simulation));
        submit_many(simulation, 1, "before", 12, simple_job(4, 3s));
        simulation.run(300ms);
        for (std::size_t number = 0; number < shrunk_workers; ++number)
        {
            simulation.set_capacity(number, cores(4400));
        }
        std::map<std::string, std::uint64_t> requests;
        for (std::size_t round = 0; round < rounds; ++round)
        {
            auto const owner = simulation.owner();
            if (owner && (round == first_kill || round == first_kill + 20))
            {
                simulation.kill(*owner);
                simulation.start(*owner);
            }
            auto const jobs =
                round >= 10 && round < 30 ? burst_jobs : usual_jobs;
            for (std::size_t number = 0; number < jobs; ++number)
            {
                auto const id =
                    "a" + std::to_string(round) + "-" + std::to_string(number);
                requests[id] =
                    simulation.submit(round % 3, id, simple_job(6, 900ms));
            }
            simulation.run(200ms);
        }
        auto const submitted = requests.size();
        for (std::size_t number = 0; number < shrunk_workers; ++number)
        {
            simulation.set_capacity(number, full);
        }
        EXPECT_TRUE(simulation.run_until(
            [&simulation]
            {
                return simulation.worker(0).running() == 8 &&
                       simulation.worker(1).running() == 8;
            },
            6s))
            << first_kill;
        EXPECT_TRUE(all_complete(simulation, "before", 12));
        // A kill loses no more than the submissions of its round.
        std::erase_if(requests,
                      [&simulation](auto const& entry)
                      {
                          return !accepted(simulation, entry.second);
                      });
        EXPECT_GE(requests.size(), submitted - 2 * burst_jobs);
        for (auto const& [id, request] : requests)
        {
            EXPECT_TRUE(completes(simulation, id))
                << id << ", owner killed in round " << first_kill;
        }
        EXPECT_EQ(simulation.violation(), "") << first_kill;
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
