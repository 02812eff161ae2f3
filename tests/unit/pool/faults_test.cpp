#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
using fuchsia::ports::job_state;
namespace ports = fuchsia::ports;

namespace
{

void settle(pool_simulation& world)
{
    world.run_until(
        [&world]
        {
            return world.owner().has_value();
        });
}

bool ends_as(pool_simulation& world,
             std::size_t asked,
             std::string const& id,
             job_state wanted)
{
    return world.run_until(
        [&world, asked, &id, wanted]
        {
            return world.state(asked, id) == wanted;
        });
}

// From now on this becomes of all commits of `victim`.
void fail_commits(pool_simulation& world, std::size_t victim, fault_effect how)
{
    world.store_fault = [victim, how](std::size_t instance,
                                      ports::kv_operation const& operation)
    {
        bool const hit = instance == victim &&
                         std::holds_alternative<ports::kv_commit>(operation);
        return hit ? how : fault_effect::carried_out;
    };
}

template<class Answer>
bool got(pool_simulation& world, std::uint64_t request)
{
    world.run_until(
        [&world, request]
        {
            return world.answer(request).has_value();
        });
    auto const answer = world.answer(request);
    return answer && std::holds_alternative<Answer>(*answer);
}

} // namespace

// Failure: a job that the store took is told to its submitter as refused.
TEST(pool_faults, a_lost_answer_of_the_store_is_no_refusal)
{
    pool_simulation world;
    settle(world);
    fail_commits(world, 1, fault_effect::answer_lost);
    auto const first = world.submit(1, "a", simple_job(2, 100ms));
    EXPECT_TRUE(got<ports::job_outcome_unknown>(world, first));
    auto const again = world.submit(2, "a", simple_job(2, 100ms));
    EXPECT_TRUE(got<ports::job_accepted>(world, again));
    EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
    EXPECT_EQ(world.violation(), "");
}

// Failure: a submission that arrives again after its end runs twice.
TEST(pool_faults, the_same_id_after_its_end_is_the_same_job)
{
    pool_simulation world;
    settle(world);
    world.submit(1, "a", simple_job(2, 100ms));
    EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
    auto const again = world.submit(2, "a", simple_job(2, 100ms));
    EXPECT_TRUE(got<ports::job_accepted>(world, again));
    world.run(2s);
    EXPECT_EQ(world.state(1, "a"), job_state::completed);
    EXPECT_EQ(world.violation(), "");
}

// Failure: a job that the store turned away is told as unknown, or runs.
TEST(pool_faults, a_refusal_means_that_nothing_ran)
{
    pool_simulation world;
    settle(world);
    fail_commits(world, 1, fault_effect::refused);
    auto const request = world.submit(1, "a", simple_job(2, 100ms));
    EXPECT_TRUE(got<ports::job_refused>(world, request));
    world.run(2s);
    EXPECT_EQ(world.state(2, "a"), std::nullopt);
}

// Failure: a start without an answer runs late, beside the next attempt.
TEST(pool_faults, a_start_that_is_carried_out_late)
{
    for (std::size_t victim = 0; victim < 4; ++victim)
    {
        pool_simulation world;
        settle(world);
        int hits = 0;
        world.worker_fault =
            [&hits, victim](std::size_t,
                            std::size_t worker,
                            ports::pool_operation const& operation)
        {
            bool const hit =
                worker == victim && hits < 3 &&
                std::holds_alternative<ports::start_order>(operation);
            hits += hit ? 1 : 0;
            return hit ? fault_effect::executed_late
                       : fault_effect::carried_out;
        };
        world.submit(1, "a", simple_job(8, 3s));
        EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
        world.run(3s);
        EXPECT_EQ(world.violation(), "");
    }
}

