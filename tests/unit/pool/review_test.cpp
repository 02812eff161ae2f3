#include "pool_world.hpp"

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

bool settled(pool_world& world)
{
    return world.run_until(
        [&world]
        {
            return world.owner().has_value();
        });
}

std::size_t other_than(std::size_t number)
{
    return number == 0 ? 1 : 0;
}

void submit_many(pool_world& world,
                 std::size_t at,
                 std::string const& name,
                 std::size_t count,
                 fuchsia::core::pool::job const& what)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        world.submit(at, name + std::to_string(number), what);
    }
}

// All workers are busy for a minute.
void fill(pool_world& world, std::size_t at)
{
    submit_many(world, at, "fills", world.worker_count(), simple_job(8, 60s));
    world.run(1s);
}

bool watches_jobs(ports::kv_operation const& call)
{
    auto const* const watch = std::get_if<ports::kv_watch>(&call);
    return watch != nullptr && watch->prefix == "pool/";
}

} // namespace

// A task whose end was acknowledged before its record is durable runs again.
TEST(pool_review, no_end_is_acknowledged_before_what_holds_it_is_durable)
{
    for (int attempt = 0; attempt < 12; ++attempt)
    {
        pool_world world(3, 16);
        ASSERT_TRUE(settled(world));
        auto const owner = *world.owner();
        auto const other = other_than(owner);
        world.set_commit_delay(owner, 400ms);
        for (int round = 0; round < 4; ++round)
        {
            submit_many(world,
                        other,
                        "round" + std::to_string(round) + ".",
                        30,
                        chained_job(100ms));
            world.run(500ms);
        }
        world.run(attempt * 100ms);
        world.kill(owner);
        world.run(15s);
        EXPECT_EQ(world.violation(), "") << "attempt " << attempt;
    }
}

// Ends that wait for a commit pile up without bound while none is taken.
TEST(pool_review, what_waits_is_bounded_while_no_commit_is_taken)
{
    constexpr std::size_t workers = 16;
    pool_world world(3, workers);
    ASSERT_TRUE(settled(world));
    auto const owner = *world.owner();
    auto const other = other_than(owner);
    world.run(1s);
    submit_many(world, other, "long", 16, simple_job(4, 60s));
    submit_many(world, other, "job", 16, simple_job(8, 100ms));
    world.store_fault = [owner](std::size_t at, ports::kv_operation const& call)
    {
        auto const* const commit = std::get_if<ports::kv_commit>(&call);
        bool const hit = at == owner && commit != nullptr &&
                         commit->expected.size() == 2 &&
                         commit->expected.back().key == "ledger";
        return hit ? fate::refused : fate::carried_out;
    };
    world.run(3s);
    auto const early = world.scheduler(owner).commits().waiting();
    world.run(20s);
    ASSERT_EQ(world.owner(), owner);
    auto const late = world.scheduler(owner).commits().waiting();
    EXPECT_LE(late, early + workers) << early << " after 3 s";
}

// An owner tells 0 of 20 after a watch that answered with nothing for a while.
TEST(pool_review, a_deaf_watch_of_jobs_does_not_count_as_heard)
{
    pool_world world(3, 1);
    ASSERT_TRUE(settled(world));
    auto const owner = *world.owner();
    auto const other = other_than(owner);
    fill(world, other);
    world.store_fault = [owner](std::size_t at, ports::kv_operation const& call)
    {
        return at == owner && watches_jobs(call) ? fate::deaf
                                                 : fate::carried_out;
    };
    world.run(1500ms);
    submit_many(world, other, "later", 20, simple_job(1, 1s));
    world.run(1500ms);
    world.store_fault = nullptr;
    world.run(4500ms);
    for (std::size_t number = 0; number < 3; ++number)
    {
        auto const told = world.waiting_told(number);
        EXPECT_TRUE(!told || *told >= 10)
            << "instance " << number << " tells " << told.value_or(0);
    }
}

// Instances tell 0 of 20 while an owner reads all jobs again, page by page.
TEST(pool_review, jobs_on_pages_to_come_do_not_count_as_heard)
{
    pool_world world(3, 1);
    ASSERT_TRUE(settled(world));
    auto const owner = *world.owner();
    auto const other = other_than(owner);
    auto small = simple_job(1, 60s);
    small.steps.front().declared = {1, 1, 0};
    submit_many(world, other, "a", 600, small);
    submit_many(world, other, "fills", 1, simple_job(7, 60s));
    world.run(4s);
    ASSERT_EQ(world.scheduler(owner).pending()["q"], 0U);
    bool cut = true;
    world.store_fault =
        [owner, &cut](std::size_t at, ports::kv_operation const& call)
    {
        auto const* const pages = std::get_if<ports::kv_range>(&call);
        bool const later_page = pages != nullptr && pages->prefix == "pool/" &&
                                !pages->after.empty();
        bool const hit =
            at == owner && ((cut && watches_jobs(call)) || later_page);
        return hit ? fate::lost : fate::carried_out;
    };
    world.run(2s);
    submit_many(world, other, "later", 20, simple_job(1, 1s));
    world.run(5s);
    world.store().compact();
    cut = false;
    for (int step = 0; step < 40; ++step)
    {
        world.run(100ms);
        auto const told = world.waiting_told(other);
        EXPECT_TRUE(!told || *told >= 10)
            << "step " << step << " tells " << told.value_or(0);
    }
    EXPECT_EQ(world.owner(), owner);
}

// Jobs never end if commits take effect only after their time limit.
TEST(pool_review, commits_that_take_effect_late_are_found)
{
    pool_world world(3, 4);
    ASSERT_TRUE(settled(world));
    auto const owner = *world.owner();
    auto const other = other_than(owner);
    world.run(1s);
    world.store_fault = [owner](std::size_t at, ports::kv_operation const& call)
    {
        auto const* const commit = std::get_if<ports::kv_commit>(&call);
        bool const hit = at == owner && commit != nullptr &&
                         commit->expected.size() == 2 &&
                         commit->expected.back().key == "ledger";
        return hit ? fate::late : fate::carried_out;
    };
    submit_many(world, other, "a", 8, simple_job(4, 100ms));
    world.run(5s);
    submit_many(world, other, "b", 40, simple_job(2, 100ms));
    world.run(15s);
    ASSERT_EQ(world.owner(), owner);
    EXPECT_LE(world.scheduler(owner).commits().lag(world.now()), 10s);
    int open = 0;
    for (int number = 0; number < 40; ++number)
    {
        auto const state = world.state(other, "b" + std::to_string(number));
        open += state == ports::job_state::completed ? 0 : 1;
    }
    EXPECT_EQ(open, 0) << "of 40 jobs whose work is done";
}
