#include "adapters/callers/caller_headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace fuchsia::adapters::callers
{

namespace
{

namespace http = adapters::http;
using core::common::failure;
using core::common::result_code;

constexpr std::string_view customer_header = "Fuchsia-Customer";
constexpr std::string_view class_header = "Fuchsia-Class";
constexpr std::string_view deadline_header = "Fuchsia-Deadline-Ms";
constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::string_view attempt_header = "Fuchsia-Attempt";
constexpr std::array<std::string_view, 5> own_headers{
    customer_header, class_header, deadline_header, key_header, attempt_header};
/// Headers that the entry itself sets; those in an upstream's response are
/// dropped.
constexpr std::array<std::string_view, 3> answer_headers{
    "Fuchsia-Outcome", "Fuchsia-Code", "Fuchsia-Retry-After-Ms"};

constexpr std::uint64_t max_deadline_ms = 3'600'000;
constexpr std::uint64_t max_attempt = 1'000'000;
constexpr std::size_t max_key_size = 128;
constexpr std::size_t max_customer_size = 64;

bool same_name(std::string_view lhs, std::string_view rhs) noexcept
{
    constexpr char case_bit = 0x20;
    return std::equal(lhs.begin(),
                      lhs.end(),
                      rhs.begin(),
                      rhs.end(),
                      [](char a, char b)
                      {
                          return (a | case_bit) == (b | case_bit);
                      });
}

std::optional<std::uint64_t> number_in(std::optional<std::string_view> text,
                                       std::uint64_t fallback,
                                       std::uint64_t min_value,
                                       std::uint64_t max_value) noexcept
{
    if (!text)
    {
        return fallback;
    }
    std::uint64_t value = 0;
    auto const* end = text->data() + text->size();
    auto const [parsed_end, error] = std::from_chars(text->data(), end, value);
    bool const is_complete = error == std::errc() && parsed_end == end;
    if (!is_complete || value < min_value || value > max_value)
    {
        return std::nullopt;
    }
    return value;
}

bool is_visible(std::string_view text) noexcept
{
    return std::all_of(text.begin(),
                       text.end(),
                       [](char character)
                       {
                           return character > ' ' && character < '\x7f';
                       });
}

failure bad_header(std::string_view name, std::string reason)
{
    return {result_code::bad_header, std::string(name), std::move(reason)};
}

bool is_repeated(http::request const& message, std::string_view name)
{
    return std::count_if(message.headers.begin(),
                         message.headers.end(),
                         [name](ports::header const& header)
                         {
                             return same_name(header.name, name);
                         }) > 1;
}

std::string code_text(result_code code)
{
    return std::to_string(static_cast<unsigned>(code)) + " " +
           std::string(core::common::name_of(code));
}

} // namespace

std::optional<failure> find_header_error(http::request const& message)
{
    constexpr std::array<std::string_view, 4> methods{
        "GET", "POST", "PUT", "DELETE"};
    if (std::find(methods.begin(), methods.end(), message.method) ==
        methods.end())
    {
        return failure{result_code::bad_method,
                       message.method,
                       "GET, POST, PUT or DELETE is expected"};
    }
    for (auto const name : own_headers)
    {
        if (is_repeated(message, name))
        {
            return bad_header(name, "the header stands twice");
        }
    }
    auto const customer = message.header(customer_header);
    if (!customer || customer->empty() || customer->size() > max_customer_size)
    {
        return bad_header(customer_header, "1 to 64 characters are needed");
    }
    auto const class_name = message.header(class_header);
    if (class_name && !ports::request_class_from(*class_name))
    {
        return bad_header(class_header, "latency-critical or batch");
    }
    if (!number_in(message.header(deadline_header), 0, 1, max_deadline_ms))
    {
        return bad_header(deadline_header, "1 to 3600000 milliseconds");
    }
    auto const key = message.header(key_header);
    if (key &&
        (key->empty() || key->size() > max_key_size || !is_visible(*key)))
    {
        return bad_header(key_header, "1 to 128 visible characters");
    }
    if (!number_in(message.header(attempt_header), 0, 1, max_attempt))
    {
        return bad_header(attempt_header, "a number from 1");
    }
    return std::nullopt;
}

std::optional<ports::caller_request>
parse_caller_request(http::request& message, failure& reason)
{
    if (auto fault = find_header_error(message))
    {
        reason = std::move(*fault);
        return std::nullopt;
    }
    ports::caller_request request;
    request.customer = *message.header(customer_header);
    auto const class_name = message.header(class_header);
    if (class_name)
    {
        request.kind = *ports::request_class_from(*class_name);
    }
    request.deadline = std::chrono::milliseconds(
        *number_in(message.header(deadline_header), 0, 1, max_deadline_ms));
    request.idempotency_key = message.header(key_header).value_or("");
    request.attempt = static_cast<std::uint32_t>(
        *number_in(message.header(attempt_header), 0, 1, max_attempt));
    request.method = std::move(message.method);
    request.target = std::move(message.target);
    for (auto& header : message.headers)
    {
        if (!http::is_hop_by_hop(header.name))
        {
            request.headers.push_back(std::move(header));
        }
    }
    request.body = std::move(message.body);
    return request;
}

http::response to_response(ports::caller_answer answer)
{
    http::response response;
    response.status = answer.status;
    for (auto& header : answer.headers)
    {
        bool const is_reserved =
            std::any_of(answer_headers.begin(),
                        answer_headers.end(),
                        [&header](std::string_view name)
                        {
                            return same_name(header.name, name);
                        });
        if (!is_reserved && !http::is_hop_by_hop(header.name))
        {
            response.headers.push_back(std::move(header));
        }
    }
    response.headers.push_back(
        {"Fuchsia-Outcome",
         std::string(core::common::name_of(answer.outcome))});
    if (answer.outcome != core::common::outcome::ran)
    {
        response.headers.push_back({"Fuchsia-Code", code_text(answer.code)});
    }
    auto const wait = core::common::to_milliseconds(answer.retry_after);
    if (wait > 0)
    {
        constexpr std::int64_t second = 1000;
        response.headers.push_back(
            {"Retry-After", std::to_string((wait + second - 1) / second)});
        response.headers.push_back(
            {"Fuchsia-Retry-After-Ms", std::to_string(wait)});
    }
    response.body = std::move(answer.body);
    return response;
}

} // namespace fuchsia::adapters::callers
