#include "pool_simulation.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

// Maximum time between an acknowledged cancellation and the end of the job's
// last run.
constexpr auto cancel_limit = 3200ms;

// Returns a job whose tasks run until they are stopped.
fuchsia::core::pool::job long_running_job(std::uint32_t count)
{
    auto result = simple_job(count, 1s);
    result.steps.front().long_running = true;
    result.spec = "lasts";
    return result;
}

std::size_t running_on_all_workers(pool_simulation& simulation)
{
    std::size_t running = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        running += simulation.worker(number).running();
    }
    return running;
}

std::size_t started_on_all_workers(pool_simulation& simulation)
{
    std::size_t started = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        started += simulation.worker(number).started_runs().size();
    }
    return started;
}

bool nothing_runs(pool_simulation& simulation, duration timeout)
{
    return simulation.run_until(
        [&simulation]
        {
            return running_on_all_workers(simulation) == 0;
        },
        timeout);
}

// Waits for the answer to a cancellation. Returns whether it says that the job
// is cancelled or does not exist.
bool acknowledged(pool_simulation& simulation, std::uint64_t request)
{
    simulation.run_until(
        [&simulation, request]
        {
            return simulation.answer(request).has_value();
        });
    auto const received = simulation.answer(request);
    return received &&
           (std::holds_alternative<ports::job_accepted>(*received) ||
            std::holds_alternative<ports::job_not_found>(*received));
}

// From now on the owner's watches for jobs are answered without changes.
void stall_watch(pool_simulation& simulation, std::size_t owner)
{
    simulation.store_fault =
        [owner](std::size_t at, ports::kv_operation const& call)
    {
        return at == owner && watches_jobs(call) ? fault_effect::watch_stalled
                                                 : fault_effect::carried_out;
    };
}

std::size_t logged_lines(pool_simulation const& simulation,
                         std::string const& event)
{
    std::size_t lines = 0;
    for (auto const& line : simulation.log())
    {
        lines += line.what.event == event ? 1U : 0U;
    }
    return lines;
}

// Whether `call` is one of the reads by which a new owner loads the state.
bool reads_state(ports::kv_operation const& call)
{
    auto const* const range = std::get_if<ports::kv_range>(&call);
    auto const* const single_read = std::get_if<ports::kv_read>(&call);
    return (range != nullptr &&
            (range->prefix == "pool/" || range->prefix == "progress/" ||
             range->prefix == "final/")) ||
           (single_read != nullptr &&
            (single_read->key == "roster" || single_read->key == "learned"));
}

bool writes_job(ports::kv_operation const& call, std::string const& id)
{
    auto const* const commit = std::get_if<ports::kv_commit>(&call);
    return commit != nullptr && !commit->puts.empty() &&
           commit->puts.front().key == "pool/job/" + id;
}

void cancel_in_reverse_order(pool_simulation& simulation,
                             std::size_t at,
                             std::string const& name,
                             std::size_t count)
{
    for (std::size_t number = count; number > 0; --number)
    {
        simulation.cancel(at, name + std::to_string(number - 1));
    }
}

// From now on the first order of type `Order` to each worker has the fault
// `effect`; all other orders are executed.
template<class Order>
void fault_first_order(pool_simulation& simulation, fault_effect effect)
{
    auto affected = std::make_shared<std::set<std::size_t>>();
    simulation.worker_fault =
        [affected, effect](
            std::size_t, std::size_t worker, ports::pool_operation const& call)
    {
        bool const matches = std::holds_alternative<Order>(call);
        return matches && affected->insert(worker).second
                   ? effect
                   : fault_effect::carried_out;
    };
}

} // namespace

