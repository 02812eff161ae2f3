#include "core/tasks/attempt_lifecycle.hpp"
#include "core/tasks/cell_log.hpp"
#include "core/tasks/job.hpp"
#include "core/tasks/quota.hpp"
#include "core/tasks/worker_registry.hpp"
#include "unit/tasks/planner_simulation.hpp"

#include <gtest/gtest.h>
#include <random>

using namespace fuchsia;
using namespace fuchsia::core::tasks;
using namespace std::chrono_literals;
using core::common::result_code;
using core::common::time_point;

namespace
{

job sample_job(std::string id, std::uint32_t tasks = 3)
{
    job out;
    out.id = std::move(id);
    out.customer = "estate";
    out.task_class = "valuation";
    out.declared = {1000, 2000, 0};
    out.tasks = tasks;
    out.work_ms = 1000;
    return out;
}

/// Drives cell logs on an in-memory store that replies at once.
struct log_fixture
{
    tests::unit::walks::store_contents store;
    store_calls calls{{1000, 1000}};
    time_point now{1h};

    void settle(cell_log& log)
    {
        ports::actions out;
        for (int round = 0; round < 20; ++round)
        {
            log.tick(now, calls, out);
            for (auto const& action : std::exchange(out, {}))
            {
                auto const& call = std::get<ports::store_call>(action);
                auto reply = store.apply(call.operation);
                reply.id = call.id;
                auto const tag = calls.take(call.id);
                log.on_store_reply(now, *tag, reply, calls, out);
            }
            now += 50ms;
        }
    }

    cell_state replayed(std::string const& cell)
    {
        core::common::failure reason;
        auto const reply = store.apply(ports::store_list{cell_prefix(cell)});
        auto const stored = replay(cell, reply.entries, reason);
        EXPECT_TRUE(stored) << to_string(reason);
        return stored ? stored->state : cell_state{};
    }

    void start(cell_log& log)
    {
        ports::actions out;
        log.start(calls, out);
        auto const& call = std::get<ports::store_call>(out.front());
        auto reply = store.apply(call.operation);
        reply.id = call.id;
        ports::actions next;
        log.on_store_reply(now, *calls.take(call.id), reply, calls, next);
        for (auto const& action : next)
        {
            auto const& append = std::get<ports::store_call>(action);
            auto answer = store.apply(append.operation);
            answer.id = append.id;
            ports::actions none;
            log.on_store_reply(
                now, *calls.take(append.id), answer, calls, none);
        }
        settle(log);
    }
};

change random_change(std::mt19937_64& random, cell_state const& state)
{
    task_key const key{"j" + std::to_string(random() % 40),
                       static_cast<std::uint32_t>(random() % 3)};
    auto const* task = state.find(key);
    auto const attempt = task == nullptr ? 1 : task->attempt;
    auto const worker = "w" + std::to_string(random() % 4);
    switch (random() % 9)
    {
    case 0:
    case 1:
        return message_accepted{make_submission_message(sample_job(key.job))};
    case 2:
    case 3:
        return attempt_started{key, attempt + 1, worker, 10, 20};
    case 4:
        return attempt_ended{
            key, attempt, static_cast<attempt_outcome>(random() % 6), "why"};
    case 5:
        return checkpoint_taken{key, attempt, "cp"};
    case 6:
        return random() % 4 == 0
                   ? change(job_stopped{
                         key.job, result_code::job_cancelled, "asked"})
                   : change(job_removed{key.job});
    case 7:
        return transfer_started{key.job + "~" + std::to_string(random() % 9),
                                "other",
                                key.job,
                                {key.index},
                                1};
    default:
        return transfer_completed{key.job + "~" + std::to_string(random() % 9)};
    }
}

} // namespace

