#include "platform/order_codec.hpp"

#include <gtest/gtest.h>
#include <string>

// Malformed responses of workers that were accepted in the past.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;

ports::order_reply decode_poll_reply(std::string const& body)
{
    failure reason;
    return platform::decode_order_reply(ports::poll_order{}, 200, body, reason);
}

} // namespace

// An attempt number overflowed to that of another attempt, which then counted
// as ended.
TEST(order_inputs, rows_with_an_invalid_attempt_are_rejected)
{
    for (auto const* invalid :
         {"0", "-1", "4294967297", "1e300", "\"1\"", "null"})
    {
        auto const attempt = std::string(invalid);
        auto const reply = decode_poll_reply(
            R"({"running":[],"ended":[[1,"a.0.0.0",)" + attempt +
            R"(,"done",""],[2,"a.0.0.1",1,"done",""]]})");
        EXPECT_EQ(reply.ended.size(), 1U) << invalid;
        EXPECT_EQ(decode_poll_reply(R"({"running":[["a.0.0.0",)" + attempt +
                                    R"(,"",1]],"ended":[]})")
                      .status,
                  ports::order_status::unclear)
            << invalid;
    }
}

// An end with a sequence number above all others counted as acknowledged, and
// every later end of that worker was ignored.
TEST(order_inputs, ends_with_an_invalid_sequence_are_dropped)
{
    for (auto const* invalid :
         {"-1", "0", "1.5", "9223372036854775807", "\"1\""})
    {
        EXPECT_TRUE(decode_poll_reply(R"({"running":[],"ended":[[)" +
                                      std::string(invalid) +
                                      R"(,"a.0.0.0",1,"done",""]]})")
                        .ended.empty())
            << invalid;
    }
}

// The conversion of measurements out of the integer range was undefined.
TEST(order_inputs, measurements_are_clamped_to_their_range)
{
    auto const reply = decode_poll_reply(
        R"({"running":[["a.0.0.0",1,"",1e300,-1e300],["a.0.0.1",1,"",-5,1e999],)"
        R"(["a.0.0.2",1,"",99.5,7.9],["a.0.0.3",1]],"ended":[]})");
    ASSERT_EQ(reply.running.size(), 4U);
    EXPECT_EQ(reply.running[0].progress_percent, 100U);
    EXPECT_EQ(reply.running[0].measurement, 0);
    EXPECT_EQ(reply.running[1].progress_percent, 0U);
    EXPECT_LE(reply.running[1].measurement, 1'000'000'000);
    EXPECT_EQ(reply.running[2].progress_percent, 99U);
    EXPECT_EQ(reply.running[2].measurement, 7);
    EXPECT_EQ(reply.running[3].progress_percent, 0U);
}

// A worker whose list was incomplete counted as one that runs no tasks, and its
// tasks were started a second time on other workers.
TEST(order_inputs, poll_reply_without_complete_lists_is_unclear)
{
    EXPECT_EQ(decode_poll_reply(R"({"running":[],"ended":[]})").status,
              ports::order_status::done);
    for (auto const* invalid : {"",
                                "{}",
                                R"({"running":[]})",
                                R"({"ended":[]})",
                                R"({"running":{},"ended":[]})",
                                R"({"running":[],"ended":null})",
                                R"({"running":[7],"ended":[]})",
                                R"({"running":[["a.0.0",1]],"ended":[]})",
                                R"({"running":[["a.0.0.0"]],"ended":[]})"})
    {
        EXPECT_EQ(decode_poll_reply(invalid).status,
                  ports::order_status::unclear)
            << invalid;
        EXPECT_TRUE(decode_poll_reply(invalid).running.empty()) << invalid;
    }
}

// A worker with a malformed incarnation counted as restarted, and its tasks
// were started on other workers while it still ran them.
TEST(order_inputs, poll_reply_with_an_invalid_incarnation_or_clock_is_unclear)
{
    for (auto const* invalid : {"-1",
                                "1.5",
                                "\"7\"",
                                "null",
                                "1e300",
                                "9223372036854775807",
                                "18446744073709551615"})
    {
        for (auto const* field : {"born", "clockMs"})
        {
            EXPECT_EQ(decode_poll_reply("{\"" + std::string(field) +
                                        "\":" + invalid +
                                        R"(,"running":[],"ended":[]})")
                          .status,
                      ports::order_status::unclear)
                << field << invalid;
        }
    }
}

// A task with two valid names would count as two tasks.
TEST(order_inputs, task_name_with_leading_zeros_or_no_job_is_rejected)
{
    for (auto const* other : {"a.00.0.0", "a.0.01.0", "a.0.0.007", ".0.0.0"})
    {
        EXPECT_FALSE(platform::decode_task_name(other)) << other;
    }
}

} // namespace fuchsia::tests::contract::inputs
