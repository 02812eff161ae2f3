#include "restarted_worker.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

// Orders that get no answer and are carried out seconds later, by an
// incarnation of the worker that they were not meant for.
using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

ports::pool_attempt const first_attempt{{"a", 0, 0, 0}, 1};

/// Lets the worker carry out a start that no owner knows of.
void start_unknown_attempt(pool_simulation& simulation,
                           std::uint32_t attempt,
                           std::string const& spec)
{
    auto& target = simulation.worker(restarted);
    ports::start_order order;
    order.fencing_token = target.fencing_token();
    order.attempt_id = {first_attempt.task, attempt};
    order.spec = spec;
    order.lease_until_ms = 1'000'000;
    target.apply(simulation.now(), order);
}

constexpr duration late_delay = 6s;
/// Time from the submission of a job to the restart of its worker.
constexpr duration restart_delays[] = {600ms, 1s, 2500ms, 4s};

/// Crashes worker `restarted`, which comes back `down_time` later under its id.
void restart_after(pool_simulation& simulation, duration down_time)
{
    simulation.set_crash_recovery(down_time, true);
    simulation.crash_worker(restarted);
    simulation.run(down_time);
}

using order_filter = std::function<bool(ports::pool_operation const&)>;

/// Lets worker `restarted` carry out late the next `count` orders that match,
/// without an answer.
void hold_back(pool_simulation& simulation,
               std::size_t count,
               order_filter const& matches)
{
    simulation.worker_fault =
        [matches, left = count](std::size_t,
                                std::size_t worker,
                                ports::pool_operation const& order) mutable
    {
        bool const hit = left > 0 && worker == restarted && matches(order);
        left -= hit ? 1U : 0U;
        return hit ? fault_effect::executed_late : fault_effect::carried_out;
    };
}

/// Submits jobs of short tasks for this time and returns their ids.
std::vector<std::string> submit_in_series(pool_simulation& simulation,
                                          std::string const& prefix,
                                          duration length)
{
    constexpr duration interval = 30ms;
    std::vector<std::string> ids;
    for (duration passed{}; passed < length; passed += interval)
    {
        ids.push_back(prefix + std::to_string(ids.size()));
        simulation.submit(0, ids.back(), job_near_restarted(3, 5ms));
        simulation.run(interval);
    }
    return ids;
}

enum class order_kind : std::uint8_t
{
    start,
    acknowledging_poll,
    renewing_poll,
    stop,
};

bool is_of_kind(ports::pool_operation const& order, order_kind kind)
{
    auto const* const poll = std::get_if<ports::poll_order>(&order);
    switch (kind)
    {
    case order_kind::start:
        return std::holds_alternative<ports::start_order>(order);
    case order_kind::acknowledging_poll:
        return poll != nullptr && poll->acknowledged_end > 0;
    case order_kind::renewing_poll:
        return poll != nullptr && poll->lease_until_ms > 0;
    case order_kind::stop:
        return std::holds_alternative<ports::stop_order>(order);
    }
    return false;
}

/// Loses the stops that are sent to worker `restarted`, unless they are late.
void lose_stops(pool_simulation& simulation)
{
    simulation.worker_fault =
        [other = simulation.worker_fault](std::size_t instance,
                                          std::size_t worker,
                                          ports::pool_operation const& order)
    {
        auto const effect = other(instance, worker, order);
        bool const stop = std::holds_alternative<ports::stop_order>(order);
        bool const lost =
            stop && worker == restarted && effect == fault_effect::carried_out;
        return lost ? fault_effect::request_lost : effect;
    };
}

enum class takeover_time : std::uint8_t
{
    never,
    before_restart,
    after_restart,
};

void replace_owner(pool_simulation& simulation)
{
    auto const owner = simulation.claim_holder();
    ASSERT_TRUE(owner);
    simulation.kill(*owner);
    simulation.run(300ms);
    simulation.start(*owner);
    simulation.run(700ms); // It accepts jobs again.
}

class pool_late_order_of_kind
    : public testing::TestWithParam<
          std::tuple<order_kind, int, takeover_time, bool>>
{
};

} // namespace

