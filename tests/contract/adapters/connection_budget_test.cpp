#include "adapters/http/connection_budget.hpp"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>

namespace fuchsia::adapters::http
{

namespace
{

using namespace std::chrono_literals;
using core::common::clock;

constexpr std::uint64_t kilobyte = 1024;

class connection_budget_test : public testing::Test
{
protected:
    connection_budget_test()
    {
        clock::pause();
    }

    ~connection_budget_test() override
    {
        clock::resume();
    }

    std::unique_ptr<connection_budget::member> add(std::string const& name)
    {
        return budget.add(name,
                          [this, name](shed_reason reason)
                          {
                              shed[name] = reason;
                          });
    }

    connection_budget budget{{.bytes = 100 * kilobyte, .connections = 3}};
    std::map<std::string, shed_reason> shed;
};

} // namespace

// Guards against small requests that are refused while large incomplete ones
// hold the memory.
TEST_F(connection_budget_test, largest_incomplete_request_is_shed_first)
{
    auto const small = add("small");
    auto const large = add("large");
    auto const next = add("next");
    EXPECT_TRUE(small->hold(10 * kilobyte));
    EXPECT_TRUE(large->hold(80 * kilobyte));
    EXPECT_TRUE(next->hold(20 * kilobyte));
    EXPECT_EQ(shed.size(), 1U);
    EXPECT_TRUE(shed.contains("large"));
    EXPECT_FALSE(next->hold(110 * kilobyte));
    EXPECT_EQ(shed.size(), 2U);
    EXPECT_TRUE(shed.contains("next"));
}

// Guards against giving up a request that was handed over, or the short answer
// to an accepted job.
TEST_F(connection_budget_test, handled_requests_and_short_answers_are_kept)
{
    auto const handled = add("handled");
    auto const answered = add("answered");
    auto const reading = add("reading");
    EXPECT_TRUE(handled->hold(90 * kilobyte));
    handled->enter(connection_phase::handling);
    answered->enter(connection_phase::answering);
    EXPECT_TRUE(answered->hold(9 * kilobyte));
    clock::advance(10s);
    EXPECT_FALSE(reading->hold(2 * kilobyte));
    EXPECT_TRUE(answered->hold(11 * kilobyte));
    EXPECT_EQ(shed.size(), 1U);
    EXPECT_TRUE(shed.contains("reading"));
}

// Guards against clients that let large answers pile up, and against cutting
// off an answer that has only just been sent.
TEST_F(connection_budget_test,
       large_answer_is_shed_only_once_it_counts_as_unread)
{
    auto const unread = add("unread");
    auto const reading = add("reading");
    unread->enter(connection_phase::answering);
    EXPECT_TRUE(unread->hold(80 * kilobyte));
    EXPECT_FALSE(reading->hold(30 * kilobyte));
    EXPECT_FALSE(shed.contains("unread"));
    clock::advance(1s);
    EXPECT_TRUE(reading->hold(30 * kilobyte));
    EXPECT_TRUE(shed.contains("unread"));
}

// Guards against large answers whose sum exceeds the memory while each of them
// is new.
TEST_F(connection_budget_test, large_answer_that_fits_nowhere_is_given_up)
{
    auto const first = add("first");
    auto const second = add("second");
    first->enter(connection_phase::answering);
    second->enter(connection_phase::answering);
    EXPECT_TRUE(first->hold(80 * kilobyte));
    EXPECT_FALSE(second->hold(30 * kilobyte));
    EXPECT_TRUE(shed.contains("second"));
    EXPECT_FALSE(shed.contains("first"));
}

// Guards against memory that stays counted after its connection has ended.
TEST_F(connection_budget_test, ended_connection_returns_its_share)
{
    auto ended = add("ended");
    EXPECT_TRUE(ended->hold(90 * kilobyte));
    ended->enter(connection_phase::handling);
    ended.reset();
    auto const next = add("next");
    EXPECT_TRUE(next->hold(90 * kilobyte));
    EXPECT_TRUE(shed.empty());
}

// Guards against idle connections that leave no room for a caller. Those that
// have sent requests before are the last to go.
TEST_F(connection_budget_test, connection_that_never_sent_a_request_makes_room)
{
    auto const served = add("served");
    served->enter(connection_phase::handling);
    served->enter(connection_phase::answering);
    served->enter(connection_phase::receiving);
    clock::advance(1ms);
    auto const first = add("first");
    clock::advance(1ms);
    auto const second = add("second");
    EXPECT_TRUE(budget.make_room("caller"));
    EXPECT_EQ(shed.size(), 1U);
    EXPECT_TRUE(shed.contains("first"));
    auto const caller = add("caller");
    EXPECT_TRUE(budget.make_room("next"));
    EXPECT_TRUE(shed.contains("second"));
    EXPECT_FALSE(shed.contains("served"));
}

// Guards against a connection whose request is being handled, or whose answer
// was sent just now, that is closed for a new one.
TEST_F(connection_budget_test, new_connection_is_refused_if_all_are_in_use)
{
    auto const handled = add("handled");
    auto const answered = add("answered");
    auto const other = add("other");
    handled->enter(connection_phase::handling);
    answered->enter(connection_phase::answering);
    other->enter(connection_phase::handling);
    EXPECT_FALSE(budget.make_room("caller"));
    EXPECT_TRUE(shed.empty());
    clock::advance(1s);
    EXPECT_TRUE(budget.make_room("caller"));
    EXPECT_EQ(shed.size(), 1U);
    EXPECT_TRUE(shed.contains("answered"));
}

// Guards against limits that don't follow the machine.
TEST(machine_limits,
     connections_take_an_eighth_of_memory_and_a_quarter_of_descriptors)
{
    auto const small = limits_of_machine(32, 200);
    EXPECT_EQ(small.bytes, 4U * 1024 * 1024);
    EXPECT_EQ(small.connections, 50U);
    auto const unknown = limits_of_machine(0, 0);
    EXPECT_EQ(unknown.bytes, 20U * 1024 * 1024);
    EXPECT_GE(unknown.connections, 1U);
    EXPECT_LE(unknown.connections, 4096U);
}

} // namespace fuchsia::adapters::http
