#include "pool_simulation.hpp"

#include <gtest/gtest.h>

#include <set>

// A gang that is to run on one rack is slower on several. That is a wish: it
// must not keep the gang waiting beside free workers.

using namespace fuchsia::tests::unit::pool;
using fuchsia::core::pool::job;
using fuchsia::ports::job_state;
namespace ports = fuchsia::ports;

namespace
{

// The simulated workers with even and odd numbers are two racks.
constexpr std::size_t racks = 2;

// Returns a gang whose members need a worker each.
job gang_of(std::uint32_t count, duration work)
{
    auto result = simple_job(count, work);
    auto& step = result.steps.front();
    step.declared.millicores = 5000;
    step.gang = true;
    step.same_rack = true;
    return result;
}

// Returns the racks on which tasks of the job have ever been started.
std::set<std::size_t> racks_of(pool_simulation& simulation,
                               std::string const& id)
{
    std::set<std::size_t> result;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        for (auto const& run : simulation.worker(number).started_runs())
        {
            if (run.task.job == id)
            {
                result.insert(number % racks);
            }
        }
    }
    return result;
}

bool starts_within(pool_simulation& simulation,
                   std::string const& id,
                   duration limit)
{
    bool const started = simulation.run_until(
        [&simulation, &id]
        {
            return simulation.starts_of({id, 0, 0, 0}) > 0;
        },
        limit);
    // The orders to the other members are under way.
    simulation.run(10ms);
    return started;
}

} // namespace

// Guards against a gang that never starts because no rack has enough workers.
TEST(pool_gang_rack, a_gang_larger_than_any_rack_starts_at_once)
{
    pool_simulation simulation(3, 4);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.run(1s);
    simulation.submit(*simulation.owner(), "g", gang_of(3, 1s));
    EXPECT_TRUE(starts_within(simulation, "g", 300ms));
    EXPECT_EQ(racks_of(simulation, "g").size(), 2U);
    EXPECT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.state(0, "g") == job_state::completed;
        }));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a gang on several racks although one can hold it.
TEST(pool_gang_rack, a_gang_runs_on_one_rack_if_one_can_hold_it)
{
    pool_simulation simulation(3, 6);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.run(1s);
    auto first = gang_of(3, 1s);
    first.steps.front().near_rack = "odd";
    simulation.submit(*simulation.owner(), "near", first);
    EXPECT_TRUE(starts_within(simulation, "near", 300ms));
    EXPECT_EQ(racks_of(simulation, "near"), std::set<std::size_t>{1});
    simulation.submit(*simulation.owner(), "any", gang_of(3, 1s));
    EXPECT_TRUE(starts_within(simulation, "any", 300ms));
    EXPECT_EQ(racks_of(simulation, "any"), std::set<std::size_t>{0});
}

// Guards against a gang that is spread although a rack is free a moment later,
// and against one that waits for a rack that stays in use.
TEST(pool_gang_rack, a_gang_waits_for_a_rack_for_a_short_time)
{
    for (bool const frees_soon : {true, false})
    {
        pool_simulation simulation(3, 8);
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.run(1s);
        auto const work = frees_soon ? 500ms : 20s;
        // Leaves two free workers on either rack.
        for (auto const* const rack : {"even", "odd"})
        {
            auto other = simple_job(2, work);
            other.steps.front().declared.millicores = 8000;
            other.steps.front().near_rack = rack;
            simulation.submit(*simulation.owner(), rack, other);
        }
        simulation.run(200ms);
        simulation.submit(*simulation.owner(), "g", gang_of(4, 3s));
        EXPECT_TRUE(starts_within(simulation, "g", 2500ms));
        EXPECT_EQ(racks_of(simulation, "g").size(), frees_soon ? 1U : 2U);
    }
}

// Guards against a gang that stands still after it has lost a member's worker
// and no rack has enough workers any more, also if the owner changes meanwhile.
TEST(pool_gang_rack, a_gang_goes_on_when_a_loss_leaves_no_rack_for_it)
{
    for (bool const owner_changes : {false, true})
    {
        pool_simulation simulation(3, 5);
        simulation.set_crash_recovery(1h, false);
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.run(1s);
        auto const owner = *simulation.owner();
        simulation.submit(owner, "g", gang_of(3, 8s));
        ASSERT_TRUE(starts_within(simulation, "g", 300ms));
        simulation.run(1s);
        auto const rack = *racks_of(simulation, "g").begin();
        simulation.crash_worker(rack);
        if (owner_changes)
        {
            simulation.run(500ms);
            simulation.kill(owner);
        }
        EXPECT_TRUE(simulation.run_until(
            [&]
            {
                return simulation.state(other_than(owner), "g") ==
                       job_state::completed;
            },
            30s))
            << owner_changes;
        EXPECT_EQ(simulation.violation(), "");
    }
}
