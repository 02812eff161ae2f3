#include "restarted_worker.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

// A worker that restarted under its id may hold the longest lease that workers
// grant, because an order named the end of a lease by the clock of its earlier
// incarnation. The owner that saw the restart knows of that lease; these tests
// replace the owner and cut the worker off.
using namespace fuchsia::tests::unit::pool;
namespace core = fuchsia::core;
namespace ports = fuchsia::ports;

namespace
{

ports::task_name const task_of_a{"a", 0, 0, 0};

/// Time for which the clock of the first incarnation runs ahead of that of the
/// next one, longer than the longest lease.
constexpr duration age_of_first = 20s;
/// Time within which the store confirms the claim, after which tasks start on
/// the new incarnation.
constexpr duration claim_confirmation = 700ms;
/// Time after which every lease of the cut-off worker has expired and its tasks
/// run elsewhere.
constexpr duration lease_and_takeover = 18s;

/// Restarts the worker `idle` after its last use and submits the long-running
/// job "a" at once, so that the start may reach the new incarnation with a
/// lease by the earlier clock. Returns whether "a" runs there.
bool start_by_earlier_clock(pool_simulation& simulation, duration idle)
{
    use_first_incarnation(simulation);
    simulation.run(age_of_first + idle);
    simulation.restart_worker(restarted);
    simulation.submit(0, "a", long_running_job_near_restarted());
    return runs_on_restarted(simulation, "a");
}

/// Like `start_by_earlier_clock`, but it is a short job whose start extends the
/// lease; "a" is submitted when the owner has adopted the new incarnation.
bool start_after_adoption(pool_simulation& simulation, duration idle)
{
    use_first_incarnation(simulation);
    simulation.run(age_of_first + idle);
    simulation.restart_worker(restarted);
    simulation.submit(0, "short", job_near_restarted(1, 100ms));
    if (!runs_on_restarted(simulation, "short"))
    {
        return false;
    }
    bool const adopted = simulation.run_until(
        [&simulation]
        {
            return !line_with(simulation, "worker_restarted", "w1").empty();
        },
        5s);
    simulation.run(claim_confirmation);
    simulation.submit(0, "a", long_running_job_near_restarted());
    return adopted && runs_on_restarted(simulation, "a");
}

/// Kills the owner and starts it again, which makes another one the owner.
void replace_owner(pool_simulation& simulation)
{
    if (auto const owner = simulation.claim_holder())
    {
        simulation.kill(*owner);
        simulation.start(*owner);
    }
}

/// Checks that "a" runs once at a time while the worker is cut off, and again
/// elsewhere after that.
void expect_one_run(pool_simulation& simulation, std::string const& what)
{
    simulation.run(lease_and_takeover);
    EXPECT_EQ(simulation.violation(), "") << what;
    EXPECT_EQ(simulation.running_count(task_of_a), 1U) << what;
}

std::string text_of(duration idle, duration delay)
{
    return "idle " + std::to_string(core::common::to_milliseconds(idle)) +
           " ms, delay " +
           std::to_string(core::common::to_milliseconds(delay)) + " ms";
}

/// Returns the value of a field of the last log line of the event; -1 if there
/// is none.
int last_value(pool_simulation const& simulation,
               std::string const& event,
               std::string const& field)
{
    int result = -1;
    for (auto const& line : simulation.log())
    {
        for (auto const& [name, value] : line.what.fields)
        {
            if (line.what.event == event && name == field)
            {
                result = std::atoi(value.c_str());
            }
        }
    }
    return result;
}

constexpr duration idle_times[] = {0ms, 300ms, 600ms, 900ms, 1200ms, 1500ms};
/// Time from the run of "a" to the loss of the owner.
constexpr duration kill_delays[] = {0ms, 3ms, 20ms, 100ms, 600ms, 2s, 4s};

using way_of_start = bool (*)(pool_simulation&, duration);

class pool_inherited_lease : public testing::TestWithParam<way_of_start>
{
};

} // namespace

// Guards against a successor that waits for the usual lease only and starts
// what a restarted worker, which it can't reach, still runs.
TEST_P(pool_inherited_lease, is_waited_for_by_the_successor)
{
    std::size_t plays = 0;
    for (auto const idle : idle_times)
    {
        for (auto const delay : kill_delays)
        {
            pool_simulation simulation(3, 3);
            if (!GetParam()(simulation, idle))
            {
                continue;
            }
            ++plays;
            simulation.run(delay);
            cut_off(simulation);
            replace_owner(simulation);
            expect_one_run(simulation, text_of(idle, delay));
        }
    }
    EXPECT_GT(plays, 0U);
}

// Guards against a second successor that knows less than the first one, whose
// takeover was never complete.
TEST_P(pool_inherited_lease, is_waited_for_by_the_next_successor)
{
    std::size_t plays = 0;
    for (auto const idle : idle_times)
    {
        for (auto const delay : {100ms, 1500ms})
        {
            pool_simulation simulation(3, 3);
            if (!GetParam()(simulation, idle))
            {
                continue;
            }
            ++plays;
            simulation.run(50ms);
            cut_off(simulation);
            replace_owner(simulation);
            ASSERT_TRUE(run_until_owned(simulation));
            simulation.run(delay);
            replace_owner(simulation);
            expect_one_run(simulation, text_of(idle, delay));
        }
    }
    EXPECT_GT(plays, 0U);
}

