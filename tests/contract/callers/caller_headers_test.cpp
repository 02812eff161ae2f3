#include "adapters/callers/caller_headers.hpp"

#include <gtest/gtest.h>
#include <vector>

using namespace fuchsia;
using namespace std::chrono_literals;
using adapters::callers::parse_caller_request;
using adapters::callers::to_response;
using core::common::outcome;
using core::common::result_code;

namespace
{

adapters::http::request message(std::vector<ports::header> headers)
{
    adapters::http::request request;
    request.method = "POST";
    request.target = "/bids?lot=7";
    request.headers = std::move(headers);
    request.body = "bid";
    return request;
}

std::string value_of(adapters::http::response const& answer,
                     std::string_view name)
{
    return std::string(answer.header(name).value_or("absent"));
}

} // namespace

TEST(caller_headers, reads_all_that_the_interface_names)
{
    auto sent = message({{"fuchsia-customer", "estate-owners"},
                         {"Fuchsia-Class", "batch"},
                         {"Fuchsia-Deadline-Ms", "250"},
                         {"Idempotency-Key", "bid-1"},
                         {"Fuchsia-Attempt", "2"},
                         {"Connection", "keep-alive"},
                         {"X-Lot", "7"}});
    core::common::failure reason;
    auto const request = parse_caller_request(sent, reason);
    ASSERT_TRUE(request) << to_string(reason);
    EXPECT_EQ(request->customer, "estate-owners");
    EXPECT_EQ(request->kind, ports::request_class::batch);
    EXPECT_EQ(request->deadline, 250ms);
    EXPECT_EQ(request->idempotency_key, "bid-1");
    EXPECT_EQ(request->attempt, 2U);
    EXPECT_EQ(request->target, "/bids?lot=7");
    EXPECT_EQ(request->body, "bid");
    // All but "Connection", which belongs to the caller's connection alone.
    EXPECT_EQ(request->headers.size(), 6U);
}

TEST(caller_headers, defaults_where_the_caller_says_nothing)
{
    auto sent = message({{"Fuchsia-Customer", "c"}});
    core::common::failure reason;
    auto const request = parse_caller_request(sent, reason);
    ASSERT_TRUE(request) << to_string(reason);
    EXPECT_EQ(request->kind, ports::request_class::latency_critical);
    EXPECT_EQ(request->deadline, 0ms);
    EXPECT_EQ(request->attempt, 0U);
}

// A caller writes a header wrong. It is told which one, and nothing runs.
TEST(caller_headers, each_malformed_header_is_refused_by_name)
{
    struct fault
    {
        std::string name;
        std::string value;
    };
    std::vector<fault> const faults{
        {"Fuchsia-Customer", ""},
        {"Fuchsia-Customer", std::string(65, 'c')},
        {"Fuchsia-Class", "urgent"},
        {"Fuchsia-Deadline-Ms", "0"},
        {"Fuchsia-Deadline-Ms", "3600001"},
        {"Fuchsia-Deadline-Ms", "12x"},
        {"Fuchsia-Deadline-Ms", "-5"},
        {"Fuchsia-Deadline-Ms", "99999999999999999999"},
        {"Idempotency-Key", ""},
        {"Idempotency-Key", "a b"},
        {"Idempotency-Key", std::string(129, 'k')},
        {"Fuchsia-Attempt", "0"},
        {"Fuchsia-Attempt", "first"},
    };
    for (auto const& fault : faults)
    {
        auto sent = fault.name == "Fuchsia-Customer"
                        ? message({{fault.name, fault.value}})
                        : message({{"Fuchsia-Customer", "c"},
                                   {fault.name, fault.value}});
        core::common::failure reason;
        EXPECT_FALSE(parse_caller_request(sent, reason)) << fault.value;
        EXPECT_EQ(reason.code, result_code::bad_header);
        EXPECT_EQ(reason.where, fault.name);
    }
}

// Two keys on one request: whichever were taken, the other one's owner would
// know nothing of the run.
TEST(caller_headers, header_that_stands_twice_is_refused)
{
    auto sent = message({{"Fuchsia-Customer", "c"},
                         {"Idempotency-Key", "a"},
                         {"idempotency-key", "b"}});
    core::common::failure reason;
    EXPECT_FALSE(parse_caller_request(sent, reason));
    EXPECT_EQ(reason.where, "Idempotency-Key");
}

TEST(caller_headers, other_methods_are_refused)
{
    auto sent = message({{"Fuchsia-Customer", "c"}});
    sent.method = "PATCH";
    core::common::failure reason;
    EXPECT_FALSE(parse_caller_request(sent, reason));
    EXPECT_EQ(reason.code, result_code::bad_method);
}

TEST(caller_headers, refusal_tells_outcome_code_and_when_to_come_back)
{
    ports::caller_answer answer;
    answer.status = 503;
    answer.code = result_code::no_free_slot;
    answer.outcome = outcome::not_run;
    answer.retry_after = 1200ms;
    auto const shown = to_response(answer);
    EXPECT_EQ(shown.status, 503);
    EXPECT_EQ(value_of(shown, "Fuchsia-Outcome"), "not-run");
    EXPECT_EQ(value_of(shown, "Fuchsia-Code"), "2005 no_free_slot");
    EXPECT_EQ(value_of(shown, "Retry-After"), "2");
    EXPECT_EQ(value_of(shown, "Fuchsia-Retry-After-Ms"), "1200");
}

// An upstream that writes our headers itself must not be taken for us.
TEST(caller_headers, upstream_can_not_speak_for_the_entry)
{
    ports::caller_answer answer;
    answer.status = 200;
    answer.headers = {{"Fuchsia-Outcome", "not-run"}, {"X-Lot", "7"}};
    auto const shown = to_response(answer);
    EXPECT_EQ(shown.headers.size(), 2U);
    EXPECT_EQ(value_of(shown, "Fuchsia-Outcome"), "ran");
    EXPECT_EQ(value_of(shown, "X-Lot"), "7");
}
