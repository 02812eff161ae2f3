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

// Guards against a second run of a task whose end was acknowledged to its
// worker before its record was durable.
TEST(pool_writes, no_task_runs_again_after_a_kill_with_slow_commits)
{
    for (int attempt = 0; attempt < 12; ++attempt)
    {
        pool_simulation simulation(3, 16);
        ASSERT_TRUE(run_until_owned(simulation));
        auto const owner = *simulation.owner();
        auto const other = other_than(owner);
        simulation.set_commit_delay(owner, 400ms);
        for (int round = 0; round < 4; ++round)
        {
            submit_many(simulation,
                        other,
                        "round" + std::to_string(round) + ".",
                        30,
                        chained_job(100ms));
            simulation.run(500ms);
        }
        simulation.run(attempt * 100ms);
        simulation.kill(owner);
        simulation.run(15s);
        EXPECT_EQ(simulation.violation(), "") << "attempt " << attempt;
    }
}

// Guards against ends that wait for a commit and pile up without bound while
// the store refuses commits.
TEST(pool_writes, the_write_queue_is_bounded_while_commits_are_refused)
{
    constexpr std::size_t workers = 16;
    pool_simulation simulation(3, workers);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    simulation.run(1s);
    submit_many(simulation, other, "long", 16, simple_job(4, 60s));
    submit_many(simulation, other, "job", 16, simple_job(8, 100ms));
    simulation.store_fault =
        [owner](std::size_t instance, ports::kv_operation const& call)
    {
        auto const* const commit = std::get_if<ports::kv_commit>(&call);
        bool const hit = instance == owner && commit != nullptr &&
                         commit->preconditions.size() == 2 &&
                         commit->preconditions.back().key == "ledger";
        return hit ? fault_effect::refused : fault_effect::carried_out;
    };
    simulation.run(3s);
    auto const waiting_after_3_s =
        simulation.owner_at(owner).commits().waiting();
    simulation.run(20s);
    ASSERT_EQ(simulation.owner(), owner);
    auto const waiting_after_23_s =
        simulation.owner_at(owner).commits().waiting();
    EXPECT_LE(waiting_after_23_s, waiting_after_3_s + workers)
        << waiting_after_3_s << " after 3 s";
}

// Guards against jobs that never end when commits take effect only after their
// timeout.
TEST(pool_writes, commits_that_take_effect_after_their_timeout_are_recognised)
{
    pool_simulation simulation(3, 4);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    simulation.run(1s);
    simulation.store_fault =
        [owner](std::size_t instance, ports::kv_operation const& call)
    {
        auto const* const commit = std::get_if<ports::kv_commit>(&call);
        bool const hit = instance == owner && commit != nullptr &&
                         commit->preconditions.size() == 2 &&
                         commit->preconditions.back().key == "ledger";
        return hit ? fault_effect::executed_late : fault_effect::carried_out;
    };
    submit_many(simulation, other, "a", 8, simple_job(4, 100ms));
    simulation.run(5s);
    submit_many(simulation, other, "b", 40, simple_job(2, 100ms));
    simulation.run(15s);
    ASSERT_EQ(simulation.owner(), owner);
    EXPECT_LE(simulation.owner_at(owner).commits().lag(simulation.now()), 10s);
    int unfinished = 0;
    for (int number = 0; number < 40; ++number)
    {
        auto const state =
            simulation.state(other, "b" + std::to_string(number));
        unfinished += state == ports::job_state::completed ? 0 : 1;
    }
    EXPECT_EQ(unfinished, 0) << "of 40 jobs whose work is done";
}

