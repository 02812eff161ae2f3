#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t instances = 3;

bool watches(ports::kv_operation const& call, std::string_view prefix)
{
    auto const* const watch = std::get_if<ports::kv_watch>(&call);
    return watch != nullptr && watch->prefix == prefix;
}

/// Returns the number of started runs of the job's tasks on all workers.
std::size_t start_count(pool_simulation& simulation, std::string const& job)
{
    std::size_t count = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        for (auto const& run : simulation.worker(number).started_runs())
        {
            count += run.task.job == job ? 1U : 0U;
        }
    }
    return count;
}

std::size_t worker_of(pool_simulation& simulation, std::string const& job)
{
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        for (auto const& run : simulation.worker(number).started_runs())
        {
            if (run.task.job == job)
            {
                return number;
            }
        }
    }
    return simulation.worker_count();
}

// Starts job "a" of one task and returns the number of the worker that runs it.
std::size_t start_one(pool_simulation& simulation, duration work)
{
    simulation.run(1s);
    simulation.submit(
        other_than(*simulation.owner()), "a", simple_job(1, work));
    simulation.run_until(
        [&simulation]
        {
            return start_count(simulation, "a") == 1;
        });
    return worker_of(simulation, "a");
}

} // namespace

// Guards against a second run of tasks that are done: an owner too busy to
// process a worker's answers would start them elsewhere after the lease.
TEST(pool_busy_owner, polls_a_worker_again_before_its_tasks_start_elsewhere)
{
    pool_simulation simulation(instances);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const target = start_one(simulation, 1s);
    ASSERT_EQ(start_count(simulation, "a"), 1U);
    simulation.worker_fault =
        [&simulation, owner, target](
            std::size_t, std::size_t worker, ports::pool_operation const& call)
    {
        auto const workers =
            simulation.owner_at(owner).workers(simulation.now());
        bool const hit = worker == target &&
                         workers[target].lease_left > duration{} &&
                         std::holds_alternative<ports::poll_order>(call);
        return hit ? fault_effect::answer_lost : fault_effect::carried_out;
    };
    EXPECT_TRUE(simulation.run_until(
        [&simulation, owner]
        {
            return simulation.state(owner, "a") == ports::job_state::completed;
        }));
    EXPECT_EQ(start_count(simulation, "a"), 1U);
}

