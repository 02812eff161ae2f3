#include "pool_simulation.hpp"

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

// A task whose end was acknowledged before its record is durable runs again.
TEST(pool_writes, no_end_is_acknowledged_before_what_holds_it_is_durable)
{
    for (int attempt = 0; attempt < 12; ++attempt)
    {
        pool_simulation world(3, 16);
        ASSERT_TRUE(run_until_owned(world));
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
TEST(pool_writes, what_waits_is_bounded_while_no_commit_is_taken)
{
    constexpr std::size_t workers = 16;
    pool_simulation world(3, workers);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    auto const other = other_than(owner);
    world.run(1s);
    submit_many(world, other, "long", 16, simple_job(4, 60s));
    submit_many(world, other, "job", 16, simple_job(8, 100ms));
    world.store_fault = [owner](std::size_t at, ports::kv_operation const& call)
    {
        auto const* const commit = std::get_if<ports::kv_commit>(&call);
        bool const hit = at == owner && commit != nullptr &&
                         commit->preconditions.size() == 2 &&
                         commit->preconditions.back().key == "ledger";
        return hit ? fault_effect::refused : fault_effect::carried_out;
    };
    world.run(3s);
    auto const early = world.owner_at(owner).commits().waiting();
    world.run(20s);
    ASSERT_EQ(world.owner(), owner);
    auto const late = world.owner_at(owner).commits().waiting();
    EXPECT_LE(late, early + workers) << early << " after 3 s";
}

// Jobs never end if commits take effect only after their time limit.
TEST(pool_writes, commits_that_take_effect_late_are_found)
{
    pool_simulation world(3, 4);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    auto const other = other_than(owner);
    world.run(1s);
    world.store_fault = [owner](std::size_t at, ports::kv_operation const& call)
    {
        auto const* const commit = std::get_if<ports::kv_commit>(&call);
        bool const hit = at == owner && commit != nullptr &&
                         commit->preconditions.size() == 2 &&
                         commit->preconditions.back().key == "ledger";
        return hit ? fault_effect::executed_late : fault_effect::carried_out;
    };
    submit_many(world, other, "a", 8, simple_job(4, 100ms));
    world.run(5s);
    submit_many(world, other, "b", 40, simple_job(2, 100ms));
    world.run(15s);
    ASSERT_EQ(world.owner(), owner);
    EXPECT_LE(world.owner_at(owner).commits().lag(world.now()), 10s);
    int open = 0;
    for (int number = 0; number < 40; ++number)
    {
        auto const state = world.state(other, "b" + std::to_string(number));
        open += state == ports::job_state::completed ? 0 : 1;
    }
    EXPECT_EQ(open, 0) << "of 40 jobs whose work is done";
}

// A commit that names a key twice, or has too many entries, is refused for
// good.
TEST(pool_writes, a_commit_names_each_key_once_and_is_within_the_limit)
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        std::mt19937 random(seed);
        pool_simulation world(3, 8);
        ASSERT_TRUE(run_until_owned(world));
        std::string broken;
        world.store_fault =
            [&random, &broken](std::size_t, ports::kv_operation const& call)
        {
            auto const* const commit = std::get_if<ports::kv_commit>(&call);
            if (commit == nullptr || commit->preconditions.size() != 2 ||
                commit->preconditions.back().key != "ledger")
            {
                return fault_effect::carried_out;
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
            auto const entries = commit->preconditions.size() +
                                 commit->puts.size() + commit->erases.size();
            broken +=
                entries <= 32 ? "" : std::to_string(entries) + " entries ";
            constexpr std::array<fault_effect, 5> fates{
                fault_effect::answer_lost,
                fault_effect::refused,
                fault_effect::request_lost,
                fault_effect::executed_late,
                fault_effect::delayed};
            auto const drawn = random() % 20;
            return drawn < fates.size() ? fates.at(drawn)
                                        : fault_effect::carried_out;
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
TEST(pool_writes, no_task_runs_again_after_unclear_commits_and_a_kill)
{
    for (unsigned seed = 1; seed <= 60; ++seed)
    {
        std::mt19937 random(seed);
        pool_simulation world(3, 16);
        ASSERT_TRUE(run_until_owned(world));
        auto const owner = *world.owner();
        auto const other = other_than(owner);
        world.set_commit_delay(owner, 200ms);
        world.store_fault =
            [&random, owner](std::size_t at, ports::kv_operation const& call)
        {
            auto const* const commit = std::get_if<ports::kv_commit>(&call);
            if (at != owner || commit == nullptr ||
                commit->preconditions.size() != 2 ||
                commit->preconditions.back().key != "ledger")
            {
                return fault_effect::carried_out;
            }
            constexpr std::array<fault_effect, 5> fates{
                fault_effect::answer_lost,
                fault_effect::refused,
                fault_effect::request_lost,
                fault_effect::executed_late,
                fault_effect::delayed};
            auto const drawn = random() % 15;
            return drawn < fates.size() ? fates.at(drawn)
                                        : fault_effect::carried_out;
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

// An end was acknowledged to its worker before the record of its job's end was
// durable, and the next owner ran the task again.
TEST(pool_writes, an_end_is_acknowledged_once_its_record_is_durable)
{
    for (std::size_t step = 0; step < 40; ++step)
    {
        pool_simulation world(3, 16);
        ASSERT_TRUE(run_until_owned(world));
        auto const owner = *world.owner();
        auto const other = other_than(owner);
        world.set_commit_delay(owner, 400ms);
        submit_many(world, other, "job", 100, chained_job(100ms));
        world.run(1s + step * 50ms);
        world.kill(owner);
        world.run(10s);
        EXPECT_EQ(world.violation(), "") << "killed at step " << step;
    }
}