// Failure: a late start runs, as a hold without its task is taken for proof.
TEST(pool_faults, a_late_start_whose_stop_is_lost)
{
    pool_simulation world;
    settle(world);
    int late = 0;
    auto const until = world.now() + 3s;
    world.worker_fault =
        [&late, &world, until](std::size_t,
                               std::size_t worker,
                               ports::pool_operation const& operation)
    {
        bool const start =
            worker == 0 && late < 1 &&
            std::holds_alternative<ports::start_order>(operation);
        bool const stop = worker == 0 && world.now() < until &&
                          std::holds_alternative<ports::stop_order>(operation);
        late += start ? 1 : 0;
        return start  ? fault_effect::executed_late
               : stop ? fault_effect::request_lost
                      : fault_effect::carried_out;
    };
    world.submit(1, "a", simple_job(1, 4s));
    world.run(100ms);
    // The next attempt goes elsewhere.
    world.store().put("operators/out/even", "");
    EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
    world.run(3s);
    EXPECT_EQ(world.violation(), "");
}

// Failure: tasks run elsewhere while a cut-off worker still runs them.
TEST(pool_faults, tasks_of_a_silent_worker_wait_for_the_end_of_its_lease)
{
    pool_simulation world;
    settle(world);
    world.submit(1, "a", simple_job(8, 6s));
    world.run(300ms);
    ASSERT_GT(world.worker(0).running(), 0U);
    // One more renewal reaches the worker, whose clock is slow.
    int passed = 0;
    world.worker_fault =
        [&passed](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        if (worker != 0)
        {
            return fault_effect::carried_out;
        }
        return ++passed == 1 ? fault_effect::answer_lost
                             : fault_effect::request_lost;
    };
    EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
    EXPECT_EQ(world.violation(), "");
}

// Failure: a worker that hears and can't answer is renewed for ever.
TEST(pool_faults, a_worker_whose_answers_are_lost_gets_no_longer_lease)
{
    pool_simulation world;
    settle(world);
    world.submit(1, "a", simple_job(8, 20s));
    world.run(300ms);
    world.worker_fault =
        [](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == 0 ? fault_effect::answer_lost
                           : fault_effect::carried_out;
    };
    EXPECT_TRUE(world.run_until(
        [&world]
        {
            return world.worker(0).running() == 0;
        },
        8s));
    EXPECT_EQ(world.violation(), "");
}

// Failure: tasks of a worker that came back empty wait for its old lease.
TEST(pool_faults, a_restarted_worker_has_forgotten_its_tasks)
{
    pool_simulation world;
    settle(world);
    world.submit(1, "a", simple_job(8, 1s));
    world.run(300ms);
    world.restart_worker(1);
    EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
    EXPECT_EQ(world.violation(), "");
}

// Failure: accepted work stops, or new work is taken, without the store.
TEST(pool_faults, work_goes_on_while_the_store_is_away)
{
    pool_simulation world;
    settle(world);
    world.submit(1, "a", chained_job(1s));
    world.run(300ms);
    world.store_fault = [](std::size_t, ports::kv_operation const&)
    {
        return fault_effect::request_lost;
    };
    world.run(3s);
    ports::task_name const second{"a", 0, 1, 0};
    std::size_t begun = 0;
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        for (auto const& each : world.worker(number).started_runs())
        {
            begun += each.task == second ? 1U : 0U;
        }
    }
    EXPECT_EQ(begun, 1U);
    auto const before = world.now();
    auto const request = world.submit(2, "b", simple_job(1, 100ms));
    EXPECT_TRUE(got<ports::job_refused>(world, request));
    EXPECT_LE(world.now() - before, 20ms);
    world.run(3s);
    world.store_fault = nullptr;
    EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
    EXPECT_EQ(world.violation(), "");
}

// Failure: a job gets a run too many or too few, most easily at a takeover.
TEST(pool_faults, a_job_fails_after_its_attempts_and_no_earlier)
{
    for (auto const when : {10ms, 150ms, 250ms, 350ms, 450ms})
    {
        pool_simulation world;
        settle(world);
        auto what = simple_job(1, 100ms);
        what.spec += " fail";
        world.submit(1, "a", what);
        world.run(when);
        world.kill(*world.owner());
        std::size_t asked = 0;
        world.run_until(
            [&world, &asked]
            {
                asked = world.owner().value_or(0);
                return world.owner().has_value();
            });
        EXPECT_TRUE(ends_as(world, asked, "a", job_state::failed));
        std::size_t begun = 0;
        for (std::size_t number = 0; number < world.worker_count(); ++number)
        {
            begun += world.worker(number).started_runs().size();
        }
        EXPECT_EQ(begun, 3U) << "killed after " << when.count();
        EXPECT_EQ(world.violation(), "");
    }
}

