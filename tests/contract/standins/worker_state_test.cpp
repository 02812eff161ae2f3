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
