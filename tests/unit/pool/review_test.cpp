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
    world.run(200ms);
    submit_many(world, other, "later", 20, simple_job(1, 1s));
    world.run(200ms);
    world.store().compact();
    cut = false;
    world.run(4700ms);
    for (int step = 0; step < 8; ++step)
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

// Callers are refused a count although the store is merely slow.
TEST(pool_review, a_count_is_told_while_the_store_answers_in_400_ms)
{
    pool_world world(3, 4);
    ASSERT_TRUE(settled(world));
    auto const others_write = [&world](duration how_long)
    {
        for (duration done{}; done < how_long; done += 20ms)
        {
            world.store().put("noise", "x");
            world.run(20ms);
        }
    };
    others_write(2s);
    world.set_store_way(200ms);
    others_write(3s);
    std::size_t refused = 0;
    std::vector<std::uint64_t> asked;
    for (std::size_t step = 0; step < 100; ++step)
    {
        if (step < 50)
        {
            world.submit(0, "job" + std::to_string(step), simple_job(2, 500ms));
        }
        asked.push_back(world.query(step % 3, ""));
        others_write(200ms);
    }
    others_write(2s);
    for (auto const each : asked)
    {
        auto const got = world.answer(each);
        bool const told =
            got && std::holds_alternative<ports::queue_status>(*got);
        refused += told ? 0U : 1U;
    }
    EXPECT_EQ(refused, 0U) << "of " << asked.size();
}

// A commit that names a key twice, or has too many entries, is refused for
// good.
TEST(pool_review, a_commit_names_each_key_once_and_is_within_the_limit)
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        std::mt19937 random(seed);
        pool_world world(3, 8);
        ASSERT_TRUE(settled(world));
        std::string broken;
        world.store_fault =
            [&random, &broken](std::size_t, ports::kv_operation const& call)
        {
            auto const* const commit = std::get_if<ports::kv_commit>(&call);
            if (commit == nullptr || commit->expected.size() != 2 ||
                commit->expected.back().key != "ledger")
            {
                return fate::carried_out;
            }
            std::set<std::string> keys;
            for (auto const& put : commit->puts)
            {
                broken += keys.insert(put.key).second ? "" : put.key + " ";
            }
            for (auto const& key : commit->erases)
            {
                broken += keys.insert(key).second ? "" : key + " ";
            }
            auto const entries = commit->expected.size() + commit->puts.size() +
                                 commit->erases.size();
            broken +=
                entries <= 32 ? "" : std::to_string(entries) + " entries ";
            constexpr std::array<fate, 5> fates{fate::answer_lost,
                                                fate::refused,
                                                fate::lost,
                                                fate::late,
                                                fate::slow};
            auto const drawn = random() % 20;
            return drawn < fates.size() ? fates.at(drawn) : fate::carried_out;
        };
        for (int step = 0; step < 100; ++step)
        {
            auto const id = "job" + std::to_string(step);
            world.submit(step % 3, id, chained_job(100ms));
            world.run(100ms);
            if (random() % 5 == 0)
            {
                world.cancel(step % 3, id);
            }
        }
        world.run(10s);
        EXPECT_EQ(broken, "") << "seed " << seed;
        EXPECT_EQ(world.violation(), "") << "seed " << seed;
    }
}

// A task runs again after commits that were lost or late and a change of owner.
TEST(pool_review, no_task_runs_again_after_unclear_commits_and_a_kill)
{
    for (unsigned seed = 1; seed <= 60; ++seed)
    {
        std::mt19937 random(seed);
        pool_world world(3, 16);
        ASSERT_TRUE(settled(world));
        auto const owner = *world.owner();
        auto const other = other_than(owner);
        world.set_commit_delay(owner, 200ms);
        world.store_fault =
            [&random, owner](std::size_t at, ports::kv_operation const& call)
        {
            auto const* const commit = std::get_if<ports::kv_commit>(&call);
            if (at != owner || commit == nullptr ||
                commit->expected.size() != 2 ||
                commit->expected.back().key != "ledger")
            {
                return fate::carried_out;
            }
            constexpr std::array<fate, 5> fates{fate::answer_lost,
                                                fate::refused,
                                                fate::lost,
                                                fate::late,
                                                fate::slow};
            auto const drawn = random() % 15;
            return drawn < fates.size() ? fates.at(drawn) : fate::carried_out;
        };
        for (std::size_t round = 0; round < 6; ++round)
        {
            submit_many(world,
                        other,
                        "round" + std::to_string(round) + ".",
                        25,
                        chained_job(100ms));
            world.cancel(other, "round" + std::to_string(round) + ".3");
            world.run(400ms);
        }
        world.run(std::chrono::milliseconds(random() % 4000));
        world.kill(owner);
        world.run(15s);
        EXPECT_EQ(world.violation(), "") << "seed " << seed;
    }
}