// Guards against a start without an answer that reaches the next incarnation of
// its worker: the task, which is done, runs again.
TEST(pool_late_orders, a_late_start_is_refused_by_the_next_incarnation)
{
    for (auto const delay : restart_delays)
    {
        for (auto const down_time : {10ms, 300ms, 1000ms})
        {
            pool_simulation simulation(2, 2);
            use_first_incarnation(simulation);
            simulation.set_late_delay(late_delay);
            fail_next_start(simulation, fault_effect::executed_late);
            simulation.submit(0, "a", job_near_restarted(4, 400ms));
            simulation.run(delay);
            restart_after(simulation, down_time);
            EXPECT_TRUE(completes(simulation, "a"));
            simulation.run(late_delay);
            EXPECT_EQ(simulation.violation(), "")
                << "restart after " << delay.count() << " ns, down for "
                << down_time.count() << " ms";
        }
    }
}

// Guards against polls without an answer that reach the next incarnation of
// their worker and acknowledge its ends, which nobody has read: the tasks run
// again.
TEST(pool_late_orders,
     late_polls_do_not_acknowledge_ends_of_the_next_incarnation)
{
    for (auto const delay : {3000ms, 3500ms, 4000ms, 4500ms})
    {
        pool_simulation simulation(2, 2);
        use_first_incarnation(simulation);
        // The first incarnation numbers more ends than the next one will have.
        submit_in_series(simulation, "earlier", 6s);
        simulation.set_late_delay(delay);
        hold_back(simulation,
                  8,
                  [](ports::pool_operation const& order)
                  {
                      auto const* const poll =
                          std::get_if<ports::poll_order>(&order);
                      return poll != nullptr && poll->acknowledged_end > 0;
                  });
        submit_in_series(simulation, "held", 1500ms);
        simulation.worker_fault = nullptr;
        restart_after(simulation, 300ms);
        auto const jobs = submit_in_series(simulation, "later", delay);
        EXPECT_EQ(simulation.violation(), "") << delay.count() << " ms";
        for (auto const& id : jobs)
        {
            EXPECT_TRUE(completes(simulation, id));
            EXPECT_EQ(simulation.starts_of({id, 0, 0, 0}), 1U) << id;
        }
    }
}

// Guards against a poll without an answer that reaches the next incarnation of
// its worker and grants it a lease by the clock of the earlier one: cut off
// then, it runs its tasks on while they start elsewhere.
TEST(pool_late_orders, a_late_poll_grants_no_lease_to_the_next_incarnation)
{
    pool_simulation simulation(2, 2);
    use_first_incarnation(simulation);
    // The clock of the first incarnation gets far ahead.
    simulation.run(20s);
    simulation.submit(0, "busy", long_running_job_near_restarted());
    ASSERT_TRUE(runs_on_restarted(simulation, "busy"));
    simulation.set_late_delay(late_delay);
    hold_back(simulation,
              1,
              [](ports::pool_operation const& order)
              {
                  auto const* const poll =
                      std::get_if<ports::poll_order>(&order);
                  return poll != nullptr && poll->lease_until_ms > 0;
              });
    simulation.run(1500ms);
    restart_after(simulation, 300ms);
    simulation.run(2s);
    simulation.submit(0, "a", long_running_job_near_restarted());
    simulation.run(late_delay - 3500ms);
    ASSERT_TRUE(simulation.worker(restarted).runs({"a", 0, 0, 0}));
    cut_off(simulation);
    simulation.run(15s);
    EXPECT_EQ(simulation.violation(), "");
    EXPECT_EQ(simulation.running_count({"busy", 0, 0, 0}), 1U);
    EXPECT_EQ(simulation.running_count({"a", 0, 0, 0}), 1U);
}

// Guards against an idle worker that restarts and is not polled for long: until
// then it carries out orders that were meant for its earlier incarnation.
TEST(pool_late_orders, a_restart_is_noticed_soon_while_an_order_may_be_late)
{
    for (auto idle = 0ms; idle <= 1600ms; idle += 200ms)
    {
        pool_simulation simulation(2, 2);
        use_first_incarnation(simulation);
        fail_next_start(simulation, fault_effect::request_lost);
        simulation.submit(0, "a", job_near_restarted(1, 100ms));
        ASSERT_TRUE(completes(simulation, "a"));
        simulation.run(2s + idle);
        // The list does not tell of the restart.
        simulation.store_fault =
            [](std::size_t, ports::kv_operation const& call)
        {
            bool const watch = std::holds_alternative<ports::kv_watch>(call);
            return watch ? fault_effect::request_lost
                         : fault_effect::carried_out;
        };
        simulation.restart_worker(restarted);
        EXPECT_TRUE(simulation.run_until(
            [&simulation]
            {
                return simulation.worker(restarted).fencing_token() != 0;
            },
            300ms))
            << idle.count() << " ms";
    }
}