// Failure: a job runs although it arrives after its cancellation was
// acknowledged.
TEST(pool_cancel, a_job_overtaken_by_its_cancellation_never_runs)
{
    for (auto const effect :
         {fault_effect::executed_late, fault_effect::delayed})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.store_fault =
            [effect](std::size_t, ports::kv_operation const& call)
        {
            return writes_job(call, "a") ? effect : fault_effect::carried_out;
        };
        simulation.submit(1, "a", long_running_job(6));
        simulation.run(100ms);
        EXPECT_TRUE(acknowledged(simulation, simulation.cancel(2, "a")));
        simulation.run(10s);
        EXPECT_EQ(started_on_all_workers(simulation), 0U);
    }
}

// Failure: a job that is unknown when it is cancelled is reported as existing.
TEST(pool_cancel, cancelling_an_unknown_job_does_not_create_a_job)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const request = simulation.cancel(2, "a");
    EXPECT_TRUE(acknowledged(simulation, request));
    EXPECT_TRUE(std::holds_alternative<ports::job_not_found>(
        *simulation.answer(request)));
    for (std::size_t number = 0; number < 3; ++number)
    {
        EXPECT_EQ(simulation.state(number, "a"), std::nullopt);
    }
    EXPECT_EQ(simulation.reported_waiting_jobs(1), 0U);
}

// Failure: cancellations of unknown jobs accumulate in the store.
TEST(pool_cancel, the_cancellation_of_an_unknown_job_is_erased_in_time)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    constexpr std::size_t jobs = 40;
    cancel_in_reverse_order(simulation, 1, "never", jobs);
    simulation.run(1s);
    EXPECT_TRUE(simulation.store().find("pool/job/never0/cancel").has_value());
    simulation.kill(*simulation.owner());
    simulation.run(90s);
    auto const remaining = simulation.store().answer(
        simulation.now(), ports::kv_range{"pool/job/", ""});
    ASSERT_TRUE(remaining.has_value());
    EXPECT_TRUE(remaining->items.empty());
}

// Failure: a job that is submitted after its cancellation runs.
TEST(pool_cancel, a_job_cancelled_before_submission_is_reported_not_found)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    EXPECT_TRUE(acknowledged(simulation, simulation.cancel(2, "a")));
    simulation.submit(1, "a", long_running_job(6));
    simulation.run(5s);
    EXPECT_EQ(started_on_all_workers(simulation), 0U);
    EXPECT_EQ(simulation.state(0, "a"), std::nullopt);
    EXPECT_EQ(simulation.reported_waiting_jobs(1), 0U);
}

// Failure: tasks of a cancelled job continue to run because the owner's watches
// are answered without changes.
TEST(pool_cancel, a_stalled_watch_does_not_hide_a_cancellation)
{
    for (auto delay = 0ms; delay <= 2000ms; delay += 100ms)
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        auto const owner = *simulation.owner();
        simulation.submit(other_than(owner), "a", long_running_job(6));
        simulation.run(1s);
        ASSERT_EQ(running_on_all_workers(simulation), 6U);
        stall_watch(simulation, owner);
        simulation.run(delay);
        EXPECT_TRUE(acknowledged(simulation,
                                 simulation.cancel(other_than(owner), "a")));
        EXPECT_TRUE(nothing_runs(simulation, cancel_limit)) << delay.count();
        EXPECT_EQ(simulation.owner(), owner);
    }
}

// Failure: an owner reads all jobs repeatedly because a working watch is
// considered stalled.
TEST(pool_cancel, a_working_watch_is_not_considered_stalled)
{
    for (auto const effect : {fault_effect::carried_out,
                              fault_effect::answer_lost,
                              fault_effect::executed_late,
                              fault_effect::delayed,
                              fault_effect::refused})
    {
        for (auto const latency : {2ms, 200ms})
        {
            pool_simulation simulation;
            ASSERT_TRUE(run_until_owned(simulation));
            simulation.set_store_latency(latency);
            std::size_t calls = 0;
            simulation.store_fault =
                [effect, &calls](std::size_t, ports::kv_operation const& call)
            {
                bool const matches =
                    watches_jobs(call) ||
                    std::holds_alternative<ports::kv_commit>(call);
                return matches && ++calls % 3 == 0 ? effect
                                                   : fault_effect::carried_out;
            };
            for (int number = 0; number < 20; ++number)
            {
                submit_many(simulation,
                            number % 3,
                            "job" + std::to_string(number) + ".",
                            2,
                            simple_job(2, 500ms));
                simulation.run(1s);
            }
            EXPECT_GT(calls, 30U);
            EXPECT_EQ(logged_lines(simulation, "watch_deaf"), 0U);
        }
    }
}

