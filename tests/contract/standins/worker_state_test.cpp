#include "standins/pool/worker_state.hpp"

#include <gtest/gtest.h>

using namespace fuchsia;
using namespace std::chrono_literals;
using standins::pool::max_listed_ends;

// Guards against a simulated worker that lists all ends at once: no test could
// show what the pool does with a list that is cut off.
TEST(worker_state, lists_the_oldest_ends_first_and_the_rest_after_them)
{
    core::common::time_point const start{1s};
    standins::pool::worker_state worker(ports::pool_worker{}, start, 1);
    for (std::uint32_t index = 0; index <= max_listed_ends; ++index)
    {
        ports::start_order order;
        order.attempt_id = {{"a", 0, 0, index}, 1};
        order.spec = "work=100";
        order.lease_until_ms = 5000;
        worker.apply(start, order);
    }
    auto const poll = [&worker, start](std::uint64_t acknowledged)
    {
        ports::poll_order order;
        order.acknowledged_end = acknowledged;
        return worker.apply(start + 1s, order);
    };
    for (int repeated = 0; repeated < 2; ++repeated)
    {
        auto const reply = poll(0);
        ASSERT_EQ(reply.ended.size(), max_listed_ends);
        EXPECT_TRUE(reply.ended_is_full);
        EXPECT_EQ(reply.ended.front().sequence, 1U);
        EXPECT_EQ(reply.ended.back().sequence, max_listed_ends);
    }
    auto const rest = poll(max_listed_ends);
    ASSERT_EQ(rest.ended.size(), 1U);
    EXPECT_FALSE(rest.ended_is_full);
    EXPECT_EQ(rest.ended.front().sequence, max_listed_ends + 1);
    EXPECT_TRUE(poll(max_listed_ends + 1).ended.empty());
}

// Guards against a simulated worker that takes no lease from a start that it
// refuses: no test could show a lease that the pool doesn't know of.
TEST(worker_state, a_superseded_start_extends_the_lease)
{
    core::common::time_point const start{1s};
    standins::pool::worker_state worker(ports::pool_worker{}, start, 1);
    auto const clock_ms = worker.apply(start, ports::poll_order{}).clock_ms;
    ports::start_order order;
    order.attempt_id = {{"a", 0, 0, 0}, 1};
    order.spec = "work=60000";
    order.lease_until_ms = clock_ms + 1000;
    ASSERT_EQ(worker.apply(start, order).status, ports::order_status::done);
    order.attempt_id.attempt = 2;
    order.lease_until_ms = clock_ms + 4000;
    ASSERT_EQ(worker.apply(start, order).status,
              ports::order_status::superseded);
    EXPECT_EQ(worker.apply(start + 3s, ports::poll_order{}).running.size(), 1U);
    EXPECT_TRUE(worker.apply(start + 5s, ports::poll_order{}).running.empty());
}

namespace
{

constexpr core::common::time_point start_time{1s};
constexpr auto step = 10ms;

// Returns a worker with a serving task that has a tail latency of 20 ms when it
// is idle, and a best-effort task on two of four cores.
standins::pool::worker_state make_shared_worker()
{
    ports::pool_worker info;
    info.capacity = {4000, 4000, 0};
    standins::pool::worker_state worker(info, start_time, 1);
    ports::start_order order;
    order.lease_until_ms = 60'000;
    order.attempt_id = {{"serving", 0, 0, 0}, 1};
    order.spec = "lasts tail=20 load=50";
    worker.apply(start_time, order);
    order.attempt_id = {{"filling", 0, 0, 0}, 1};
    order.spec = "work=1000 cores=2000 press=50";
    worker.apply(start_time, order);
    return worker;
}

void advance(standins::pool::worker_state& worker,
             core::common::time_point from,
             core::common::time_point until)
{
    for (auto now = from; now <= until; now += step)
    {
        worker.advance(now);
    }
}

std::int64_t reported_tail(standins::pool::worker_state& worker,
                           core::common::time_point now)
{
    ports::poll_order order;
    order.lease_until_ms = 60'000;
    for (auto const& row : worker.apply(now, order).running)
    {
        if (row.attempt_id.task.job == "serving")
        {
            return row.measurement;
        }
    }
    return -1;
}

} // namespace

// Guards against a simulated worker that ignores speed limits: no test could
// show what a limit that isn't in force does to a serving task.
TEST(worker_state,
     a_speed_limit_slows_work_and_pressure_after_a_tenth_of_a_second)
{
    auto worker = make_shared_worker();
    ports::task_name const serving{"serving", 0, 0, 0};
    ports::task_name const filling{"filling", 0, 0, 0};
    // Half of the capacity is used by load, a quarter by the neighbour.
    EXPECT_NEAR(worker.tail_latency(start_time, serving), 80, 0.1);
    EXPECT_NEAR(worker.isolated_tail_latency(start_time, serving), 40, 0.1);
    ports::speed_limit_order pause;
    pause.attempt_id = {filling, 1};
    pause.percent = 0;
    worker.apply(start_time, pause);
    advance(worker, start_time, start_time + 90ms);
    EXPECT_NEAR(worker.tail_latency(start_time + 90ms, serving), 80, 0.1);
    advance(worker, start_time + 100ms, start_time + 5s);
    EXPECT_NEAR(worker.tail_latency(start_time + 5s, serving), 40, 0.1);
    EXPECT_TRUE(worker.runs(filling));
    pause.percent = 100;
    worker.apply(start_time + 5s, pause);
    advance(worker, start_time + 5s, start_time + 5900ms);
    EXPECT_TRUE(worker.runs(filling));
    advance(worker, start_time + 5900ms, start_time + 6100ms);
    EXPECT_FALSE(worker.runs(filling));
}

// Guards against simulated figures that are exact and new in each report: no
// test could show decisions on figures that are half a second old.
TEST(worker_state, figures_of_a_loaded_task_lag_behind_and_repeat)
{
    auto worker = make_shared_worker();
    advance(worker, start_time, start_time + 600ms);
    EXPECT_EQ(reported_tail(worker, start_time + 600ms), 80);
    ports::speed_limit_order pause;
    pause.attempt_id = {{"filling", 0, 0, 0}, 1};
    pause.percent = 0;
    worker.apply(start_time + 600ms, pause);
    advance(worker, start_time + 600ms, start_time + 900ms);
    auto const figure = reported_tail(worker, start_time + 900ms);
    EXPECT_GT(figure, 40);
    EXPECT_LT(figure, 80);
    advance(worker, start_time + 910ms, start_time + 950ms);
    EXPECT_EQ(reported_tail(worker, start_time + 950ms), figure);
    advance(worker, start_time + 960ms, start_time + 2s);
    EXPECT_EQ(reported_tail(worker, start_time + 2s), 40);
}