// Guards against an owner that gives up its claim because a worker refuses a
// start that was overtaken by an order with a higher token, and against a task
// that waits for the answer of that start.
TEST(pool_late_orders, an_overtaken_start_is_sent_again_at_once)
{
    pool_simulation simulation(2, 2);
    use_first_incarnation(simulation);
    auto const owner = simulation.owner();
    // The start of b is on its way while that of a is found to have got no
    // answer.
    fail_next_start(simulation, fault_effect::request_lost);
    simulation.order_delay = [](std::size_t, ports::pool_operation const& order)
    {
        auto const* const start = std::get_if<ports::start_order>(&order);
        bool const of_b = start != nullptr &&
                          start->attempt_id.task.job == "b" &&
                          start->attempt_id.attempt == 1;
        return of_b ? 250ms : 0ms;
    };
    simulation.submit(0, "a", job_near_restarted(1, 100ms));
    simulation.run(200ms);
    simulation.submit(0, "b", job_near_restarted(1, 100ms));
    simulation.run(2s);
    EXPECT_NE(line_with(simulation, "order_overtaken", "order=start"), "");
    EXPECT_TRUE(completes(simulation, "a"));
    EXPECT_TRUE(completes(simulation, "b"));
    EXPECT_EQ(simulation.owner(), owner);
    EXPECT_EQ(line_with(simulation, "claim_lost", ""), "");
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a second run of a task that leaves no trace: neither the run
// nor its end is of an attempt that the owner knows.
TEST(pool_late_orders, a_run_of_another_attempt_is_logged)
{
    pool_simulation simulation(2, 2);
    use_first_incarnation(simulation);
    simulation.submit(0, "a", job_near_restarted(1, 100ms));
    ASSERT_TRUE(completes(simulation, "a"));
    simulation.run(2s);
    start_unknown_attempt(simulation, 2, "lasts");
    simulation.run(3s);
    EXPECT_NE(line_with(simulation, "run_of_other_attempt", "job=a task=0.0.0"),
              "");
    EXPECT_NE(line_with(simulation, "run_of_other_attempt", "attempt=2"), "");
    start_unknown_attempt(simulation, 3, "work=10");
    simulation.run(3s);
    EXPECT_NE(line_with(simulation, "end_of_other_attempt", "attempt=3"), "");
}

// Guards against an order of any kind that is carried out seconds late: by the
// same incarnation of its worker, the next one or the one after, under the same
// owner or its successor, and whether or not stops get through meanwhile.
TEST_P(pool_late_order_of_kind, breaks_nothing)
{
    auto const& [kind, restarts, takeover, stops_lost] = GetParam();
    pool_simulation simulation(3, 2);
    use_first_incarnation(simulation);
    simulation.submit(0, "lasts", long_running_job_near_restarted());
    simulation.submit(0, "cancelled", long_running_job_near_restarted());
    submit_in_series(simulation, "earlier", 1s);
    simulation.set_late_delay(late_delay);
    hold_back(simulation,
              4,
              [kind = kind](ports::pool_operation const& order)
              {
                  return is_of_kind(order, kind);
              });
    if (stops_lost)
    {
        lose_stops(simulation);
    }
    simulation.cancel(0, "cancelled");
    auto jobs = submit_in_series(simulation, "held", 900ms);
    if (takeover == takeover_time::before_restart)
    {
        replace_owner(simulation);
    }
    for (int restart = 0; restart < restarts; ++restart)
    {
        restart_after(simulation, 300ms);
        simulation.run(500ms);
    }
    if (takeover == takeover_time::after_restart)
    {
        replace_owner(simulation);
    }
    simulation.worker_fault = nullptr;
    auto const later_jobs = submit_in_series(simulation, "later", late_delay);
    jobs.insert(jobs.end(), later_jobs.begin(), later_jobs.end());
    cut_off(simulation);
    simulation.run(8s);
    EXPECT_EQ(simulation.violation(), "");
    for (auto const& id : jobs)
    {
        EXPECT_TRUE(completes(simulation, id)) << id;
    }
    EXPECT_EQ(simulation.running_count({"lasts", 0, 0, 0}), 1U);
    EXPECT_EQ(simulation.running_count({"cancelled", 0, 0, 0}), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    kinds,
    pool_late_order_of_kind,
    testing::Combine(testing::Values(order_kind::start,
                                     order_kind::acknowledging_poll,
                                     order_kind::renewing_poll,
                                     order_kind::stop),
                     testing::Values(0, 1, 2),
                     testing::Values(takeover_time::never,
                                     takeover_time::before_restart,
                                     takeover_time::after_restart),
                     testing::Bool()));
