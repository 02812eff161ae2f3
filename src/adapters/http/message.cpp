#include "adapters/http/message.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <utility>

namespace fuchsia::adapters::http
{

namespace
{

std::optional<std::string_view>
find_header(std::vector<ports::header> const& headers,
            std::string_view name) noexcept
{
    for (auto const& header : headers)
    {
        if (boost::beast::iequals(header.name, name))
        {
            return header.value;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string_view>
request::header(std::string_view name) const noexcept
{
    return find_header(headers, name);
}

std::optional<std::string_view>
response::header(std::string_view name) const noexcept
{
    return find_header(headers, name);
}

response json_response(std::uint16_t status, std::string body)
{
    response answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = std::move(body);
    return answer;
}

response failure_response(core::common::failure const& reason)
{
    auto const& row = core::common::row_of(reason.code);
    auto const number = static_cast<unsigned>(reason.code);
    boost::json::object body{{"code", number}, {"name", row.name}};
    if (!reason.where.empty())
    {
        body["where"] = reason.where;
    }
    body["why"] = reason.why.empty() ? std::string(row.meaning) : reason.why;
    auto answer = json_response(row.http_status, boost::json::serialize(body));
    answer.headers.push_back(
        {"Fuchsia-Code", std::to_string(number) + " " + std::string(row.name)});
    answer.headers.push_back(
        {"Fuchsia-Outcome",
         std::string(core::common::name_of(row.request_outcome))});
    return answer;
}

bool is_hop_by_hop(std::string_view header_name) noexcept
{
    constexpr std::array<std::string_view, 10> names{"connection",
                                                     "content-length",
                                                     "host",
                                                     "keep-alive",
                                                     "proxy-authenticate",
                                                     "proxy-authorization",
                                                     "te",
                                                     "trailer",
                                                     "transfer-encoding",
                                                     "upgrade"};
    return std::any_of(names.begin(),
                       names.end(),
                       [header_name](std::string_view name)
                       {
                           return boost::beast::iequals(name, header_name);
                       });
}

bool equal_in_constant_time(std::string_view lhs, std::string_view rhs) noexcept
{
    unsigned difference = lhs.size() == rhs.size() ? 0 : 1;
    for (std::size_t index = 0; index < lhs.size(); ++index)
    {
        char const other = rhs.empty() ? '\0' : rhs[index % rhs.size()];
        difference |= static_cast<unsigned char>(lhs[index] ^ other);
    }
    return difference == 0;
}

std::optional<ports::endpoint> parse_endpoint(std::string_view text) noexcept
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    if (address.starts_with('[') && address.ends_with(']'))
    {
        address = address.substr(1, address.size() - 2);
    }
    boost::system::error_code error;
    auto const parsed = boost::asio::ip::make_address(address, error);
    std::uint16_t port = 0;
    auto const* const last = text.data() + text.size();
    auto const end = std::from_chars(text.data() + colon + 1, last, port);
    if (error || end.ec != std::errc() || end.ptr != last)
    {
        return std::nullopt;
    }
    return ports::endpoint{parsed.to_string(), port};
}

std::string to_string(ports::endpoint const& value)
{
    bool const is_ipv6 = value.address.find(':') != std::string::npos;
    std::string const host =
        is_ipv6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

} // namespace fuchsia::adapters::http