// Guards against a successor that reaches the worker, loses it and then waits
// for the lease that it granted itself.
TEST_P(pool_inherited_lease, is_waited_for_after_a_short_contact)
{
    std::size_t plays = 0;
    for (auto const idle : idle_times)
    {
        for (auto const delay : {0ms, 50ms, 400ms})
        {
            pool_simulation simulation(3, 3);
            if (!GetParam()(simulation, idle))
            {
                continue;
            }
            ++plays;
            simulation.run(50ms);
            replace_owner(simulation);
            ASSERT_TRUE(simulation.run_until(
                [&simulation]
                {
                    return simulation.working_owner().has_value();
                }));
            simulation.run(delay);
            cut_off(simulation);
            expect_one_run(simulation, text_of(idle, delay));
        }
    }
    EXPECT_GT(plays, 0U);
}

// Guards against a successor that learns of the restart from the platform's
// list only, which no longer has the worker when it is read.
TEST_P(pool_inherited_lease, is_known_without_an_entry_in_the_list)
{
    std::size_t plays = 0;
    for (auto const idle : idle_times)
    {
        pool_simulation simulation(3, 3);
        if (!GetParam()(simulation, idle))
        {
            continue;
        }
        ++plays;
        simulation.run(600ms);
        cut_off(simulation);
        replace_owner(simulation);
        simulation.store().erase("workers/w1");
        expect_one_run(simulation, text_of(idle, 600ms));
    }
    EXPECT_GT(plays, 0U);
}

INSTANTIATE_TEST_SUITE_P(ways,
                         pool_inherited_lease,
                         testing::Values(start_by_earlier_clock,
                                         start_after_adoption),
                         [](auto const& way)
                         {
                             return way.param == start_by_earlier_clock
                                        ? std::string("by_earlier_clock")
                                        : std::string("after_adoption");
                         });

// Guards against a lease that is extended by a start which the new incarnation
// refuses or never answers.
TEST(pool_inherited_lease_of_start, without_an_answer_is_waited_for)
{
    std::size_t plays = 0;
    for (auto const effect :
         {fault_effect::answer_lost, fault_effect::executed_late})
    {
        for (auto const idle : idle_times)
        {
            pool_simulation simulation(3, 3);
            use_first_incarnation(simulation);
            simulation.set_late_delay(300ms);
            simulation.run(age_of_first + idle);
            fail_next_start(simulation, effect);
            simulation.restart_worker(restarted);
            simulation.submit(0, "first", job_near_restarted(1, 5ms));
            simulation.run(900ms);
            simulation.submit(0, "a", long_running_job_near_restarted());
            if (!runs_on_restarted(simulation, "a"))
            {
                continue;
            }
            ++plays;
            simulation.run(200ms);
            cut_off(simulation);
            replace_owner(simulation);
            expect_one_run(simulation,
                           text_of(idle, 200ms) + " effect " +
                               std::to_string(static_cast<int>(effect)));
        }
    }
    EXPECT_GT(plays, 0U);
}

// Guards against takeovers that wait for the longest lease although no worker
// restarted, or although it restarted long ago.
TEST(pool_takeover_without_restart, waits_for_the_usual_lease_only)
{
    for (auto const since_restart : {0s, 12s})
    {
        pool_simulation simulation(3, 3);
        use_first_incarnation(simulation);
        simulation.run(age_of_first);
        if (since_restart > 0s)
        {
            simulation.restart_worker(restarted);
            simulation.run(since_restart);
        }
        simulation.submit(0, "a", long_running_job_near_restarted());
        ASSERT_TRUE(runs_on_restarted(simulation, "a"));
        simulation.run(1s);
        cut_off(simulation);
        replace_owner(simulation);
        expect_one_run(simulation, text_of(since_restart, 1s));
        EXPECT_EQ(last_value(simulation, "takeover_settled", "unreached"), 1);
        EXPECT_LT(last_value(simulation, "takeover_settled", "after_ms"), 5900);
    }
}

// Guards against a takeover that waits for the longest lease from its own
// beginning although the worker took it seconds before.
TEST(pool_inherited_lease_of_start, is_waited_for_from_when_it_was_taken)
{
    std::size_t plays = 0;
    for (auto const idle : idle_times)
    {
        pool_simulation simulation(3, 3);
        simulation.set_crash_recovery(1h, true);
        if (!start_by_earlier_clock(simulation, idle))
        {
            continue;
        }
        ++plays;
        simulation.run(4s);
        simulation.crash_worker(restarted);
        replace_owner(simulation);
        simulation.run(lease_and_takeover);
        // The lease lasts for 10.3 s at most, and the claim is taken 1 s after
        // the kill.
        EXPECT_LT(last_value(simulation, "takeover_settled", "after_ms"), 7500)
            << text_of(idle, 4s);
        EXPECT_EQ(simulation.running_count(task_of_a), 1U) << text_of(idle, 4s);
    }
    EXPECT_GT(plays, 0U);
}

