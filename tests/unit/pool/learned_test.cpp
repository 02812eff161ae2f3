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

// A colocation that has seen two serving images beside a harmless and a heavy
// one.
colocation taught()
{
    colocation made({});
    auto const first = made.number_of("first");
    auto const heavy = made.number_of("heavy");
    auto const light = made.number_of("light");
    for (int step = 0; step < 200; ++step)
    {
        std::vector<serving_reading> readings(4);
        std::vector<serving_reading const*> all;
        for (std::size_t task = 0; task < readings.size(); ++task)
        {
            bool const beside_heavy = task % 2 == 0;
            auto& each = readings[task];
            each.headroom = beside_heavy ? 2.0 : 4.0;
            each.neighbours = {{beside_heavy ? heavy : light, 0.2}};
            all.push_back(&each);
        }
        made.observe_isolated_headroom(first, 4.0);
        made.learn(first, all);
    }
    return made;
}

} // namespace

// A successor that learns anew takes idle cores for used, and filling work
// waits for many seconds after each failover.
TEST(pool_learned, a_successor_expects_what_its_predecessor_did)
{
    auto const before = taught();
    common::failure reason;
    auto const read =
        parse_interference_estimates(to_json(before.estimates()), reason);
    ASSERT_TRUE(read) << to_string(reason);
    colocation after({});
    // It met the images in another order.
    after.number_of("light");
    after.restore(*read);
    auto const served = after.number_of("first");
    auto old = taught();
    EXPECT_NEAR(
        after.load(served, 2.0), old.load(old.number_of("first"), 2.0), 0.01);
    for (auto const* image : {"heavy", "light"})
    {
        EXPECT_NEAR(
            after.headroom_loss(served, {{after.number_of(image), 1.0}}),
            old.headroom_loss(old.number_of("first"),
                              {{old.number_of(image), 1.0}}),
            0.02)
            << image;
        EXPECT_EQ(after.pair_known(served, after.number_of(image)),
                  old.pair_known(old.number_of("first"), old.number_of(image)));
    }
}

// Images that nobody has read yet say nothing, and would look like knowledge.
TEST(pool_learned, what_was_never_seen_is_not_recorded)
{
    colocation fresh({});
    fresh.number_of("first");
    fresh.number_of("heavy");
    EXPECT_TRUE(fresh.estimates().headrooms.empty());
    EXPECT_TRUE(fresh.estimates().pairs.empty());
}

// A damaged record must neither stop an owner nor be believed in part.
TEST(pool_learned, a_record_that_makes_no_sense_is_refused)
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

// A successor heard workers before it had read what cores they have, took one
// thousandth of a core for all of them, and filling work waited for minutes.
TEST(pool_learned, nothing_is_learned_of_workers_of_unknown_size)
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
    auto filling = fuchsia::tests::unit::pool::simple_job(16, 60s);
    filling.steps.front().best_effort = true;
    filling.steps.front().image = "fills";
    filling.spec = "work=60000 cores=1000";
    auto const other = fuchsia::tests::unit::pool::other_than(first);
    world.submit(other, "serving", serving);
    world.run(5s);
    world.submit(other, "filling", filling);
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

// An owner whose predecessor's record is damaged must work all the same.
TEST(pool_learned, an_owner_works_without_the_record)
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
