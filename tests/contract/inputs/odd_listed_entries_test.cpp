#include "adapters/platform/catalog_client.hpp"
#include "adapters/platform/worker_client.hpp"
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

/// Returns `text` with the value of `key` replaced, which must be its last
/// member.
std::string
replaced(std::string text, std::string const& key, std::string const& value)
{
    auto const start = text.find("\"" + key + "\":") + key.size() + 3;
    auto end = text.find_first_of(",}", start);
    if (text[start] == '{')
    {
        end = text.find('}', start) + 1;
    }
    if (text[start] == '[')
    {
        end = text.find(']', start) + 1;
    }
    return text.replace(start, end - start, value);
}

std::string upstream(std::string const& id)
{
    return R"({"ServiceID":")" + id +
           R"(","Datacenter":"a","ServiceAddress":"10.0.0.9","ServicePort":80,)"
           R"("ServiceMeta":{"state":"live","slots":"4","connections":"9",)"
           R"("slots_in_use":"1","report_age_ms":"5"}})";
}

std::string worker(std::string const& id)
{
    return R"({"id":")" + id +
           R"(","rack":"r","data_centre":"a","millicores":1000,"memory_mb":64,)"
           R"("accelerators":1,"state":"live"})";
}

std::string report(std::string const& id)
{
    return R"({"worker":")" + id +
           R"(","sequence":3,"clock_ms":9,"attempts":[]})";
}

std::string beside_good(std::string const& odd,
                        std::string (*make)(std::string const&))
{
    return "[" + make("first") + "," + odd + "," + make("last") + "]";
}

} // namespace

// Guards against one odd entry of the catalog that hides all upstreams: the
// entry then followed no list any more.
TEST(odd_listed_entries, of_the_catalog_leave_the_other_upstreams)
{
    for (auto const* key : {"ServiceID",
                            "Datacenter",
                            "ServiceAddress",
                            "ServicePort",
                            "ServiceMeta",
                            "slots",
                            "report_age_ms"})
    {
        for (auto const& value : odd_values())
        {
            auto const body =
                beside_good(replaced(upstream("odd"), key, value), upstream);
            failure ignored;
            auto const parsed =
                adapters::platform::parse_upstreams(body, ignored);
            ASSERT_TRUE(parsed) << key << " = " << value.substr(0, 40);
            ASSERT_GE(parsed->size(), 2U) << key << value.substr(0, 40);
            EXPECT_EQ(parsed->front().id, "first");
            EXPECT_EQ(parsed->back().id, "last");
            // A list that leaves out a member tells that it has terminated.
            auto const names = adapters::platform::parse_names(body, ignored);
            EXPECT_EQ(names.has_value(), ignored.code == result_code::ok);
            EXPECT_EQ(names ? names->size() : 3U, 3U);
        }
    }
    for (auto const* port : {"0", "65536", "-1", "65616", "80.5", "\"80\""})
    {
        auto const body = beside_good(
            replaced(upstream("odd"), "ServicePort", port), upstream);
        failure ignored;
        auto const parsed = adapters::platform::parse_upstreams(body, ignored);
        ASSERT_TRUE(parsed) << port;
        EXPECT_EQ(parsed->size(), 2U) << port;
        EXPECT_NE(ignored.code, result_code::ok) << port;
    }
}

// Guards against one odd entry that hides all workers of the platform: the
// planner then followed no list any more.
TEST(odd_listed_entries, of_the_workers_leave_the_others)
{
    for (auto const* key : {"id",
                            "rack",
                            "data_centre",
                            "millicores",
                            "memory_mb",
                            "accelerators",
                            "state"})
    {
        for (auto const& value : odd_values())
        {
            auto const body =
                beside_good(replaced(worker("odd"), key, value), worker);
            failure ignored;
            auto const parsed =
                adapters::platform::parse_workers(body, ignored);
            EXPECT_NE(ignored.code, result_code::ok) << key;
            ASSERT_TRUE(parsed) << key << " = " << value.substr(0, 40);
            ASSERT_EQ(parsed->size(), 2U) << key << value.substr(0, 40);
            EXPECT_EQ(parsed->front().id, "first");
            EXPECT_EQ(parsed->back().id, "last");
        }
    }
}

