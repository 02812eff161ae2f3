#include "platform/order_codec.hpp"

#include <gtest/gtest.h>
#include <string>

// Odd answers of workers that were believed once.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;

ports::order_reply told_by_hold(std::string const& body)
{
    failure reason;
    return platform::decode_order_reply(ports::poll_order{}, 200, body, reason);
}

} // namespace

// Attempts wrapped round to that of another run, which was then taken for over.
TEST(order_inputs, rows_with_an_odd_attempt_are_no_rows)
{
    for (auto const* odd : {"0", "-1", "4294967297", "1e300", "\"1\"", "null"})
    {
        auto const attempt = std::string(odd);
        auto const made =
            told_by_hold(R"({"running":[],"ended":[[1,"a.0.0.0",)" + attempt +
                         R"(,"done",""],[2,"a.0.0.1",1,"done",""]]})");
        EXPECT_EQ(made.ended.size(), 1U) << odd;
        EXPECT_EQ(told_by_hold(R"({"running":[["a.0.0.0",)" + attempt +
                               R"(,"",1]],"ended":[]})")
                      .status,
                  ports::order_status::unclear)
            << odd;
    }
}

// An end numbered beyond all others counted as heard of, and every later end of
// that worker was passed over.
TEST(order_inputs, ends_are_numbered_within_bounds)
{
    for (auto const* odd : {"-1", "0", "1.5", "9223372036854775807", "\"1\""})
    {
        EXPECT_TRUE(told_by_hold(R"({"running":[],"ended":[[)" +
                                 std::string(odd) +
                                 R"(,"a.0.0.0",1,"done",""]]})")
                        .ended.empty())
            << odd;
    }
}

// Readings beyond what a number holds had no defined value.
TEST(order_inputs, readings_stay_within_bounds)
{
    auto const made = told_by_hold(
        R"({"running":[["a.0.0.0",1,"",1e300,-1e300],["a.0.0.1",1,"",-5,1e999],)"
        R"(["a.0.0.2",1,"",99.5,7.9],["a.0.0.3",1]],"ended":[]})");
    ASSERT_EQ(made.running.size(), 4U);
    EXPECT_EQ(made.running[0].progress_percent, 100U);
    EXPECT_EQ(made.running[0].measurement, 0);
    EXPECT_EQ(made.running[1].progress_percent, 0U);
    EXPECT_LE(made.running[1].measurement, 1'000'000'000);
    EXPECT_EQ(made.running[2].progress_percent, 99U);
    EXPECT_EQ(made.running[2].measurement, 7);
    EXPECT_EQ(made.running[3].progress_percent, 0U);
}

// A worker whose list did not come whole was taken for one that runs nothing,
// and its tasks were started a second time elsewhere.
TEST(order_inputs, a_hold_without_its_lists_proves_nothing)
{
    EXPECT_EQ(told_by_hold(R"({"running":[],"ended":[]})").status,
              ports::order_status::done);
    for (auto const* bad : {"",
                            "{}",
                            R"({"running":[]})",
                            R"({"ended":[]})",
                            R"({"running":{},"ended":[]})",
                            R"({"running":[],"ended":null})",
                            R"({"running":[7],"ended":[]})",
                            R"({"running":[["a.0.0",1]],"ended":[]})",
                            R"({"running":[["a.0.0.0"]],"ended":[]})"})
    {
        EXPECT_EQ(told_by_hold(bad).status, ports::order_status::unclear)
            << bad;
        EXPECT_TRUE(told_by_hold(bad).running.empty()) << bad;
    }
}

// Taken for another incarnation, a worker's tasks were started elsewhere while
// it ran them.
TEST(order_inputs, an_answer_with_an_odd_incarnation_or_clock_proves_nothing)
{
    for (auto const* odd : {"-1",
                            "1.5",
                            "\"7\"",
                            "null",
                            "1e300",
                            "9223372036854775807",
                            "18446744073709551615"})
    {
        for (auto const* field : {"born", "clockMs"})
        {
            EXPECT_EQ(told_by_hold("{\"" + std::string(field) + "\":" + odd +
                                   R"(,"running":[],"ended":[]})")
                          .status,
                      ports::order_status::unclear)
                << field << odd;
        }
    }
}

// One task under two names counts as two.
TEST(order_inputs, a_task_has_one_name)
{
    for (auto const* other : {"a.00.0.0", "a.0.01.0", "a.0.0.007", ".0.0.0"})
    {
        EXPECT_FALSE(platform::decode_task_name(other)) << other;
    }
}

} // namespace fuchsia::tests::contract::inputs
