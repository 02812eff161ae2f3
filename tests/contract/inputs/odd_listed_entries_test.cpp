#include "core/tasks/cell_state.hpp"
#include "core/tasks/quota_document.hpp"
#include "platform/order_codec.hpp"
#include "platform/policy_codec.hpp"

#include <array>
#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <vector>

// Odd elements beside good ones in the lists that the platform, the workers and
// the policies give.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;
using core::common::result_code;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Values that no field of a number, a text or a list may have.
std::vector<std::string> odd_values()
{
    return {nested(33),
            nested(1000),
            nested(100'000),
            "1e999",
            "1e99999999999",
            "9223372036854775808",
            "18446744073709551616",
            "-1",
            "1.5",
            "null",
            "true",
            "{}",
            "[[7]]",
            "\"\xff\"",
            R"("\ud800")"};
}

} // namespace

// Guards against an odd row in a policy's answer that hides the other workers.
TEST(odd_listed_entries, of_a_policy_answer_leave_the_other_workers)
{
    for (auto const& value : odd_values())
    {
        bool const readable = value == "1e999" || value == "-1" ||
                              value == "1.5" || value == "null" ||
                              value == "true" || value == "{}" ||
                              value == "[[7]]";
        failure reason;
        auto const answer = platform::decode_policy_reply(
            {200,
             {},
             R"({"allowed":[["i-1","t"],)" + value + R"(,["i-2","t"],["i-3",)" +
                 value + R"(]],"validMs":3000})"},
            reason);
        EXPECT_EQ(answer.answered || reason.code != result_code::ok, true);
        if (readable)
        {
            ASSERT_TRUE(answer.answered) << value;
            EXPECT_EQ(answer.allowed.size(), 2U) << value;
        }
        failure duration_reason;
        EXPECT_FALSE(platform::decode_policy_reply(
                         {200, {}, R"({"allowed":[],"validMs":)" + value + "}"},
                         duration_reason)
                         .answered)
            << value.substr(0, 40);
        EXPECT_NE(duration_reason.code, result_code::ok);
    }
}

// Guards against an odd field in a worker's answer that ends the process or
// counts as an answer.
TEST(odd_listed_entries, of_a_worker_answer_are_no_answer)
{
    constexpr std::array<std::string_view, 3> fields{
        "clockMs", "born", "running"};
    for (auto const field : fields)
    {
        for (auto const& value : odd_values())
        {
            failure reason;
            auto const answer = platform::decode_order_reply(
                ports::poll_order{},
                200,
                R"({"ended":[],")" + std::string(field) + "\":" + value +
                    (field == "running" ? "}" : R"(,"running":[]})"),
                reason);
            EXPECT_EQ(answer.status, ports::order_status::unclear)
                << field << " = " << value.substr(0, 40);
            EXPECT_NE(reason.code, result_code::ok) << field;
        }
    }
}

// Guards against a record of the planner that ends each planner which reads it.
TEST(odd_listed_entries, of_our_own_records_are_refused_with_a_reason)
{
    for (auto const& value : odd_values())
    {
        if (value == "9223372036854775808")
        {
            continue; // The numbers of these records are unsigned.
        }
        for (auto const& text :
             {value,
              R"({"n":)" + value + R"(,"e":1,"sent":0,"jobs":{},"leaving":{}})",
              R"({"n":1,"e":1,"sent":0,"jobs":{"j":)" + value +
                  R"(},"leaving":{}})",
              R"({"n":1,"e":1,"sent":0,"jobs":{"j":{"job":)" + value +
                  R"(,"tasks":{"x":{}}}},"leaving":{}})"})
        {
            failure reason;
            EXPECT_FALSE(core::tasks::parse_cell_state(text, reason))
                << text.substr(0, 80);
            EXPECT_NE(reason.code, result_code::ok) << text.substr(0, 80);
        }
        for (auto const& text : {value,
                                 R"({"w":"a","cells":{"c":)" + value + "}}",
                                 R"({"w":"a","cells":{"c":{"e":)" + value +
                                     R"(,"all":[1,1,1],"batch":[1,1,1]}}})",
                                 R"({"w":"a","cells":{"c":{"e":1,"all":)" +
                                     value + R"(,"batch":[1,1,1]}}})"})
        {
            failure reason;
            EXPECT_FALSE(core::tasks::parse_quota(text, reason))
                << text.substr(0, 80);
            EXPECT_NE(reason.code, result_code::ok) << text.substr(0, 80);
        }
    }
}

} // namespace fuchsia::tests::contract::inputs
