#include "core/pool/backlog.hpp"

#include "core/common/json.hpp"

#include <limits>

namespace fuchsia::core::pool
{

namespace
{

namespace json = boost::json;

constexpr auto largest = std::numeric_limits<std::int64_t>::max();

} // namespace

std::string to_json(backlog const& value)
{
    json::object waiting;
    for (auto const& [queue, count] : value.waiting)
    {
        waiting[queue] = count;
    }
    return json::serialize(json::object{{"heard", value.synced_revision},
                                        {"waiting", std::move(waiting)}});
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
    backlog made;
    made.synced_revision =
        static_cast<std::uint64_t>(in.integer("heard", 0, largest));
    auto const* const waiting = in.object("waiting");
    if (waiting == nullptr)
    {
        in.fail(common::result_code::missing_key, "waiting", "has no counts");
    }
    else
    {
        common::json_reader counts(*waiting, "backlog.waiting");
        for (auto const& [queue, count] : *waiting)
        {
            made.waiting[queue] = static_cast<std::uint64_t>(
                counts.integer(std::string_view(queue), 0, largest));
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
    return made;
}

} // namespace fuchsia::core::pool
