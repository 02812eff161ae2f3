#include "programs/planner/administration_message.hpp"

#include "core/common/json.hpp"

#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

namespace fuchsia::programs::planner
{

using core::common::failure;
using core::common::result_code;

namespace
{

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty())
    {
        auto const end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
    }
    return parts;
}

/// Decodes percent-encoding; leaves invalid escapes unchanged.
std::string percent_decode(std::string_view text)
{
    std::string result;
    while (!text.empty())
    {
        unsigned byte = 0;
        auto const* const first = text.data() + 1;
        bool const escape =
            text.front() == '%' && text.size() >= 3 &&
            std::from_chars(first, first + 2, byte, 16).ptr == first + 2;
        result += escape ? static_cast<char>(byte) : text.front();
        text.remove_prefix(escape ? 3 : 1);
    }
    return result;
}

} // namespace

std::optional<parsed_target> parse_target(std::string_view target)
{
    auto const query_start = target.find('?');
    std::string_view const path = target.substr(0, query_start);
    if (!path.starts_with("/v1/"))
    {
        return std::nullopt;
    }
    parsed_target parsed;
    for (auto const& part : split(path.substr(4), '/'))
    {
        parsed.path.push_back(percent_decode(part));
    }
    if (query_start != std::string_view::npos)
    {
        for (auto const& item : split(target.substr(query_start + 1), '&'))
        {
            auto const equals = item.find('=');
            auto const value = equals == std::string::npos
                                   ? std::string{}
                                   : item.substr(equals + 1);
            parsed.query.insert_or_assign(item.substr(0, equals), value);
        }
    }
    return parsed;
}

std::optional<std::uint64_t> parse_number(std::string_view text) noexcept
{
    std::uint64_t number = 0;
    auto const* const last = text.data() + text.size();
    auto const [end, error] = std::from_chars(text.data(), last, number);
    bool const valid = error == std::errc{} && end == last;
    return valid ? std::optional(number) : std::nullopt;
}

std::optional<bool> parse_data_centre_state(std::string_view body,
                                            failure& reason)
{
    auto const object =
        core::common::parse_json_object(body, "data_centre", reason);
    if (!object)
    {
        return std::nullopt;
    }
    core::common::json_reader reader(*object, "data_centre");
    reader.allow_only({"state"});
    auto const state = reader.text("state");
    if (reader.ok() && state != "out" && state != "in")
    {
        reader.fail(result_code::out_of_range, "state", "\"out\" or \"in\"");
    }
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    return state == "out";
}

adapters::http::response json_answer(boost::json::object const& body)
{
    return adapters::http::json_response(200, boost::json::serialize(body));
}

adapters::http::response conflict_answer(failure const& reason,
                                         std::uint64_t revision)
{
    auto answer = adapters::http::failure_response(reason);
    failure ignored;
    auto body = core::common::parse_json_object(answer.body, "", ignored);
    if (body)
    {
        (*body)["revision"] = revision;
        answer.body = boost::json::serialize(*body);
    }
    return answer;
}

boost::json::value
confirmed_ms_ago(core::common::time_point now,
                 core::config::configuration_follower const& follower)
{
    auto const confirmed_at = follower.confirmed_at();
    if (confirmed_at == core::common::time_point{})
    {
        return nullptr;
    }
    return core::common::to_milliseconds(now - confirmed_at);
}

} // namespace fuchsia::programs::planner
