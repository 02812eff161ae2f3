#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
using fuchsia::ports::job_state;
namespace ports = fuchsia::ports;

namespace
{

bool ends_as(pool_simulation& simulation,
             std::size_t queried,
             std::string const& id,
             job_state expected)
{
    return simulation.run_until(
        [&simulation, queried, &id, expected]
        {
            return simulation.state(queried, id) == expected;
        });
}

// Applies `effect` to all commits of instance `target` from now on.
void fail_commits(pool_simulation& simulation,
                  std::size_t target,
                  fault_effect effect)
{
    simulation.store_fault =
        [target, effect](std::size_t instance,
                         ports::kv_operation const& operation)
    {
        bool const hit = instance == target &&
                         std::holds_alternative<ports::kv_commit>(operation);
        return hit ? effect : fault_effect::carried_out;
    };
}

template<class Answer>
bool is_answered_with(pool_simulation& simulation, std::uint64_t request)
{
    simulation.run_until(
        [&simulation, request]
        {
            return simulation.answer(request).has_value();
        });
    auto const answer = simulation.answer(request);
    return answer && std::holds_alternative<Answer>(*answer);
}

} // namespace

// Guards against a submitter who is told that a job was refused although the
// store has committed it.
TEST(pool_faults, a_lost_commit_answer_is_not_reported_as_refusal)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    fail_commits(simulation, 1, fault_effect::answer_lost);
    auto const first = simulation.submit(1, "a", simple_job(2, 100ms));
    EXPECT_TRUE(
        is_answered_with<ports::job_outcome_unknown>(simulation, first));
    auto const again = simulation.submit(2, "a", simple_job(2, 100ms));
    EXPECT_TRUE(is_answered_with<ports::job_accepted>(simulation, again));
    EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a second run of a job whose submission is repeated after its
// end.
TEST(pool_faults, a_job_submitted_again_after_its_end_does_not_run_again)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", simple_job(2, 100ms));
    EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
    auto const again = simulation.submit(2, "a", simple_job(2, 100ms));
    EXPECT_TRUE(is_answered_with<ports::job_accepted>(simulation, again));
    simulation.run(2s);
    EXPECT_EQ(simulation.state(1, "a"), job_state::completed);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a job that the store refused and that is reported as unknown,
// or runs.
TEST(pool_faults, a_refused_job_never_runs)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    fail_commits(simulation, 1, fault_effect::refused);
    auto const request = simulation.submit(1, "a", simple_job(2, 100ms));
    EXPECT_TRUE(is_answered_with<ports::job_refused>(simulation, request));
    simulation.run(2s);
    EXPECT_EQ(simulation.state(2, "a"), std::nullopt);
}

// Guards against two runs at once: a start without an answer may take effect
// after the next attempt has started.
TEST(pool_faults, a_late_start_does_not_run_beside_the_next_attempt)
{
    for (std::size_t target = 0; target < 4; ++target)
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        int hits = 0;
        simulation.worker_fault =
            [&hits, target](std::size_t,
                            std::size_t worker,
                            ports::pool_operation const& operation)
        {
            bool const hit =
                worker == target && hits < 3 &&
                std::holds_alternative<ports::start_order>(operation);
            hits += hit ? 1 : 0;
            return hit ? fault_effect::executed_late
                       : fault_effect::carried_out;
        };
        simulation.submit(1, "a", simple_job(8, 3s));
        EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
        simulation.run(3s);
        EXPECT_EQ(simulation.violation(), "");
    }
}

// Guards against two runs at once: a poll that does not list a task is no proof
// that its unanswered start will not take effect.
TEST(pool_faults, a_late_start_does_not_run_when_its_stop_was_lost)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    int late_starts = 0;
    auto const until = simulation.now() + 3s;
    simulation.worker_fault = [&late_starts, &simulation, until](
                                  std::size_t,
                                  std::size_t worker,
                                  ports::pool_operation const& operation)
    {
        bool const start =
            worker == 0 && late_starts < 1 &&
            std::holds_alternative<ports::start_order>(operation);
        bool const stop = worker == 0 && simulation.now() < until &&
                          std::holds_alternative<ports::stop_order>(operation);
        late_starts += start ? 1 : 0;
        return start  ? fault_effect::executed_late
               : stop ? fault_effect::request_lost
                      : fault_effect::carried_out;
    };
    simulation.submit(1, "a", simple_job(1, 4s));
    simulation.run(100ms);
    // The next attempt starts on another worker.
    simulation.store().put("operators/out/even", "");
    EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
    simulation.run(3s);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against tasks that start elsewhere while a disconnected worker still
