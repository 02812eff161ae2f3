#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

// Which instance schedules, where some have a seventh of the processor and a
// twentieth of the link of others.
namespace
{

constexpr double small = 0.05;

// Starts all instances anew with these sizes, in this order.
void start_with(pool_simulation& world, std::vector<double> const& sizes)
{
    for (std::size_t number = 0; number < sizes.size(); ++number)
    {
        world.kill(number);
    }
    world.run(3s);
    for (std::size_t number = 0; number < sizes.size(); ++number)
    {
        world.set_speed_factor(number, sizes[number]);
        world.start(number);
        world.run(100ms);
    }
}

bool owned_by(pool_simulation& world, std::size_t number, duration patience)
{
    return world.run_until(
        [&world, number]
        {
            return world.owner() == number;
        },
        patience);
}

bool somebody_owns(pool_simulation& world, duration patience)
{
    return world.run_until(
        [&world]
        {
            return world.owner().has_value();
        },
        patience);
}

// A page of the state that the last owner left.
bool is_page(ports::kv_operation const& call)
{
    auto const* const range = std::get_if<ports::kv_range>(&call);
    return range != nullptr && range->prefix == "pool/";
}

// The configuration.
bool is_configuration(ports::kv_operation const& call)
{
    auto const* const range = std::get_if<ports::kv_range>(&call);
    return range != nullptr && range->prefix == "operators/";
}

} // namespace

// A small instance was the first to start and took the claim. On a large pool
// it is slow from then on, which users see as tasks that start seconds late.
TEST(pool_owner_choice, a_small_owner_gives_way_to_a_large_instance)
{
    pool_simulation world;
    start_with(world, {small, 1, small});
    EXPECT_TRUE(owned_by(world, 1, 2s));
    EXPECT_EQ(world.violation(), "");
}

// The large owner dies, and small instances see the free claim as soon as the
// other large one does.
TEST(pool_owner_choice, a_large_instance_follows_a_large_one)
{
    pool_simulation world(6);
    start_with(world, {1, small, small, small, small, 1});
    ASSERT_TRUE(owned_by(world, 0, 4s));
    bool small_ever = false;
    world.kill(0);
    EXPECT_TRUE(world.run_until(
        [&world, &small_ever]
        {
            auto const owner = world.owner();
            small_ever = small_ever || (owner && *owner != 5);
            return owner == 5;
        },
        3s));
    EXPECT_FALSE(small_ever);
}

// All large instances are gone. The small ones are slow, but nothing at all
// would run without them.
TEST(pool_owner_choice, a_small_instance_takes_over_when_no_large_one_lives)
{
    pool_simulation world;
    start_with(world, {1, small, small});
    ASSERT_TRUE(owned_by(world, 0, 4s));
    world.kill(0);
    EXPECT_TRUE(somebody_owns(world, 3s));
}

// Alike instances never ask each other for the claim: each such change would
// stop new work for a moment.
TEST(pool_owner_choice, alike_instances_leave_the_claim_where_it_is)
{
    pool_simulation world;
    start_with(world, {0.6, 1, 0.6});
    ASSERT_TRUE(owned_by(world, 0, 4s));
    world.run(20s);
    EXPECT_EQ(world.owner(), 0U);
}

// Pages of the state come slowly over a thin link. With the time limit of an
// ordinary call they were asked for again and again, and nothing ran till the
// end of the day.
TEST(pool_owner_choice, an_owner_waits_for_slow_pages)
{
    pool_simulation world;
    world.store_fault = [](std::size_t, ports::kv_operation const& call)
    {
        return is_page(call) ? fault_effect::delayed
                             : fault_effect::carried_out;
    };
    start_with(world, {1, 1, 1});
    EXPECT_TRUE(somebody_owns(world, 10s));
}

// The state never loads on one instance, which holds the claim and renews it.
// Without an end to that, nothing runs until somebody kills it.
TEST(pool_owner_choice, an_owner_that_cannot_load_gives_the_claim_up)
{
    pool_simulation world;
    world.store_fault =
        [](std::size_t instance, ports::kv_operation const& call)
    {
        return instance == 0 && is_page(call) ? fault_effect::request_lost
                                              : fault_effect::carried_out;
    };
    start_with(world, {1, 1, 1});
    EXPECT_TRUE(somebody_owns(world, 12s));
    EXPECT_NE(world.owner(), 0U);
}

// The same for one that gets no configuration: it may not schedule without it.
TEST(pool_owner_choice, an_owner_without_configuration_gives_the_claim_up)
{
    pool_simulation world;
    world.store_fault =
        [](std::size_t instance, ports::kv_operation const& call)
    {
        return instance == 0 && is_configuration(call)
                   ? fault_effect::request_lost
                   : fault_effect::carried_out;
    };
    start_with(world, {1, 1, 1});
    EXPECT_TRUE(somebody_owns(world, 12s));
    EXPECT_NE(world.owner(), 0U);
}