// Guards against tasks that never start again because their worker is gone for
// good.
TEST(pool_busy_owner, tasks_of_a_worker_that_stays_silent_start_elsewhere)
{
    pool_simulation simulation(instances);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const lost = start_one(simulation, 10s);
    ASSERT_EQ(start_count(simulation, "a"), 1U);
    simulation.worker_fault =
        [lost](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == lost ? fault_effect::request_lost
                              : fault_effect::carried_out;
    };
    EXPECT_TRUE(simulation.run_until(
        [&simulation]
        {
            return start_count(simulation, "a") == 2;
        },
        7s));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a best-effort task that keeps disturbing its neighbours
// because a speed limit order that was never sent is taken for carried out.
TEST(pool_busy_owner, a_speed_limit_order_that_was_not_sent_is_repeated)
{
    pool_simulation simulation(instances, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const other = other_than(*simulation.owner());
    simulation.run(1s);
    auto serving = simple_job(2, 1s);
    serving.steps.front().long_running = true;
    serving.steps.front().image = "serves";
    serving.steps.front().tail_target = 100ms;
    serving.spec = "lasts tail=20";
    simulation.submit(other, "serving", serving);
    simulation.run(3s);
    std::size_t orders = 0;
    simulation.worker_fault =
        [&orders](std::size_t, std::size_t, ports::pool_operation const& call)
    {
        bool const is_speed_limit =
            std::holds_alternative<ports::speed_limit_order>(call);
        orders += is_speed_limit ? 1U : 0U;
        return is_speed_limit ? fault_effect::refused
                              : fault_effect::carried_out;
    };
    auto best_effort = simple_job(1, 60s);
    best_effort.steps.front().declared.millicores = 4000;
    best_effort.steps.front().best_effort = true;
    best_effort.steps.front().image = "fills";
    best_effort.spec = "work=60000 cores=4000 strain=100";
    simulation.submit(other, "filling", best_effort);
    simulation.run(5s);
    EXPECT_GE(orders, 3U);
}

// Guards against the start of jobs that were cancelled seconds ago while the
// owner gets no updates.
TEST(pool_busy_owner, starts_nothing_by_outdated_job_updates)
{
    pool_simulation simulation(instances);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.run(1s);
    simulation.submit(other_than(owner), "fills", simple_job(32, 4s));
    simulation.run(200ms);
    simulation.submit(other_than(owner), "waits", simple_job(8, 1s));
    simulation.run(300ms);
    ASSERT_EQ(start_count(simulation, "fills"), 32U);
    ASSERT_EQ(start_count(simulation, "waits"), 0U);
    simulation.store_fault =
        [owner](std::size_t instance, ports::kv_operation const& call)
    {
        return instance == owner && watches_jobs(call)
                   ? fault_effect::request_lost
                   : fault_effect::carried_out;
    };
    // A watch that is already pending may still be answered.
    simulation.run(1100ms);
    simulation.cancel(other_than(owner), "waits");
    simulation.run(4s);
    EXPECT_EQ(start_count(simulation, "waits"), 0U);
}

// Guards against tasks that start in a data centre which was taken out of
// service seconds ago.
TEST(pool_busy_owner, starts_nothing_by_an_outdated_configuration)
{
    pool_simulation simulation(instances);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.run(2s);
    simulation.store_fault =
        [owner](std::size_t instance, ports::kv_operation const& call)
    {
        auto const* const range = std::get_if<ports::kv_range>(&call);
        bool const reads_operators =
            range != nullptr && range->prefix == "operators/";
        bool const hit = instance == owner &&
                         (reads_operators || watches(call, "operators/"));
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    simulation.run(1100ms);
    simulation.store().put("operators/out/even", "");
    simulation.run(2s);
    auto const before = total_starts(simulation);
    submit_many(simulation, other_than(owner), "later", 8, simple_job(1, 1s));
    simulation.run(2s);
    EXPECT_EQ(total_starts(simulation), before);
    simulation.store_fault = nullptr;
    EXPECT_TRUE(simulation.run_until(
        [&simulation, before]
        {
            return total_starts(simulation) == before + 8;
        }));
    EXPECT_EQ(simulation.worker(0).started_runs().size() +
                  simulation.worker(2).started_runs().size(),
              0U);
}

// Guards against an instance that learns late of a new queue and tells its
// callers for seconds that there is none.
TEST(pool_busy_request_handler,
     reports_no_queue_missing_by_an_outdated_configuration)
{
    pool_simulation simulation(instances);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const outdated = other_than(*simulation.owner());
    simulation.run(2s);
    auto const query_job = [&simulation, outdated]
    {
        auto const request = simulation.query_at(outdated, "/other/", "a");
        simulation.run(2s);
        return simulation.answer(request);
    };
    auto const before = query_job();
    ASSERT_TRUE(before.has_value());
    EXPECT_TRUE(std::holds_alternative<ports::queue_not_found>(*before));
    simulation.store_fault =
        [outdated](std::size_t instance, ports::kv_operation const& call)
    {
        auto const* const range = std::get_if<ports::kv_range>(&call);
        bool const reads_operators =
            range != nullptr && range->prefix == "operators/";
        bool const hit = instance == outdated &&
                         (reads_operators || watches(call, "operators/"));
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    simulation.run(3s);
    auto const after = query_job();
    ASSERT_TRUE(after.has_value());
    EXPECT_TRUE(std::holds_alternative<ports::job_refused>(*after));
    auto const request = simulation.submit(outdated, "b", simple_job(1, 1s));
    simulation.run(2s);
    auto const submitted = simulation.answer(request);
    ASSERT_TRUE(submitted.has_value());
    EXPECT_TRUE(std::holds_alternative<ports::job_refused>(*submitted));
}
