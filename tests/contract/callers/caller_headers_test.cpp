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

adapters::http::request make_message(std::vector<ports::header> headers)
{
    adapters::http::request request;
    request.method = "POST";
    request.target = "/bids?lot=7";
    request.headers = std::move(headers);
    request.body = "bid";
    return request;
}

std::string header_value(adapters::http::response const& answer,
                         std::string_view name)
{
    return std::string(answer.header(name).value_or("absent"));
}

} // namespace

TEST(caller_headers, reads_all_documented_headers)
{
    auto message = make_message({{"fuchsia-customer", "estate-owners"},
                                 {"Fuchsia-Class", "batch"},
                                 {"Fuchsia-Deadline-Ms", "250"},
                                 {"Idempotency-Key", "bid-1"},
                                 {"Fuchsia-Attempt", "2"},
                                 {"Connection", "keep-alive"},
                                 {"X-Lot", "7"}});
    core::common::failure reason;
    auto const request = parse_caller_request(message, reason);
    ASSERT_TRUE(request) << to_string(reason);
    EXPECT_EQ(request->customer, "estate-owners");
    EXPECT_EQ(request->kind, ports::request_class::batch);
    EXPECT_EQ(request->deadline, 250ms);
    EXPECT_EQ(request->idempotency_key, "bid-1");
    EXPECT_EQ(request->attempt, 2U);
    EXPECT_EQ(request->target, "/bids?lot=7");
    EXPECT_EQ(request->body, "bid");
    // "Connection" is a hop-by-hop header and is dropped; the others stay.
    EXPECT_EQ(request->headers.size(), 6U);
}

TEST(caller_headers, uses_defaults_for_missing_headers)
{
    auto message = make_message({{"Fuchsia-Customer", "c"}});
    core::common::failure reason;
    auto const request = parse_caller_request(message, reason);
    ASSERT_TRUE(request) << to_string(reason);
    EXPECT_EQ(request->kind, ports::request_class::latency_critical);
    EXPECT_EQ(request->deadline, 0ms);
    EXPECT_EQ(request->attempt, 0U);
}

// A request with a malformed header must be rejected with the name of the
// header.
TEST(caller_headers, malformed_header_is_rejected_by_name)
{
    struct header_case
    {
        std::string name;
        std::string value;
    };
    std::vector<header_case> const cases{
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
    for (auto const& test_case : cases)
    {
        auto message = test_case.name == "Fuchsia-Customer"
                           ? make_message({{test_case.name, test_case.value}})
                           : make_message({{"Fuchsia-Customer", "c"},
                                           {test_case.name, test_case.value}});
        core::common::failure reason;
        EXPECT_FALSE(parse_caller_request(message, reason)) << test_case.value;
        EXPECT_EQ(reason.code, result_code::bad_header);
        EXPECT_EQ(reason.where, test_case.name);
    }
}

// With two idempotency keys in one request, a run would be recorded under one
// of them and could not be found under the other.
TEST(caller_headers, repeated_header_is_rejected)
{
    auto message = make_message({{"Fuchsia-Customer", "c"},
                                 {"Idempotency-Key", "a"},
                                 {"idempotency-key", "b"}});
    core::common::failure reason;
    EXPECT_FALSE(parse_caller_request(message, reason));
    EXPECT_EQ(reason.where, "Idempotency-Key");
}

TEST(caller_headers, unsupported_method_is_rejected)
{
    auto message = make_message({{"Fuchsia-Customer", "c"}});
    message.method = "PATCH";
    core::common::failure reason;
    EXPECT_FALSE(parse_caller_request(message, reason));
    EXPECT_EQ(reason.code, result_code::bad_method);
}

TEST(caller_headers, rejection_has_outcome_code_and_retry_time)
{
    ports::caller_answer answer;
    answer.status = 503;
    answer.code = result_code::no_free_slot;
    answer.outcome = outcome::not_run;
    answer.retry_after = 1200ms;
    auto const response = to_response(answer);
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(header_value(response, "Fuchsia-Outcome"), "not-run");
    EXPECT_EQ(header_value(response, "Fuchsia-Code"), "2005 no_free_slot");
    EXPECT_EQ(header_value(response, "Retry-After"), "2");
    EXPECT_EQ(header_value(response, "Fuchsia-Retry-After-Ms"), "1200");
}

// An upstream may set the entry's headers itself, and a caller would take a run
// for one that did not happen.
TEST(caller_headers, reserved_headers_of_an_upstream_are_dropped)
{
    ports::caller_answer answer;
    answer.status = 200;
    answer.headers = {{"Fuchsia-Outcome", "not-run"}, {"X-Lot", "7"}};
    auto const response = to_response(answer);
    EXPECT_EQ(response.headers.size(), 2U);
    EXPECT_EQ(header_value(response, "Fuchsia-Outcome"), "ran");
    EXPECT_EQ(header_value(response, "X-Lot"), "7");
}