// Failure: a job starts after its cancellation because the stalled watch of the
// owner did not report the cancellation.
TEST(pool_cancel, a_cancelled_job_does_not_start_while_the_watch_is_stalled)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.submit(other_than(owner), "fills", simple_job(32, 8s));
    simulation.submit(other_than(owner), "a", long_running_job(6));
    simulation.run(1s);
    stall_watch(simulation, owner);
    simulation.run(1500ms);
    EXPECT_TRUE(
        acknowledged(simulation, simulation.cancel(other_than(owner), "a")));
    simulation.run(12s);
    EXPECT_EQ(started_on_all_workers(simulation), 32U);
}

// Failure: an owner starts a job from a page that was read after the loss of
// its claim.
TEST(pool_cancel, a_later_page_does_not_hide_the_loss_of_the_claim)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    auto small_job = long_running_job(1);
    small_job.steps.front().declared = {1, 1, 0};
    submit_many(simulation, other, "a", 600, small_job);
    simulation.run(3s);
    ASSERT_EQ(running_on_all_workers(simulation), 600U);
    bool later_page_read = false;
    bool claim_lost = false;
    simulation.store_fault =
        [owner, &later_page_read, &claim_lost](std::size_t at,
                                               ports::kv_operation const& call)
    {
        auto const* const range = std::get_if<ports::kv_range>(&call);
        bool const later_page = range != nullptr && range->prefix == "pool/" &&
                                !range->after.empty();
        later_page_read = later_page_read || (at == owner && later_page);
        bool const reports_loss =
            std::holds_alternative<ports::kv_lease_renew>(call) ||
            std::holds_alternative<ports::kv_commit>(call);
        return at != owner                  ? fault_effect::carried_out
               : watches_jobs(call)         ? fault_effect::watch_stalled
               : later_page                 ? fault_effect::delayed
               : claim_lost && reports_loss ? fault_effect::request_lost
                                            : fault_effect::carried_out;
    };
    ASSERT_TRUE(simulation.run_until(
        [&later_page_read]
        {
            return later_page_read;
        }));
    simulation.run(1200ms);
    claim_lost = true;
    // The old owner reaches only worker 0, and its successor all other workers.
    simulation.worker_fault = [owner](std::size_t instance,
                                      std::size_t worker,
                                      ports::pool_operation const&)
    {
        bool const reachable = (worker == 0) == (instance == owner);
        return reachable ? fault_effect::carried_out
                         : fault_effect::request_lost;
    };
    simulation.store().expire_key("pool/claim");
    simulation.run(300ms);
    ASSERT_NE(simulation.owner(), owner);
    simulation.submit(other, "z", long_running_job(8));
    simulation.run(3s);
    EXPECT_EQ(simulation.violation(), "");
    std::size_t running_copies = 0;
    for (std::uint32_t index = 0; index < 8; ++index)
    {
        running_copies += simulation.running_count({"z", 0, 0, index});
    }
    EXPECT_EQ(running_copies, 8U);
}