// Guards against one odd report that hides those of all workers of its rack.
TEST(odd_listed_entries, of_the_reports_leave_the_others)
{
    for (auto const* key : {"worker", "sequence", "clock_ms", "attempts"})
    {
        for (auto const& value : odd_values())
        {
            auto const body =
                beside_good(replaced(report("odd"), key, value), report);
            failure ignored;
            auto const parsed =
                adapters::platform::parse_reports(body, ignored);
            EXPECT_NE(ignored.code, result_code::ok) << key;
            ASSERT_TRUE(parsed) << key << " = " << value.substr(0, 40);
            ASSERT_EQ(parsed->size(), 2U) << key << value.substr(0, 40);
            EXPECT_EQ(parsed->front().worker, "first");
            EXPECT_EQ(parsed->back().worker, "last");
        }
    }
}

// A list that is cut short or followed by other text must not count as whole.
TEST(odd_listed_entries, of_an_incomplete_list_are_not_taken_for_a_whole_one)
{
    for (std::string const body : {"",
                                   "null",
                                   "{}",
                                   "[",
                                   "]",
                                   "[{}",
                                   "[{},",
                                   "[{},]",
                                   "[,]",
                                   "[,{}]",
                                   "[{}{}]",
                                   "[{}]]",
                                   "[{}] x",
                                   "[\"]",
                                   "[\"\\\"]"})
    {
        failure ignored;
        EXPECT_FALSE(adapters::platform::parse_upstreams(body, ignored))
            << body;
        EXPECT_FALSE(adapters::platform::parse_names(body, ignored)) << body;
        EXPECT_FALSE(adapters::platform::parse_workers(body, ignored)) << body;
        EXPECT_FALSE(adapters::platform::parse_reports(body, ignored)) << body;
    }
    for (std::string const body : {"[]", " [ ] ", "\n[\t]\r\n"})
    {
        failure ignored;
        auto const parsed = adapters::platform::parse_upstreams(body, ignored);
        EXPECT_TRUE(parsed && parsed->empty()) << body;
        EXPECT_EQ(ignored.code, result_code::ok) << body;
    }
}

// Guards against an odd row in a policy's answer that hides the other workers.
TEST(odd_listed_entries, of_a_policy_answer_leave_the_other_workers)
{
    for (auto const& value : odd_values())
    {
        bool const readable = value == "1e999" || value == "-1" ||
                              value == "1.5" || value == "null" ||
                              value == "true" || value == "{}" ||
                              value == "[[7]]";
        auto body = R"({"allowed":[["i-1","t"],)" + value;
        body += R"(,["i-2","t"],["i-3",)";
        body += value;
        body += R"(]],"validMs":3000})";
        failure reason;
        auto const answer =
            platform::decode_policy_reply({200, {}, body}, reason);
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

// Guards against a clock that overflows once it is a duration in nanoseconds:
// the worker then seems to be younger than the calls that it answers.
TEST(odd_listed_entries, clock_of_a_worker_fits_a_duration)
{
    for (auto const* value : {"4503599627370496", "9223372036855"})
    {
        failure reason;
        EXPECT_EQ(platform::decode_order_reply(ports::poll_order{},
                                               200,
                                               R"({"running":[],"ended":[],)"
                                               R"("clockMs":)" +
                                                   std::string(value) + "}",
                                               reason)
                      .status,
                  ports::order_status::unclear)
            << value;
    }
    failure reason;
    EXPECT_EQ(platform::decode_order_reply(
                  ports::poll_order{},
                  200,
                  R"({"running":[],"ended":[],"clockMs":1791417529292})",
                  reason)
                  .status,
              ports::order_status::done);
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
