#include "core/pool/colocation.hpp"
#include "core/pool/interference_estimates.hpp"
#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::core::pool;
using fuchsia::tests::unit::pool::pool_simulation;
using namespace std::chrono_literals;
namespace common = fuchsia::core::common;

namespace
{

// Returns a colocation that has learned from a serving image next to a harmless
// and a heavy one.
colocation make_trained_colocation()
{
    colocation model({});
    auto const first = model.number_of("first");
    auto const heavy = model.number_of("heavy");
    auto const light = model.number_of("light");
    for (int step = 0; step < 200; ++step)
    {
        std::vector<serving_reading> readings(4);
        std::vector<serving_reading const*> pointers;
        for (std::size_t task = 0; task < readings.size(); ++task)
        {
            bool const beside_heavy = task % 2 == 0;
            auto& reading = readings[task];
            reading.headroom = beside_heavy ? 2.0 : 4.0;
            reading.neighbours = {{beside_heavy ? heavy : light, 0.2}};
            pointers.push_back(&reading);
        }
        model.observe_isolated_headroom(first, 4.0);
        model.learn(first, pointers);
    }
    return model;
}

} // namespace

// A successor that has to learn again takes idle cores for used ones, and
// best-effort work waits for many seconds after each failover.
TEST(pool_interference_estimates,
     successor_restores_the_estimates_of_its_predecessor)
{
    auto const before = make_trained_colocation();
    common::failure reason;
    auto const restored =
        parse_interference_estimates(to_json(before.estimates()), reason);
    ASSERT_TRUE(restored) << to_string(reason);
    colocation after({});
    // The successor numbers the images in another order.
    after.number_of("light");
    after.restore(*restored);
    auto const serving_image = after.number_of("first");
    auto original = make_trained_colocation();
    EXPECT_NEAR(after.load(serving_image, 2.0),
                original.load(original.number_of("first"), 2.0),
                0.01);
    for (auto const* image : {"heavy", "light"})
    {
        EXPECT_NEAR(
            after.headroom_loss(serving_image, {{after.number_of(image), 1.0}}),
            original.headroom_loss(original.number_of("first"),
                                   {{original.number_of(image), 1.0}}),
            0.02)
            << image;
        EXPECT_EQ(after.pair_known(serving_image, after.number_of(image)),
                  original.pair_known(original.number_of("first"),
                                      original.number_of(image)));
    }
}

// Estimates of images without readings contain no information, but would count
// as learned.
TEST(pool_interference_estimates, images_without_readings_are_not_recorded)
{
    colocation fresh({});
    fresh.number_of("first");
    fresh.number_of("heavy");
    EXPECT_TRUE(fresh.estimates().headrooms.empty());
    EXPECT_TRUE(fresh.estimates().pairs.empty());
}

// A damaged record must neither stop an owner nor be used in part.
TEST(pool_interference_estimates, malformed_records_are_rejected)
{
    for (auto const* text :
         {"",
          "[]",
          "{}",
          R"({"images":[1],"headrooms":[],"pairs":[]})",
          R"({"images":["a"],"headrooms":[[1,1,1]],"pairs":[]})",
          R"({"images":["a"],"headrooms":[[0,1]],"pairs":[]})",
          R"({"images":["a"],"headrooms":[],"pairs":[[0,0,-1,5]]})",
          R"({"images":["a"],"headrooms":[],"pairs":[[0,1,1,5]]})",
          R"({"images":["a"],"headrooms":[],"pairs":[[0,0,1e300,5]]})"})
    {
        common::failure reason;
        EXPECT_FALSE(parse_interference_estimates(text, reason)) << text;
        EXPECT_NE(reason.code, common::result_code::ok) << text;
    }
}

// Failure: a successor got reports from workers before it had loaded their
// number of cores, assumed one thousandth of a core for all of them, and
// best-effort work waited for minutes.
TEST(pool_interference_estimates, no_estimates_from_workers_of_unknown_capacity)
{
    namespace ports = fuchsia::ports;
    using fuchsia::tests::unit::pool::fault_effect;
    pool_simulation world(3, 4);
    ASSERT_TRUE(fuchsia::tests::unit::pool::run_until_owned(world));
    auto const first = *world.owner();
    auto serving = fuchsia::tests::unit::pool::simple_job(24, 1s);
    serving.steps.front().long_running = true;
    serving.steps.front().image = "serves";
    serving.steps.front().tail_target = 100ms;
    serving.spec = "lasts tail=20";
    auto best_effort = fuchsia::tests::unit::pool::simple_job(16, 60s);
    best_effort.steps.front().best_effort = true;
    best_effort.steps.front().image = "fills";
    best_effort.spec = "work=60000 cores=1000";
    auto const other = fuchsia::tests::unit::pool::other_than(first);
    world.submit(other, "serving", serving);
    world.run(5s);
    world.submit(other, "filling", best_effort);
    world.run(3s);
    auto const idle = [&world]
    {
        std::string last;
        for (auto const& line : world.log())
        {
            last = line.what.event == "pool_load" ? text_of(line) : last;
        }
        return std::stoi(last.substr(last.find(" idle=") + 6));
    };
    auto const before = idle();
    ASSERT_GE(before, 4);
    world.store_fault =
        [first](std::size_t instance, ports::kv_operation const& call)
    {
        auto const* const pages = std::get_if<ports::kv_range>(&call);
        bool const list = pages != nullptr && pages->prefix == "workers/";
        return instance != first && list ? fault_effect::delayed
                                         : fault_effect::carried_out;
    };
    world.kill(first);
    ASSERT_TRUE(world.run_until(
        [&world]
        {
            return world.owner().has_value();
        }));
    world.store_fault = nullptr;
    world.run(6s);
    EXPECT_GE(idle(), before / 2);
}

// An owner whose predecessor's record is damaged must still schedule.
TEST(pool_interference_estimates, owner_schedules_despite_a_damaged_record)
{
    pool_simulation world;
    ASSERT_TRUE(world.run_until(
        [&world]
        {
            return world.owner().has_value();
        }));
    world.run(5s);
    ASSERT_TRUE(world.store().find("learned").has_value());
    auto const owner = *world.owner();
    world.kill(owner);
    world.store().put("learned", "no record");
    world.run(3s);
    auto const other = owner == 0 ? 1 : 0;
    world.submit(other, "a", fuchsia::tests::unit::pool::simple_job(2, 100ms));
    EXPECT_TRUE(world.run_until(
        [&world, other]
        {
            return world.state(other, "a") ==
                   fuchsia::ports::job_state::completed;
        }));
}