// Failure: one lost read of a page hides all cancellations until its timeout.
TEST(pool_cancel, a_lost_page_does_not_hide_a_cancellation)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.submit(other_than(owner), "a", long_running_job(6));
    simulation.run(1s);
    ASSERT_EQ(running_on_all_workers(simulation), 6U);
    bool history_compacted = false;
    bool page_lost = false;
    simulation.store_fault =
        [owner, &history_compacted, &page_lost, &simulation](
            std::size_t at, ports::kv_operation const& call)
    {
        auto const* const range = std::get_if<ports::kv_range>(&call);
        bool const reads_jobs =
            at == owner && range != nullptr && range->prefix == "pool/";
        if (at == owner && watches_jobs(call) && !history_compacted)
        {
            history_compacted = true;
            simulation.store().put("elsewhere", "");
            simulation.store().compact();
        }
        bool const affected = reads_jobs && !page_lost;
        page_lost = page_lost || affected;
        return affected ? fault_effect::request_lost
                        : fault_effect::carried_out;
    };
    ASSERT_TRUE(simulation.run_until(
        [&page_lost]
        {
            return page_lost;
        }));
    EXPECT_TRUE(
        acknowledged(simulation, simulation.cancel(other_than(owner), "a")));
    EXPECT_TRUE(nothing_runs(simulation, cancel_limit));
}

// Failure: the leases of all running tasks expire because a takeover waits for
// one lost read.
TEST(pool_cancel, a_lost_page_does_not_delay_a_takeover)
{
    for (std::size_t victim = 0; victim < 5; ++victim)
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        auto const owner = *simulation.owner();
        auto const other = other_than(owner);
        simulation.submit(other, "a", long_running_job(6));
        simulation.run(1s);
        ASSERT_EQ(running_on_all_workers(simulation), 6U);
        std::size_t reads = 0;
        simulation.store_fault =
            [&reads, victim](std::size_t, ports::kv_operation const& call)
        {
            bool const affected = reads_state(call) && reads++ == victim;
            return affected ? fault_effect::request_lost
                            : fault_effect::carried_out;
        };
        simulation.kill(owner);
        simulation.run(8s);
        EXPECT_GE(reads, 5U);
        EXPECT_EQ(started_on_all_workers(simulation), 6U) << victim;
        EXPECT_EQ(running_on_all_workers(simulation), 6U) << victim;
    }
}

// Failure: cancellations that are received twice are erased from the store
// before their jobs.
TEST(pool_cancel, a_cancellation_received_twice_outlives_the_owner)
{
    constexpr std::size_t jobs = 40;
    for (bool const compacts : {false, true})
    {
        for (auto delay = 20ms; delay <= 400ms; delay += 20ms)
        {
            pool_simulation simulation(3, 8);
            ASSERT_TRUE(run_until_owned(simulation));
            auto const owner = *simulation.owner();
            auto const other = other_than(owner);
            submit_many(simulation, other, "job", jobs, long_running_job(1));
            simulation.run(2s);
            ASSERT_EQ(running_on_all_workers(simulation), jobs);
            cancel_in_reverse_order(simulation, other, "job", jobs);
            // The owner knows the ends of all jobs but has not written them
            // yet.
            ASSERT_TRUE(simulation.run_until(
                [&simulation, owner]
                {
                    return simulation.owner_at(owner).commits().waiting() >=
                           jobs;
                }));
            if (compacts)
            {
                // The owner has to read all pages again.
                simulation.store().compact();
            }
            else
            {
                cancel_in_reverse_order(simulation, other, "job", jobs);
            }
            simulation.run(delay);
            simulation.kill(owner);
            auto const started = started_on_all_workers(simulation);
            simulation.run(8s);
            EXPECT_EQ(started_on_all_workers(simulation), started)
                << "killed after " << delay.count() << " ms";
            EXPECT_EQ(running_on_all_workers(simulation), 0U)
                << "killed after " << delay.count() << " ms";
        }
    }
}

