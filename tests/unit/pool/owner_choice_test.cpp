#include "pool_simulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

// Choice of the owner, where some instances have a seventh of the processor and
// a twentieth of the network bandwidth of the others.
namespace
{

constexpr double small_factor = 0.05;

// Restarts all instances with these speed factors, in this order.
void start_with(pool_simulation& world,
                std::vector<double> const& speed_factors)
{
    for (std::size_t instance = 0; instance < speed_factors.size(); ++instance)
    {
        world.kill(instance);
    }
    world.run(3s);
    for (std::size_t instance = 0; instance < speed_factors.size(); ++instance)
    {
        world.set_speed_factor(instance, speed_factors[instance]);
        world.start(instance);
        world.run(100ms);
    }
}

bool becomes_owner(pool_simulation& world,
                   std::size_t instance,
                   duration timeout)
{
    return world.run_until(
        [&world, instance]
        {
            return world.owner() == instance;
        },
        timeout);
}

bool any_becomes_owner(pool_simulation& world, duration timeout)
{
    return world.run_until(
        [&world]
        {
            return world.owner().has_value();
        },
        timeout);
}

// Whether the call reads a page of the state in the store.
bool is_page(ports::kv_operation const& call)
{
    auto const* const range = std::get_if<ports::kv_range>(&call);
    return range != nullptr && range->prefix == "pool/";
}

// Whether the call reads the configuration.
bool is_configuration(ports::kv_operation const& call)
{
    auto const* const range = std::get_if<ports::kv_range>(&call);
    return range != nullptr && range->prefix == "operators/";
}

} // namespace

// Failure: a small instance that started first keeps the claim. On a large pool
// it stays slow, and tasks start seconds late.
TEST(pool_owner_choice, small_owner_hands_the_claim_to_a_large_instance)
{
    pool_simulation world;
    start_with(world, {small_factor, 1, small_factor});
    EXPECT_TRUE(becomes_owner(world, 1, 2s));
    EXPECT_EQ(world.violation(), "");
}

// Failure: a preempted owner renews its lease on, which it takes as proof that
// it has no successor, and sends orders beside the successor.
TEST(pool_owner_choice, a_preempted_owner_that_hears_nothing_stops_at_once)
{
    pool_simulation world(2);
    start_with(world, {small_factor});
    world.kill(1);
    ASSERT_TRUE(becomes_owner(world, 0, 5s));
    world.run(3s);
    world.store_fault =
        [](std::size_t instance, ports::kv_operation const& call)
    {
        if (instance != 0)
        {
            return fault_effect::carried_out;
        }
        bool const commits = std::holds_alternative<ports::kv_commit>(call);
        return watches_jobs(call) ? fault_effect::watch_stalled
               : commits          ? fault_effect::request_lost
                                  : fault_effect::carried_out;
    };
    world.worker_fault = [](std::size_t instance,
                            std::size_t worker,
                            ports::pool_operation const&)
    {
        return (instance == 0) == (worker == 0) ? fault_effect::carried_out
                                                : fault_effect::request_lost;
    };
    world.start(1);
    ASSERT_TRUE(becomes_owner(world, 1, 6s));
    world.run(300ms);
    bool const stopped = std::any_of(world.log().begin(),
                                     world.log().end(),
                                     [](logged_line const& line)
                                     {
                                         return line.instance == 0 &&
                                                line.what.event == "claim_lost";
                                     });
    EXPECT_TRUE(stopped);
}

// The large owner dies, and small instances see the free claim as soon as the
// other large one does.
TEST(pool_owner_choice, large_instance_takes_over_from_a_large_one)
{
    pool_simulation world(6);
    start_with(world,
               {1, small_factor, small_factor, small_factor, small_factor, 1});
    ASSERT_TRUE(becomes_owner(world, 0, 4s));
    bool small_owned = false;
    world.kill(0);
    EXPECT_TRUE(world.run_until(
        [&world, &small_owned]
        {
            auto const owner = world.owner();
            small_owned = small_owned || (owner && *owner != 5);
            return owner == 5;
        },
        3s));
    EXPECT_FALSE(small_owned);
}

// All large instances are down. The small ones are slow, but nothing would run
// without them.
TEST(pool_owner_choice, small_instance_takes_over_without_a_large_one)
{
    pool_simulation world;
    start_with(world, {1, small_factor, small_factor});
    ASSERT_TRUE(becomes_owner(world, 0, 4s));
    world.kill(0);
    EXPECT_TRUE(any_becomes_owner(world, 3s));
}

// Instances of similar speed do not request the claim from each other: each
// change of the owner interrupts new work for a moment.
TEST(pool_owner_choice, similar_instances_do_not_move_the_claim)
{
    pool_simulation world;
    start_with(world, {0.6, 1, 0.6});
    ASSERT_TRUE(becomes_owner(world, 0, 4s));
    world.run(20s);
    EXPECT_EQ(world.owner(), 0U);
}

// Failure: pages of the state come slowly over a link of low bandwidth. With
// the timeout of an ordinary call they were requested again and again, and
// nothing ran until the end of the day.
TEST(pool_owner_choice, owner_waits_for_slow_pages_of_the_state)
{
    pool_simulation world;
    world.store_fault = [](std::size_t, ports::kv_operation const& call)
    {
        return is_page(call) ? fault_effect::delayed
                             : fault_effect::carried_out;
    };
    start_with(world, {1, 1, 1});
    EXPECT_TRUE(any_becomes_owner(world, 10s));
}

// One instance can't load the state, but holds and renews the claim. Without a
// time limit nothing runs until an operator kills it.
TEST(pool_owner_choice, owner_that_cannot_load_the_state_releases_the_claim)
{
    pool_simulation world;
    world.store_fault =
        [](std::size_t instance, ports::kv_operation const& call)
    {
        return instance == 0 && is_page(call) ? fault_effect::request_lost
                                              : fault_effect::carried_out;
    };
    start_with(world, {1, 1, 1});
    EXPECT_TRUE(any_becomes_owner(world, 12s));
    EXPECT_NE(world.owner(), 0U);
}

// The same holds for an instance that gets no configuration: it may not
// schedule without one.
TEST(pool_owner_choice, owner_without_configuration_releases_the_claim)
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
    EXPECT_TRUE(any_becomes_owner(world, 12s));
    EXPECT_NE(world.owner(), 0U);
}