// runs them.
TEST(pool_faults, tasks_of_a_silent_worker_wait_for_the_end_of_its_lease)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", simple_job(8, 6s));
    simulation.run(300ms);
    ASSERT_GT(simulation.worker(0).running(), 0U);
    // One more renewal reaches the worker, whose clock is slow; its answer is
    // lost.
    int received = 0;
    simulation.worker_fault = [&received](std::size_t,
                                          std::size_t worker,
                                          ports::pool_operation const&)
    {
        if (worker != 0)
        {
            return fault_effect::carried_out;
        }
        return ++received == 1 ? fault_effect::answer_lost
                               : fault_effect::request_lost;
    };
    EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a worker that receives calls but can't answer and whose lease
// is renewed for ever.
TEST(pool_faults, a_worker_whose_answers_are_lost_gets_no_renewal)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", simple_job(8, 20s));
    simulation.run(300ms);
    simulation.worker_fault =
        [](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == 0 ? fault_effect::answer_lost
                           : fault_effect::carried_out;
    };
    EXPECT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.worker(0).running() == 0;
        },
        8s));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against tasks of a restarted worker that wait until its old lease has
// expired.
TEST(pool_faults, tasks_of_a_restarted_worker_start_again)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", simple_job(8, 1s));
    simulation.run(300ms);
    simulation.restart_worker(1);
    EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against accepted jobs that stop, or new jobs that are accepted, while
// the store does not answer.
TEST(pool_faults, accepted_jobs_continue_during_a_store_outage)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(1, "a", chained_job(1s));
    simulation.run(300ms);
    simulation.store_fault = [](std::size_t, ports::kv_operation const&)
    {
        return fault_effect::request_lost;
    };
    simulation.run(3s);
    ports::task_name const second{"a", 0, 1, 0};
    std::size_t starts = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        for (auto const& each : simulation.worker(number).started_runs())
        {
            starts += each.task == second ? 1U : 0U;
        }
    }
    EXPECT_EQ(starts, 1U);
    auto const before = simulation.now();
    auto const request = simulation.submit(2, "b", simple_job(1, 100ms));
    EXPECT_TRUE(is_answered_with<ports::job_refused>(simulation, request));
    EXPECT_LE(simulation.now() - before, 20ms);
    simulation.run(3s);
    simulation.store_fault = nullptr;
    EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against one attempt too many or too few, which is most likely at a
// takeover.
TEST(pool_faults, a_job_fails_after_exactly_its_allowed_attempts)
{
    for (auto const kill_after : {10ms, 150ms, 250ms, 350ms, 450ms})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        auto job = simple_job(1, 100ms);
        job.spec += " fail";
        simulation.submit(1, "a", job);
        simulation.run(kill_after);
        simulation.kill(*simulation.owner());
        std::size_t owner = 0;
        simulation.run_until(
            [&simulation, &owner]
            {
                owner = simulation.owner().value_or(0);
                return simulation.owner().has_value();
            });
        EXPECT_TRUE(ends_as(simulation, owner, "a", job_state::failed));
        std::size_t starts = 0;
        for (std::size_t number = 0; number < simulation.worker_count();
             ++number)
        {
            starts += simulation.worker(number).started_runs().size();
        }
        EXPECT_EQ(starts, 3U) << "killed after " << kill_after.count();
        EXPECT_EQ(simulation.violation(), "");
    }
}