// Failure: a cancelled job starts something more.
TEST(pool_faults, a_cancelled_job_is_gone)
{
    pool_simulation world;
    settle(world);
    auto what = simple_job(6, 1s);
    what.steps.front().long_running = true;
    what.spec = "lasts";
    world.submit(1, "a", what);
    world.run(500ms);
    EXPECT_EQ(world.state(0, "a"), job_state::active);
    auto const request = world.cancel(2, "a");
    EXPECT_TRUE(got<ports::job_accepted>(world, request));
    EXPECT_TRUE(ends_as(world, 1, "a", job_state::cancelled));
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        EXPECT_EQ(world.worker(number).running(), 0U);
    }
}

// Failure: a job is told to be unknown while the store is silent.
TEST(pool_faults, an_unknown_job_is_told_only_when_it_is_certain)
{
    pool_simulation world;
    settle(world);
    auto const first = world.query(1, "a");
    EXPECT_TRUE(got<ports::job_not_found>(world, first));
    world.store_fault = [](std::size_t, ports::kv_operation const&)
    {
        return fault_effect::request_lost;
    };
    auto const second = world.query(1, "a");
    EXPECT_TRUE(got<ports::job_refused>(world, second));
}

// Failure: a job starts only when the clock of its owner has caught up.
TEST(pool_faults, a_job_from_an_instance_whose_clock_is_ahead)
{
    for (auto const ahead : {50ms, 600'000ms})
    {
        pool_simulation world;
        settle(world);
        auto const front = (*world.owner() + 1) % 3;
        world.set_clock_ahead(front, ahead);
        world.run(100ms);
        world.submit(front, "a", simple_job(2, 200ms));
        EXPECT_TRUE(ends_as(world, front, "a", job_state::completed));
        EXPECT_EQ(world.violation(), "");
    }
}

// Failure: a job seems late on arrival and goes behind all others.
TEST(pool_faults, a_job_from_an_instance_whose_clock_is_behind)
{
    pool_simulation world;
    settle(world);
    auto const scheduler = *world.owner();
    auto const front = (scheduler + 1) % 3;
    world.set_clock_ahead(front, -600'000ms);
    world.run(100ms);
    auto wide = simple_job(1, 1s);
    wide.steps.front().declared.millicores = 1'000'000'000;
    world.submit(front, "a", wide);
    world.run(700ms);
    auto const jobs = world.owner_at(scheduler).jobs(world.now());
    ASSERT_EQ(jobs.size(), 1U);
    EXPECT_EQ(jobs.front().rank, 0U);
    EXPECT_GT(jobs.front().due_in, 0ms);
}

// Failure: a store's old copy hides a job, or says that one still runs.
TEST(pool_faults, copies_of_the_store_that_are_behind)
{
    pool_simulation world;
    settle(world);
    world.submit(0, "early", simple_job(1, 200ms));
    ASSERT_TRUE(world.run_until(
        [&world]
        {
            return world.store().find("final/early").has_value();
        }));
    world.store().freeze_stale_reads();
    world.submit(0, "late", simple_job(1, 200ms));
    world.run(1s);
    std::size_t linearizable = 0;
    world.store_fault =
        [&linearizable](std::size_t, ports::kv_operation const& operation)
    {
        auto const* const read = std::get_if<ports::kv_read>(&operation);
        linearizable +=
            read != nullptr && !read->allow_stale && read->key == "final/early"
                ? 1U
                : 0U;
        return fault_effect::carried_out;
    };
    EXPECT_EQ(world.state(1, "early"), ports::job_state::completed);
    EXPECT_EQ(linearizable, 0U);
    EXPECT_EQ(world.state(1, "late"), ports::job_state::completed);
}

// Failure: a task starts in a data centre that was taken out.
TEST(pool_faults, no_task_starts_in_a_data_centre_that_is_out)
{
    pool_simulation world;
    settle(world);
    world.store().put("operators/out/even", "");
    world.run(100ms);
    world.submit(1, "a", simple_job(6, 200ms));
    EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
    EXPECT_TRUE(world.worker(0).started_runs().empty());
    EXPECT_TRUE(world.worker(2).started_runs().empty());
    world.store().erase("operators/out/even");
    world.run(100ms);
    world.submit(1, "b", simple_job(32, 200ms));
    EXPECT_TRUE(ends_as(world, 0, "b", job_state::completed));
    EXPECT_FALSE(world.worker(0).started_runs().empty());
}

// Failure: an operators' change is missed that the store forgot unheard.
TEST(pool_faults, a_change_that_no_watch_heard_is_found)
{
    pool_simulation world;
    settle(world);
    world.store().put("operators/out/even", "");
    world.store().compact();
    world.run(1500ms);
    world.submit(1, "a", simple_job(6, 200ms));
    EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
    EXPECT_TRUE(world.worker(0).started_runs().empty());
    EXPECT_TRUE(world.worker(2).started_runs().empty());
}

// Failure: an operators' change is missed, as a deaf watch is believed.
TEST(pool_faults, a_deaf_watch_does_not_move_on)
{
    pool_simulation world;
    settle(world);
    world.store_fault = [](std::size_t, ports::kv_operation const& operation)
    {
        return std::holds_alternative<ports::kv_watch>(operation)
                   ? fault_effect::watch_stalled
                   : fault_effect::carried_out;
    };
    world.run(1500ms);
    world.store().put("operators/out/even", "");
    world.run(1500ms);
    world.store_fault = nullptr;
    world.store().compact();
    world.run(1500ms);
    world.submit(1, "a", simple_job(6, 200ms));
    EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
    EXPECT_TRUE(world.worker(0).started_runs().empty());
    EXPECT_TRUE(world.worker(2).started_runs().empty());
}

// Failure: old progress overwrites newer; the next owner repeats tasks.
TEST(pool_faults, a_late_commit_does_not_bring_back_old_progress)
{
    pool_simulation world;
    settle(world);
    auto const owner = *world.owner();
    int hits = 0;
    world.store_fault = [&hits, owner](std::size_t instance,
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
    auto what = chained_job(400ms);
    what.steps.push_back(what.steps.back());
    what.steps.back().after = {1};
    what.steps.back().estimate = 4s;
    world.submit(1, "a", what);
    world.run(4500ms);
    EXPECT_GT(hits, 0);
    world.kill(owner);
    EXPECT_TRUE(ends_as(world, owner == 0 ? 1 : 0, "a", job_state::completed));
    EXPECT_EQ(world.violation(), "");
}

// Failure: tasks under a policy are sent without a ticket and never run.
TEST(pool_faults, steps_under_a_policy_start_with_its_tickets)
{
    pool_simulation world;
    settle(world);
    world.require_tickets();
    world.run(100ms);
    auto what = simple_job(3, 200ms);
    what.steps.push_back(what.steps.back());
    what.steps.back().after = {0};
    world.submit(1, "a", what);
    world.submit(1, "b", simple_job(2, 200ms));
    EXPECT_TRUE(ends_as(world, 0, "a", job_state::completed));
    EXPECT_TRUE(ends_as(world, 0, "b", job_state::completed));
    EXPECT_EQ(world.starts_without_ticket(), 0U);
    EXPECT_TRUE(world.worker(0).started_runs().empty());
    EXPECT_EQ(world.violation(), "");
}

// Failure: every caller waits for the time-out of a store that is away.
TEST(pool_faults, callers_are_turned_away_once_the_store_is_known_to_be_away)
{
    pool_simulation world;
    settle(world);
    world.store_fault = [](std::size_t instance, ports::kv_operation const&)
    {
        return instance == 1 ? fault_effect::refused
                             : fault_effect::carried_out;
    };
    world.run(700ms);
    auto const first = world.submit(1, "a", simple_job(1, 100ms));
    EXPECT_TRUE(got<ports::job_refused>(world, first));
    auto const second = world.submit(1, "b", simple_job(1, 100ms));
    EXPECT_TRUE(got<ports::job_refused>(world, second));
    auto const before = world.now();
    auto const third = world.submit(1, "c", simple_job(1, 100ms));
    EXPECT_TRUE(world.answer(third).has_value());
    EXPECT_EQ(world.now(), before);
}