// A malformed job must be refused with the code of its fault.
TEST(job, round_trips_through_json_and_malformed_input_is_refused)
{
    core::common::failure reason;
    auto const written = sample_job("valuation-17");
    EXPECT_EQ(parse_job(to_json(written), reason), written);
    std::vector<std::pair<std::string, result_code>> const cases{
        {"{", result_code::malformed_json},
        {"{\"id\":\"a\"}", result_code::missing_key},
        {tests::unit::tasks::job_json("a/b", "c"), result_code::malformed_job},
        {tests::unit::tasks::job_json("a", "c", "daemon"),
         result_code::malformed_job},
        {tests::unit::tasks::job_json("a", "c", "batch", 0),
         result_code::out_of_range},
        {tests::unit::tasks::job_json("a", "c", "batch", 1, 1, 0),
         result_code::malformed_job},
        {tests::unit::tasks::job_json("a", "c", "batch", 1, 1, 1, ",\"x\":1"),
         result_code::unknown_key},
    };
    for (auto const& [text, code] : cases)
    {
        EXPECT_FALSE(parse_job(text, reason)) << text;
        EXPECT_EQ(reason.code, code) << text << " " << to_string(reason);
    }
}

TEST(attempt_lifecycle, allows_only_the_transitions_of_its_table)
{
    using enum attempt_phase;
    using enum attempt_event;
    EXPECT_EQ(next_phase(committing_start, start_committed), starting);
    EXPECT_EQ(next_phase(starting, running_observed), running);
    EXPECT_EQ(next_phase(running, evict), checkpointing);
    EXPECT_EQ(next_phase(checkpointing, checkpoint_made),
              committing_checkpoint);
    EXPECT_EQ(next_phase(committing_checkpoint, checkpoint_committed),
              stopping);
    EXPECT_EQ(next_phase(stopping, stop_confirmed), awaiting_final_report);
    EXPECT_EQ(next_phase(awaiting_final_report, ended), complete);
    EXPECT_FALSE(next_phase(committing_start, running_observed));
    EXPECT_FALSE(next_phase(checkpointing, checkpoint_committed));
    EXPECT_FALSE(next_phase(complete, running_observed));
}

TEST(cell_log, replays_to_the_committed_state)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        std::mt19937_64 random(seed);
        log_fixture fixture;
        cell_log_settings settings;
        settings.records_per_snapshot =
            static_cast<std::uint32_t>(1 + random() % 30);
        cell_log log("cell", 7, 1, settings);
        fixture.start(log);
        ASSERT_TRUE(log.active());
        for (int round = 0; round < 200; ++round)
        {
            for (auto count = random() % 6; count > 0; --count)
            {
                log.submit_change(
                    fixture.now, random_change(random, log.state()), false);
            }
            fixture.settle(log);
            ASSERT_EQ(fixture.replayed("cell"), log.state()) << seed;
        }
        EXPECT_GT(log.state().last_record, log_slots);
    }
}

// An owner is partitioned, another one takes over the cell, and the first
// returns with changes that must not be committed.
TEST(cell_log, fences_off_an_owner_that_was_replaced)
{
    log_fixture fixture;
    cell_log first("cell", 7, 1, {});
    fixture.start(first);
    cell_log second("cell", 8, 2, {});
    fixture.start(second);
    ASSERT_TRUE(second.active());
    first.submit_change(
        fixture.now,
        message_accepted{make_submission_message(sample_job("late"))},
        true);
    fixture.settle(first);
    EXPECT_TRUE(first.ownership_lost());
    EXPECT_TRUE(first.take_committed().empty());
    EXPECT_TRUE(fixture.replayed("cell").jobs.empty());
    cell_log older("cell", 9, 1, {});
    fixture.start(older);
    EXPECT_TRUE(older.ownership_lost());
}