// Failure: a cancellation is lost when the owner fails, before or after the
// owner has received it.
TEST(pool_cancel, a_cancellation_outlives_the_owner)
{
    for (auto const commit_effect : {fault_effect::carried_out,
                                     fault_effect::request_lost,
                                     fault_effect::answer_lost,
                                     fault_effect::executed_late,
                                     fault_effect::refused})
    {
        for (auto const delay : {0ms, 3ms, 10ms, 100ms, 300ms})
        {
            pool_simulation simulation;
            ASSERT_TRUE(run_until_owned(simulation));
            auto const owner = *simulation.owner();
            auto const other = other_than(owner);
            simulation.submit(other, "a", long_running_job(6));
            simulation.run(1s);
            ASSERT_EQ(running_on_all_workers(simulation), 6U);
            simulation.store_fault =
                [owner, commit_effect](std::size_t at,
                                       ports::kv_operation const& call)
            {
                bool const affected =
                    at == owner &&
                    std::holds_alternative<ports::kv_commit>(call);
                return affected ? commit_effect : fault_effect::carried_out;
            };
            EXPECT_TRUE(
                acknowledged(simulation, simulation.cancel(other, "a")));
            simulation.run(delay);
            simulation.kill(owner);
            simulation.store().compact();
            EXPECT_TRUE(nothing_runs(simulation, 5s));
            auto const started = started_on_all_workers(simulation);
            simulation.run(5s);
            EXPECT_EQ(started_on_all_workers(simulation), started);
            EXPECT_EQ(simulation.state(other, "a"),
                      ports::job_state::cancelled);
        }
    }
}

// Failure: a stop order that is lost, refused or late is not repeated.
TEST(pool_cancel, failed_stop_orders_are_repeated)
{
    for (auto const effect : {fault_effect::request_lost,
                              fault_effect::answer_lost,
                              fault_effect::executed_late,
                              fault_effect::refused})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.submit(1, "a", long_running_job(6));
        simulation.run(1s);
        fault_first_order<ports::stop_order>(simulation, effect);
        EXPECT_TRUE(acknowledged(simulation, simulation.cancel(1, "a")));
        EXPECT_TRUE(nothing_runs(simulation, 1s));
        simulation.run(3s);
        EXPECT_EQ(simulation.state(1, "a"), ports::job_state::cancelled);
    }
}

// Failure: a task whose start order is executed after the end of its job is
// never stopped.
TEST(pool_cancel, a_late_start_of_a_cancelled_job_is_stopped)
{
    for (bool const takeover : {false, true})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        auto const owner = *simulation.owner();
        auto const other = other_than(owner);
        fault_first_order<ports::start_order>(simulation,
                                              fault_effect::executed_late);
        simulation.submit(other, "a", long_running_job(6));
        simulation.run(100ms);
        EXPECT_TRUE(acknowledged(simulation, simulation.cancel(other, "a")));
        if (takeover)
        {
            simulation.kill(owner);
        }
        simulation.run(3500ms);
        EXPECT_TRUE(nothing_runs(simulation, cancel_limit));
        EXPECT_EQ(simulation.violation(), "");
    }
}

// Failure: tasks of a worker that the new owner reaches late are not stopped.
TEST(pool_cancel, tasks_of_a_worker_that_the_new_owner_reaches_late_are_stopped)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    simulation.submit(other, "a", long_running_job(6));
    simulation.run(1s);
    ASSERT_GT(simulation.worker(0).running(), 0U);
    auto const until = simulation.now() + 3s;
    simulation.worker_fault = [&simulation, until](std::size_t,
                                                   std::size_t worker,
                                                   ports::pool_operation const&)
    {
        return worker == 0 && simulation.now() < until
                   ? fault_effect::request_lost
                   : fault_effect::carried_out;
    };
    EXPECT_TRUE(acknowledged(simulation, simulation.cancel(other, "a")));
    simulation.kill(owner);
    simulation.run(3s);
    EXPECT_TRUE(nothing_runs(simulation, cancel_limit));
    auto const started = started_on_all_workers(simulation);
    simulation.run(5s);
    EXPECT_EQ(started_on_all_workers(simulation), started);
    EXPECT_EQ(simulation.state(other, "a"), ports::job_state::cancelled);
}