// Guards against a mark that a worker keeps for good because it restarted
// behind a cut and has not answered since, while its entry is in the list.
TEST(pool_takeover_without_restart, waits_no_longer_for_one_long_ago_unseen)
{
    pool_simulation simulation(3, 3);
    use_first_incarnation(simulation);
    simulation.run(age_of_first);
    cut_off(simulation);
    simulation.restart_worker(restarted);
    simulation.run(20s);
    replace_owner(simulation);
    simulation.run(lease_and_takeover);
    EXPECT_EQ(last_value(simulation, "takeover_settled", "unreached"), 1);
    EXPECT_LT(last_value(simulation, "takeover_settled", "after_ms"), 5900);
}

// Guards against a start on a new incarnation before the roster names it: the
// platform's list doesn't yet, and the owner is killed.
TEST(pool_inherited_lease_of_start, waits_for_the_roster)
{
    std::size_t plays = 0;
    for (auto const commit_delay : {0ms, 1500ms})
    {
        for (auto const idle : idle_times)
        {
            pool_simulation simulation(3, 3);
            use_first_incarnation(simulation);
            simulation.store_fault =
                [](std::size_t, ports::kv_operation const& call)
            {
                auto const* const watch = std::get_if<ports::kv_watch>(&call);
                return watch != nullptr && watch->prefix == "workers/"
                           ? fault_effect::watch_stalled
                           : fault_effect::carried_out;
            };
            simulation.run(age_of_first + idle);
            auto const entry = simulation.store().find("workers/w1")->value;
            auto const owner = *simulation.claim_holder();
            simulation.set_commit_delay(owner, commit_delay);
            simulation.restart_worker(restarted);
            simulation.store().put("workers/w1", entry);
            simulation.submit(0, "short", job_near_restarted(1, 100ms));
            if (!runs_on_restarted(simulation, "short"))
            {
                continue;
            }
            simulation.run(claim_confirmation);
            simulation.submit(
                other_than(owner), "a", long_running_job_near_restarted());
            plays += runs_on_restarted(simulation, "a") ? 1U : 0U;
            cut_off(simulation);
            simulation.store_fault = nullptr;
            replace_owner(simulation);
            expect_one_run(simulation, text_of(idle, commit_delay));
        }
    }
    EXPECT_GT(plays, 0U);
}

// Guards against an owner that suspects a restart, does not reach the worker
// and leaves nothing of it to its successor, which finds no entry in the list.
TEST(pool_inherited_lease_of_start, on_a_suspected_worker_is_waited_for)
{
    std::size_t plays = 0;
    for (auto const delay : {50ms, 450ms, 2000ms})
    {
        for (auto const idle : idle_times)
        {
            pool_simulation simulation(3, 3);
            use_first_incarnation(simulation);
            simulation.run(age_of_first + idle);
            simulation.worker_fault =
                [cut = false](std::size_t,
                              std::size_t worker,
                              ports::pool_operation const& order) mutable
            {
                bool const start =
                    worker == restarted && !cut &&
                    std::holds_alternative<ports::start_order>(order);
                cut = cut || start;
                return start                        ? fault_effect::answer_lost
                       : cut && worker == restarted ? fault_effect::request_lost
                                                    : fault_effect::carried_out;
            };
            simulation.restart_worker(restarted);
            simulation.submit(0, "a", long_running_job_near_restarted());
            bool const suspected =
                runs_on_restarted(simulation, "a") &&
                simulation.run_until(
                    [&simulation]
                    {
                        return !line_with(simulation,
                                          "worker_restart_suspected",
                                          "w1")
                                    .empty();
                    },
                    1500ms);
            if (!suspected)
            {
                continue;
            }
            ++plays;
            simulation.run(delay);
            simulation.store().erase("workers/w1");
            replace_owner(simulation);
            expect_one_run(simulation, text_of(idle, delay));
        }
    }
    EXPECT_GT(plays, 0U);
}

// Guards against a successor that starts what a worker runs whose restart
// neither the roster nor the list tells: the store was silent, and the owner
// could not write what it knew.
TEST(pool_inherited_lease_of_start, is_known_after_an_outage_of_the_store)
{
    std::size_t plays = 0;
    for (auto const outage : {300ms, 1000ms, 3000ms})
    {
        for (auto const idle : idle_times)
        {
            pool_simulation simulation(3, 3);
            use_first_incarnation(simulation);
            simulation.run(age_of_first + idle);
            simulation.submit(0, "a", long_running_job_near_restarted());
            simulation.restart_worker(restarted);
            simulation.store().erase("workers/w1");
            if (!runs_on_restarted(simulation, "a"))
            {
                continue;
            }
            ++plays;
            simulation.store_fault = [](std::size_t, ports::kv_operation const&)
            {
                return fault_effect::request_lost;
            };
            simulation.run(outage);
            cut_off(simulation);
            simulation.store_fault = nullptr;
            replace_owner(simulation);
            expect_one_run(simulation, text_of(idle, outage));
        }
    }
    EXPECT_GT(plays, 0U);
}
