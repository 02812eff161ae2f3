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

/// Runs of the task on any worker.
std::size_t runs_of(pool_simulation& world, std::string const& job)
{
    std::size_t made = 0;
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        for (auto const& each : world.worker(number).started_runs())
        {
            made += each.task.job == job ? 1U : 0U;
        }
    }
    return made;
}

std::size_t worker_of(pool_simulation& world, std::string const& job)
{
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        for (auto const& each : world.worker(number).started_runs())
        {
            if (each.task.job == job)
            {
                return number;
            }
        }
    }
    return world.worker_count();
}

std::size_t begun(pool_simulation& world)
{
    std::size_t made = 0;
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        made += world.worker(number).started_runs().size();
    }
    return made;
}

// Starts a job of one task, "a"; returns the worker that runs it.
std::size_t start_one(pool_simulation& world, duration work)
{
    world.run(1s);
    world.submit(other_than(*world.owner()), "a", simple_job(1, work));
    world.run_until(
        [&world]
        {
            return runs_of(world, "a") == 1;
        });
    return worker_of(world, "a");
}

} // namespace

// An owner that could not read a worker's answers ran its tasks again once the
// lease was over, though the worker had told that they were done.
TEST(pool_busy_owner, asks_a_worker_again_before_its_tasks_start_elsewhere)
{
    pool_simulation world(instances);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    auto const unheard = start_one(world, 1s);
    ASSERT_EQ(runs_of(world, "a"), 1U);
    world.worker_fault =
        [&world, owner, unheard](
            std::size_t, std::size_t worker, ports::pool_operation const& call)
    {
        auto const seen = world.owner_at(owner).workers(world.now());
        bool const hit = worker == unheard &&
                         seen[unheard].lease_left > duration{} &&
                         std::holds_alternative<ports::poll_order>(call);
        return hit ? fault_effect::answer_lost : fault_effect::carried_out;
    };
    EXPECT_TRUE(world.run_until(
        [&world, owner]
        {
            return world.state(owner, "a") == ports::job_state::completed;
        }));
    EXPECT_EQ(runs_of(world, "a"), 1U);
}

// Tasks of a worker that is gone for good must start elsewhere all the same.
TEST(pool_busy_owner, a_worker_that_stays_silent_loses_its_tasks)
{
    pool_simulation world(instances);
    ASSERT_TRUE(run_until_owned(world));
    auto const lost = start_one(world, 10s);
    ASSERT_EQ(runs_of(world, "a"), 1U);
    world.worker_fault =
        [lost](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == lost ? fault_effect::request_lost
                              : fault_effect::carried_out;
    };
    EXPECT_TRUE(world.run_until(
        [&world]
        {
            return runs_of(world, "a") == 2;
        },
        7s));
    EXPECT_EQ(world.violation(), "");
}

// An order to slow a task down that never went out was taken for carried out,
// and the task went on harming its neighbours.
TEST(pool_busy_owner, slows_a_task_down_again_where_the_order_got_lost)
{
    pool_simulation world(instances, 1);
    ASSERT_TRUE(run_until_owned(world));
    auto const other = other_than(*world.owner());
    world.run(1s);
    auto serving = simple_job(2, 1s);
    serving.steps.front().long_running = true;
    serving.steps.front().image = "serves";
    serving.steps.front().tail_target = 100ms;
    serving.spec = "lasts tail=20";
    world.submit(other, "serving", serving);
    world.run(3s);
    std::size_t orders = 0;
    world.worker_fault =
        [&orders](std::size_t, std::size_t, ports::pool_operation const& call)
    {
        bool const paces =
            std::holds_alternative<ports::speed_limit_order>(call);
        orders += paces ? 1U : 0U;
        return paces ? fault_effect::refused : fault_effect::carried_out;
    };
    auto filling = simple_job(1, 60s);
    filling.steps.front().declared.millicores = 4000;
    filling.steps.front().best_effort = true;
    filling.steps.front().image = "fills";
    filling.spec = "work=60000 cores=4000 strain=100";
    world.submit(other, "filling", filling);
    world.run(5s);
    EXPECT_GE(orders, 3U);
}

// Jobs start that were cancelled seconds ago, and nobody told the owner.
TEST(pool_busy_owner, starts_nothing_by_old_news_of_jobs)
{
    pool_simulation world(instances);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    world.run(1s);
    world.submit(other_than(owner), "fills", simple_job(32, 4s));
    world.run(200ms);
    world.submit(other_than(owner), "waits", simple_job(8, 1s));
    world.run(300ms);
    ASSERT_EQ(runs_of(world, "fills"), 32U);
    ASSERT_EQ(runs_of(world, "waits"), 0U);
    world.store_fault =
        [owner](std::size_t instance, ports::kv_operation const& call)
    {
        return instance == owner && watches_jobs(call)
                   ? fault_effect::request_lost
                   : fault_effect::carried_out;
    };
    // The answer to a watch that waits already may still come.
    world.run(1100ms);
    world.cancel(other_than(owner), "waits");
    world.run(4s);
    EXPECT_EQ(runs_of(world, "waits"), 0U);
}

// Tasks start in a data centre that was taken out seconds ago.
TEST(pool_busy_owner, starts_nothing_by_an_old_configuration)
{
    pool_simulation world(instances);
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    world.run(2s);
    world.store_fault =
        [owner](std::size_t instance, ports::kv_operation const& call)
    {
        auto const* const pages = std::get_if<ports::kv_range>(&call);
        bool const read = pages != nullptr && pages->prefix == "operators/";
        bool const hit =
            instance == owner && (read || watches(call, "operators/"));
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    world.run(1100ms);
    world.store().put("operators/out/even", "");
    world.run(2s);
    auto const before = begun(world);
    submit_many(world, other_than(owner), "later", 8, simple_job(1, 1s));
    world.run(2s);
    EXPECT_EQ(begun(world), before);
    world.store_fault = nullptr;
    EXPECT_TRUE(world.run_until(
        [&world, before]
        {
            return begun(world) == before + 8;
        }));
    EXPECT_EQ(world.worker(0).started_runs().size() +
                  world.worker(2).started_runs().size(),
              0U);
}

// An instance that hears late of a new queue tells its callers for seconds that
// there is none.
TEST(pool_busy_front, calls_no_queue_absent_by_an_old_configuration)
{
    pool_simulation world(instances);
    ASSERT_TRUE(run_until_owned(world));
    auto const late = other_than(*world.owner());
    world.run(2s);
    auto const told = [&world, late]
    {
        auto const request = world.query_at(late, "/other/", "a");
        world.run(2s);
        return world.answer(request);
    };
    auto const before = told();
    ASSERT_TRUE(before.has_value());
    EXPECT_TRUE(std::holds_alternative<ports::queue_not_found>(*before));
    world.store_fault =
        [late](std::size_t instance, ports::kv_operation const& call)
    {
        auto const* const pages = std::get_if<ports::kv_range>(&call);
        bool const read = pages != nullptr && pages->prefix == "operators/";
        bool const hit =
            instance == late && (read || watches(call, "operators/"));
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    world.run(3s);
    auto const after = told();
    ASSERT_TRUE(after.has_value());
    EXPECT_TRUE(std::holds_alternative<ports::job_refused>(*after));
    auto const request = world.submit(late, "b", simple_job(1, 1s));
    world.run(2s);
    auto const handed_in = world.answer(request);
    ASSERT_TRUE(handed_in.has_value());
    EXPECT_TRUE(std::holds_alternative<ports::job_refused>(*handed_in));
}