// Guards against a cancelled job that starts further tasks or keeps running
// ones.
TEST(pool_faults, a_cancelled_job_runs_no_more_tasks)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto job = simple_job(6, 1s);
    job.steps.front().long_running = true;
    job.spec = "lasts";
    simulation.submit(1, "a", job);
    simulation.run(500ms);
    EXPECT_EQ(simulation.state(0, "a"), job_state::active);
    auto const request = simulation.cancel(2, "a");
    EXPECT_TRUE(is_answered_with<ports::job_accepted>(simulation, request));
    EXPECT_TRUE(ends_as(simulation, 1, "a", job_state::cancelled));
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        EXPECT_EQ(simulation.worker(number).running(), 0U);
    }
}

// Guards against a job that is reported as unknown although the store did not
// answer.
TEST(pool_faults, a_job_is_not_reported_unknown_while_the_store_is_silent)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const first = simulation.query(1, "a");
    EXPECT_TRUE(is_answered_with<ports::job_not_found>(simulation, first));
    simulation.store_fault = [](std::size_t, ports::kv_operation const&)
    {
        return fault_effect::request_lost;
    };
    auto const second = simulation.query(1, "a");
    EXPECT_TRUE(is_answered_with<ports::job_refused>(simulation, second));
}

// Guards against a job that starts only when its owner's clock has reached the
// clock of the accepting instance.
TEST(pool_faults, a_job_accepted_by_a_clock_ahead_starts_at_once)
{
    for (auto const ahead : {50ms, 600'000ms})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        auto const submitter = (*simulation.owner() + 1) % 3;
        simulation.set_clock_ahead(submitter, ahead);
        simulation.run(100ms);
        simulation.submit(submitter, "a", simple_job(2, 200ms));
        EXPECT_TRUE(ends_as(simulation, submitter, "a", job_state::completed));
        EXPECT_EQ(simulation.violation(), "");
    }
}

// Guards against a job that looks late on arrival and is scheduled after all
// others.
TEST(pool_faults, a_job_accepted_by_a_clock_behind_is_not_late)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const submitter = (owner + 1) % 3;
    simulation.set_clock_ahead(submitter, -600'000ms);
    simulation.run(100ms);
    auto oversized = simple_job(1, 1s);
    oversized.steps.front().declared.millicores = 1'000'000'000;
    simulation.submit(submitter, "a", oversized);
    simulation.run(700ms);
    auto const jobs = simulation.owner_at(owner).jobs(simulation.now());
    ASSERT_EQ(jobs.size(), 1U);
    EXPECT_EQ(jobs.front().rank, 0U);
    EXPECT_GT(jobs.front().due_in, 0ms);
}

// Guards against a stale read that hides a job or reports an ended job as
// active.
TEST(pool_faults, stale_reads_give_no_wrong_job_state)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(0, "early", simple_job(1, 200ms));
    ASSERT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.store().find("final/early").has_value();
        }));
    simulation.store().freeze_stale_reads();
    simulation.submit(0, "late", simple_job(1, 200ms));
    simulation.run(1s);
    std::size_t linearizable = 0;
    simulation.store_fault =
        [&linearizable](std::size_t, ports::kv_operation const& operation)
    {
        auto const* const read = std::get_if<ports::kv_read>(&operation);
        linearizable +=
            read != nullptr && !read->allow_stale && read->key == "final/early"
                ? 1U
                : 0U;
        return fault_effect::carried_out;
    };
    EXPECT_EQ(simulation.state(1, "early"), ports::job_state::completed);
    EXPECT_EQ(linearizable, 0U);
    EXPECT_EQ(simulation.state(1, "late"), ports::job_state::completed);
}

// Guards against a task that starts in a data centre which operators took out
// of service.
TEST(pool_faults, no_task_starts_in_a_data_centre_out_of_service)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.store().put("operators/out/even", "");
    simulation.run(100ms);
    simulation.submit(1, "a", simple_job(6, 200ms));
    EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
    EXPECT_TRUE(simulation.worker(0).started_runs().empty());
    EXPECT_TRUE(simulation.worker(2).started_runs().empty());
    simulation.store().erase("operators/out/even");
    simulation.run(100ms);
    simulation.submit(1, "b", simple_job(32, 200ms));
    EXPECT_TRUE(ends_as(simulation, 0, "b", job_state::completed));
    EXPECT_FALSE(simulation.worker(0).started_runs().empty());
}