// Guards against a commit that names a key twice or has too many entries, which
// the store refuses every time.
TEST(pool_writes, a_commit_names_each_key_once_and_is_within_the_limit)
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        std::mt19937 random(seed);
        pool_simulation simulation(3, 8);
        ASSERT_TRUE(run_until_owned(simulation));
        std::string errors;
        simulation.store_fault =
            [&random, &errors](std::size_t, ports::kv_operation const& call)
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
                errors += keys.insert(put.key).second ? "" : put.key + " ";
            }
            for (auto const& key : commit->erases)
            {
                errors += keys.insert(key).second ? "" : key + " ";
            }
            auto const entries = commit->preconditions.size() +
                                 commit->puts.size() + commit->erases.size();
            errors +=
                entries <= 32 ? "" : std::to_string(entries) + " entries ";
            constexpr std::array<fault_effect, 5> effects{
                fault_effect::answer_lost,
                fault_effect::refused,
                fault_effect::request_lost,
                fault_effect::executed_late,
                fault_effect::delayed};
            auto const draw = random() % 20;
            return draw < effects.size() ? effects.at(draw)
                                         : fault_effect::carried_out;
        };
        for (int step = 0; step < 100; ++step)
        {
            auto const id = "job" + std::to_string(step);
            simulation.submit(step % 3, id, chained_job(100ms));
            simulation.run(100ms);
            if (random() % 5 == 0)
            {
                simulation.cancel(step % 3, id);
            }
        }
        simulation.run(10s);
        EXPECT_EQ(errors, "") << "seed " << seed;
        EXPECT_EQ(simulation.violation(), "") << "seed " << seed;
    }
}

// Guards against tasks that run again when commits were lost or late and the
// owner was then replaced.
TEST(pool_writes, no_task_runs_again_after_unclear_commits_and_a_kill)
{
    for (unsigned seed = 1; seed <= 60; ++seed)
    {
        std::mt19937 random(seed);
        pool_simulation simulation(3, 16);
        ASSERT_TRUE(run_until_owned(simulation));
        auto const owner = *simulation.owner();
        auto const other = other_than(owner);
        simulation.set_commit_delay(owner, 200ms);
        simulation.store_fault =
            [&random, owner](std::size_t instance,
                             ports::kv_operation const& call)
        {
            auto const* const commit = std::get_if<ports::kv_commit>(&call);
            if (instance != owner || commit == nullptr ||
                commit->preconditions.size() != 2 ||
                commit->preconditions.back().key != "ledger")
            {
                return fault_effect::carried_out;
            }
            constexpr std::array<fault_effect, 5> effects{
                fault_effect::answer_lost,
                fault_effect::refused,
                fault_effect::request_lost,
                fault_effect::executed_late,
                fault_effect::delayed};
            auto const draw = random() % 15;
            return draw < effects.size() ? effects.at(draw)
                                         : fault_effect::carried_out;
        };
        for (std::size_t round = 0; round < 6; ++round)
        {
            submit_many(simulation,
                        other,
                        "round" + std::to_string(round) + ".",
                        25,
                        chained_job(100ms));
            simulation.cancel(other, "round" + std::to_string(round) + ".3");
            simulation.run(400ms);
        }
        simulation.run(std::chrono::milliseconds(random() % 4000));
        simulation.kill(owner);
        simulation.run(15s);
        EXPECT_EQ(simulation.violation(), "") << "seed " << seed;
    }
}

// Guards against a second run of a task whose end was acknowledged before the
// record of its job's end was durable.
TEST(pool_writes, an_end_is_acknowledged_after_its_jobs_end_is_durable)
{
    for (std::size_t step = 0; step < 40; ++step)
    {
        pool_simulation simulation(3, 16);
        ASSERT_TRUE(run_until_owned(simulation));
        auto const owner = *simulation.owner();
        auto const other = other_than(owner);
        simulation.set_commit_delay(owner, 400ms);
        submit_many(simulation, other, "job", 100, chained_job(100ms));
        simulation.run(1s + step * 50ms);
        simulation.kill(owner);
        simulation.run(10s);
        EXPECT_EQ(simulation.violation(), "") << "killed at step " << step;
    }
}