// Owners that crash before their first snapshot leave only takeover records.
// The log has a limited number of slots, which these records must not use up.
TEST(cell_log, survives_any_number_of_takeovers)
{
    log_fixture fixture;
    cell_log_settings settings;
    settings.records_per_snapshot = 1000;
    for (std::uint64_t epoch = 1; epoch <= 3 * log_slots; ++epoch)
    {
        cell_log log("cell", epoch, epoch, settings);
        fixture.start(log);
        ASSERT_TRUE(log.active()) << epoch;
        log.submit_change(fixture.now,
                          message_accepted{make_submission_message(
                              sample_job("j" + std::to_string(epoch), 1))},
                          true);
        fixture.settle(log);
        ASSERT_EQ(fixture.replayed("cell").jobs.size(), epoch);
    }
}

TEST(quota, never_grants_more_than_the_contract)
{
    core::contracts::contract contract;
    contract.capacity = {10000, 100000, 0};
    contract.batch_permille = 500;
    quota_document document;
    allowance const need{{8000, 1000, 0}, {8000, 1000, 0}};
    document.cells["a"] = adjust_grant(document, "a", need, contract);
    EXPECT_EQ(document.cells["a"].granted.total.millicores, 8000);
    EXPECT_EQ(document.cells["a"].granted.batch.millicores, 5000);
    document.cells["b"] = adjust_grant(document, "b", need, contract);
    EXPECT_EQ(document.cells["b"].granted.total.millicores, 2000);
    EXPECT_EQ(document.cells["b"].granted.batch.millicores, 0);
    contract.capacity = {5000, 100000, 0};
    // Services have 3 of the 8 cores of a; with the 2 cores of b they use up
    // the contract.
    EXPECT_EQ(scaled_grant(document, "a", contract).total.millicores, 3000);
    EXPECT_EQ(scaled_grant(document, "b", contract).total.millicores, 2000);
    EXPECT_EQ(scaled_grant(document, "a", contract).batch.millicores, 0);
    contract.capacity = {7000, 100000, 0};
    EXPECT_EQ(scaled_grant(document, "a", contract).total.millicores, 5000);
    EXPECT_EQ(scaled_grant(document, "a", contract).batch.millicores, 2000);
    contract.capacity = {2500, 100000, 0};
    EXPECT_EQ(scaled_grant(document, "a", contract).total.millicores, 1500);
    EXPECT_EQ(scaled_grant(document, "b", contract).total.millicores, 1000);
}

// Repeated failures of one job may be the fault of that job; only failures of
// different jobs count against the worker.
TEST(worker_registry, quarantines_a_worker_after_failures_of_different_jobs)
{
    worker_registry registry({});
    ports::worker_instance info{"w", "r", "dc", {8000, 8000, 0}};
    registry.on_list({{info}, {}});
    time_point now{1h};
    registry.on_report(now, {"w", 1, 5000, {}});
    for (int round = 0; round < 9; ++round)
    {
        registry.record_failure(now, "w", "same");
    }
    EXPECT_TRUE(registry.may_start(now, *registry.find("w")));
    for (auto const* job : {"a", "b", "c"})
    {
        registry.record_failure(now, "w", job);
    }
    EXPECT_FALSE(registry.may_start(now, *registry.find("w")));
    now += 25s;
    registry.on_report(now, {"w", 2, 30000, {}});
    EXPECT_TRUE(registry.may_start(now, *registry.find("w")));
    EXPECT_TRUE(registry.find("w")->probing);
    registry.record_success("w");
    EXPECT_FALSE(registry.find("w")->probing);
}

// The estimate is a lower bound of the worker's clock, and a repeated report
// does not count as news of it.
TEST(worker_registry, never_estimates_a_clock_ahead_of_its_worker)
{
    worker_registry registry({});
    registry.on_list({{{"w", "r", "dc", {}}}, {}});
    time_point const now{1h};
    registry.on_report(now, {"w", 1, 5000, {}});
    EXPECT_FALSE(registry.on_report(now + 1s, {"w", 1, 5000, {}}));
    EXPECT_EQ(registry.clock_lower_bound(now + 10s, *registry.find("w")),
              14700U);
}
