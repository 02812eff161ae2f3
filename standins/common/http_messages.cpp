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
    auto const read = std::from_chars(digits.data(), end, value, base);
    if (digits.size() != 2 || read.ec != std::errc() || read.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] != '%')
        {
            decoded += text[at];
            continue;
        }
        auto const value = hexadecimal(text.substr(at + 1, 2));
        if (!value)
        {
            return std::nullopt;
        }
        decoded += static_cast<char>(*value);
        at += 2;
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
    std::string_view const whole = path;
    if (!whole.starts_with(prefix))
    {
        return std::nullopt;
    }
    return whole.substr(prefix.size());
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
    auto const mark = target.find('?');
    auto const path = decode(target.substr(0, mark));
    if (!path)
    {
        return std::nullopt;
    }
    parsed.path = *path;
    if (mark == std::string_view::npos)
    {
        return parsed;
    }
    target.remove_prefix(mark + 1);
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
    auto const read = std::from_chars(text.data(), end, value);
    if (text.empty() || read.ec != std::errc() || read.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

adapters::http::response plain_response(std::uint16_t status, std::string text)
{
    adapters::http::response answer;
    answer.status = status;
    answer.body = std::move(text);
    return answer;
}

adapters::http::response json_response(boost::json::value const& body)
{
    constexpr std::uint16_t good = 200;
    return adapters::http::json_response(good, boost::json::serialize(body));
}

adapters::http::response error_response(std::uint16_t status,
                                        std::string_view why)
{
    return adapters::http::json_response(
        status, boost::json::serialize(boost::json::object{{"why", why}}));
}

adapters::http::response counters_response(std::vector<counter_row> const& rows)
{
    boost::json::object books;
    for (auto const& row : rows)
    {
        books[row.name] = row.count;
    }
    return json_response(books);
}

} // namespace fuchsia::standins