// Guards against an operators' change that is missed because the store
// compacted its history before any watch returned it.
TEST(pool_faults, a_configuration_change_lost_by_compaction_is_found)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.store().put("operators/out/even", "");
    simulation.store().compact();
    simulation.run(1500ms);
    simulation.submit(1, "a", simple_job(6, 200ms));
    EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
    EXPECT_TRUE(simulation.worker(0).started_runs().empty());
    EXPECT_TRUE(simulation.worker(2).started_runs().empty());
}

// Guards against an operators' change that is missed because an empty answer of
// a stalled watch advanced the revision.
TEST(pool_faults, a_stalled_watch_does_not_advance_its_revision)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.store_fault =
        [](std::size_t, ports::kv_operation const& operation)
    {
        return std::holds_alternative<ports::kv_watch>(operation)
                   ? fault_effect::watch_stalled
                   : fault_effect::carried_out;
    };
    simulation.run(1500ms);
    simulation.store().put("operators/out/even", "");
    simulation.run(1500ms);
    simulation.store_fault = nullptr;
    simulation.store().compact();
    simulation.run(1500ms);
    simulation.submit(1, "a", simple_job(6, 200ms));
    EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
    EXPECT_TRUE(simulation.worker(0).started_runs().empty());
    EXPECT_TRUE(simulation.worker(2).started_runs().empty());
}

// Guards against a late commit that overwrites newer progress, after which the
// next owner would repeat tasks.
TEST(pool_faults, a_late_commit_does_not_overwrite_newer_progress)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    int hits = 0;
    simulation.store_fault =
        [&hits, owner](std::size_t instance,
                       ports::kv_operation const& operation)
    {
        auto const* const commit = std::get_if<ports::kv_commit>(&operation);
        bool const hit = instance == owner && commit != nullptr && hits < 2 &&
                         commit->preconditions.size() == 2 &&
                         !commit->puts.empty() &&
                         commit->puts.front().key.starts_with("progress/");
        hits += hit ? 1 : 0;
        return hit ? fault_effect::executed_late : fault_effect::carried_out;
    };
    auto job = chained_job(400ms);
    job.steps.push_back(job.steps.back());
    job.steps.back().after = {1};
    job.steps.back().estimate = 4s;
    simulation.submit(1, "a", job);
    simulation.run(4500ms);
    EXPECT_GT(hits, 0);
    simulation.kill(owner);
    EXPECT_TRUE(
        ends_as(simulation, owner == 0 ? 1 : 0, "a", job_state::completed));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against tasks under a policy that are sent without a ticket, or never
// run.
TEST(pool_faults, steps_under_a_policy_start_with_its_tickets)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.require_tickets();
    simulation.run(100ms);
    auto job = simple_job(3, 200ms);
    job.steps.push_back(job.steps.back());
    job.steps.back().after = {0};
    simulation.submit(1, "a", job);
    simulation.submit(1, "b", simple_job(2, 200ms));
    EXPECT_TRUE(ends_as(simulation, 0, "a", job_state::completed));
    EXPECT_TRUE(ends_as(simulation, 0, "b", job_state::completed));
    EXPECT_EQ(simulation.starts_without_ticket(), 0U);
    EXPECT_TRUE(simulation.worker(0).started_runs().empty());
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against callers who each wait for the timeout of a store that is known
// to be unavailable.
TEST(pool_faults, requests_are_refused_at_once_during_a_known_store_outage)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.store_fault =
        [](std::size_t instance, ports::kv_operation const&)
    {
        return instance == 1 ? fault_effect::refused
                             : fault_effect::carried_out;
    };
    simulation.run(700ms);
    auto const first = simulation.submit(1, "a", simple_job(1, 100ms));
    EXPECT_TRUE(is_answered_with<ports::job_refused>(simulation, first));
    auto const second = simulation.submit(1, "b", simple_job(1, 100ms));
    EXPECT_TRUE(is_answered_with<ports::job_refused>(simulation, second));
    auto const before = simulation.now();
    auto const third = simulation.submit(1, "c", simple_job(1, 100ms));
    EXPECT_TRUE(simulation.answer(third).has_value());
    EXPECT_EQ(simulation.now(), before);
}
