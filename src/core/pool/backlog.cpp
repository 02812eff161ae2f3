#include "core/pool/backlog.hpp"

#include "core/common/json.hpp"

#include <limits>

namespace fuchsia::core::pool
{

namespace
{

namespace json = boost::json;

constexpr auto max_count = std::numeric_limits<std::int64_t>::max();

} // namespace

std::string to_json(backlog const& value)
{
    json::object waiting;
    for (auto const& [queue, count] : value.waiting)
    {
        waiting[queue] = count;
    }
    return json::serialize(
        json::object{{"heard", value.synced_revision},
                     {"waiting", std::move(waiting)},
                     {"working", value.working_epoch},
                     {"unreached", value.unreached_workers}});
}

std::optional<backlog> parse_backlog(std::string_view text,
                                     common::failure& reason)
{
    auto const object = common::parse_json_object(text, "backlog", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader in(*object, "backlog");
    backlog result;
    result.synced_revision =
        static_cast<std::uint64_t>(in.integer("heard", 0, max_count));
    result.working_epoch =
        static_cast<std::uint64_t>(in.integer_or("working", 0, 0, max_count));
    result.unreached_workers =
        static_cast<std::uint64_t>(in.integer_or("unreached", 0, 0, max_count));
    auto const* const waiting = in.object("waiting");
    if (waiting == nullptr)
    {
        in.fail(common::result_code::missing_key,
                "waiting",
                "the counts of waiting jobs are missing");
    }
    else
    {
        common::json_reader counts(*waiting, "backlog.waiting");
        for (auto const& [queue, count] : *waiting)
        {
            result.waiting[queue] = static_cast<std::uint64_t>(
                counts.integer(std::string_view(queue), 0, max_count));
        }
        if (!counts.ok())
        {
            reason = counts.reason();
            return std::nullopt;
        }
    }
    if (!in.ok())
    {
        reason = in.reason();
        return std::nullopt;
    }
    return result;
}

} // namespace fuchsia::core::pool
