#include "standins/common/http_messages.hpp"

#include <charconv>

namespace fuchsia::standins
{

namespace
{

std::optional<unsigned> hexadecimal(std::string_view digits)
{
    unsigned value = 0;
    auto const* const end = digits.data() + digits.size();
    constexpr int base = 16;
    auto const result = std::from_chars(digits.data(), end, value, base);
    if (digits.size() != 2 || result.ec != std::errc() || result.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t position = 0; position < text.size(); ++position)
    {
        if (text[position] != '%')
        {
            decoded += text[position];
            continue;
        }
        auto const value = hexadecimal(text.substr(position + 1, 2));
        if (!value)
        {
            return std::nullopt;
        }
        decoded += static_cast<char>(*value);
        position += 2;
    }
    return decoded;
}

bool add_query(request_target& target, std::string_view pair)
{
    auto const equals = pair.find('=');
    auto const key = decode(pair.substr(0, equals));
    auto const value = equals == std::string_view::npos
                           ? std::optional<std::string>("")
                           : decode(pair.substr(equals + 1));
    if (!key || !value)
    {
        return false;
    }
    target.query[*key] = *value;
    return true;
}

} // namespace

std::optional<std::string_view>
request_target::after(std::string_view prefix) const
{
    std::string_view const full_path = path;
    if (!full_path.starts_with(prefix))
    {
        return std::nullopt;
    }
    return full_path.substr(prefix.size());
}

bool request_target::has(std::string_view key) const
{
    return query.find(key) != query.end();
}

std::string_view request_target::text(std::string_view key) const
{
    auto const found = query.find(key);
    return found == query.end() ? std::string_view() : found->second;
}

std::optional<std::uint64_t> request_target::number(std::string_view key) const
{
    return parse_number(text(key));
}

std::optional<request_target> parse_target(std::string_view target)
{
    request_target parsed;
    auto const query_start = target.find('?');
    auto const path = decode(target.substr(0, query_start));
    if (!path)
    {
        return std::nullopt;
    }
    parsed.path = *path;
    if (query_start == std::string_view::npos)
    {
        return parsed;
    }
    target.remove_prefix(query_start + 1);
    while (!target.empty())
    {
        auto const end = target.find('&');
        if (!add_query(parsed, target.substr(0, end)))
        {
            return std::nullopt;
        }
        target.remove_prefix(end == std::string_view::npos ? target.size()
                                                           : end + 1);
    }
    return parsed;
}

std::optional<std::uint64_t> parse_number(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

adapters::http::response plain_response(std::uint16_t status, std::string text)
{
    adapters::http::response message;
    message.status = status;
    message.body = std::move(text);
    return message;
}

adapters::http::response json_response(boost::json::value const& body)
{
    constexpr std::uint16_t ok_status = 200;
    return adapters::http::json_response(ok_status,
                                         boost::json::serialize(body));
}

adapters::http::response error_response(std::uint16_t status,
                                        std::string_view reason)
{
    return adapters::http::json_response(
        status, boost::json::serialize(boost::json::object{{"why", reason}}));
}

adapters::http::response counters_response(std::vector<counter_row> const& rows)
{
    boost::json::object counters;
    for (auto const& row : rows)
    {
        counters[row.name] = row.count;
    }
    return json_response(counters);
}

} // namespace fuchsia::standins
