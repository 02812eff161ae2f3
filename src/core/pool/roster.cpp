#include "core/pool/roster.hpp"

#include "core/common/json.hpp"

#include <limits>
#include <utility>

namespace fuchsia::core::pool
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t max_lease_seconds = 86'400;

} // namespace

std::set<std::string> roster_ids::answering() const
{
    auto result = workers;
    for (auto const& id : silent)
    {
        result.erase(id);
    }
    return result;
}

std::uint64_t roster_ids::incarnation_of(std::string const& id) const
{
    auto const found = incarnations.find(id);
    return found == incarnations.end() ? 0 : found->second;
}

// The incarnations stand in a list of their own, in the order of the rows, so
// that an instance of an earlier version can read the rows.
std::string to_json(fleet& workers, roster_ids const& ids)
{
    json::array rows;
    json::array incarnations;
    for (auto const& id : ids.workers)
    {
        auto const& info = workers.find(id)->info;
        rows.push_back(json::array{id,
                                   info.service,
                                   info.remote_endpoint.address,
                                   info.remote_endpoint.port});
        incarnations.emplace_back(ids.incarnation_of(id));
    }
    json::object result{{"workers", std::move(rows)},
                        {"incarnations", std::move(incarnations)}};
    if (!ids.silent.empty())
    {
        result["silent"] = json::array(ids.silent.begin(), ids.silent.end());
    }
    if (!ids.long_leases.empty())
    {
        json::object seconds_left;
        for (auto const& [id, left] : ids.long_leases)
        {
            seconds_left[id] = left.count();
        }
        result["long_leases"] = std::move(seconds_left);
    }
    return json::serialize(result);
}

namespace
{

constexpr std::size_t cells_per_row = 4;

std::string text_of(json::value const& cell)
{
    auto const* const text = cell.if_string();
    return text == nullptr ? std::string() : std::string(*text);
}

std::optional<ports::pool_worker> parse_worker(json::value const& row)
{
    auto const* const cells = row.if_array();
    if (cells == nullptr || cells->size() != cells_per_row)
    {
        return std::nullopt;
    }
    ports::pool_worker result;
    result.id = text_of((*cells)[0]);
    result.service = text_of((*cells)[1]);
    result.remote_endpoint.address = text_of((*cells)[2]);
    auto const* const port = (*cells)[3].if_int64();
    bool const port_valid = port != nullptr && *port > 0 &&
                            *port <= std::numeric_limits<std::uint16_t>::max();
    if (!port_valid || result.id.empty() ||
        result.remote_endpoint.address.empty())
    {
        return std::nullopt;
    }
    result.remote_endpoint.port = static_cast<std::uint16_t>(*port);
    return result;
}

// Returns the incarnation of the row `index`; 0 if it can't be read or is
// unknown, as in a record of an earlier version.
std::uint64_t incarnation_at(json::object const& roster, std::size_t index)
{
    auto const* const found = roster.if_contains("incarnations");
    auto const* const list = found != nullptr ? found->if_array() : nullptr;
    auto const* const number = list != nullptr && index < list->size()
                                   ? (*list)[index].if_int64()
                                   : nullptr;
    return number != nullptr && *number > 0
               ? static_cast<std::uint64_t>(*number)
               : 0;
}

} // namespace

// Rows that can't be parsed are skipped, because they name no worker to poll.
std::vector<ports::pool_worker> parse_roster(std::string_view text,
                                             common::failure& reason)
{
    std::vector<ports::pool_worker> result;
    auto const object = common::parse_json_object(text, "roster", reason);
    if (!object)
    {
        return result;
    }
    common::json_reader reader(*object, "roster");
    auto const* rows = reader.array("workers");
    for (std::size_t index = 0; rows != nullptr && index < rows->size();
         ++index)
    {
        if (auto parsed = parse_worker((*rows)[index]))
        {
            parsed->incarnation = incarnation_at(*object, index);
            result.push_back(std::move(*parsed));
            continue;
        }
        reader.fail(common::result_code::wrong_type,
                    "workers",
                    "row " + std::to_string(index) +
                        " does not describe a worker");
    }
    if (!reader.ok())
    {
        reason = reader.reason();
    }
    return result;
}

std::set<std::string> parse_silent_workers(std::string_view text)
{
    common::failure reason;
    auto const object = common::parse_json_object(text, "roster", reason);
    auto const* const cells = object && object->contains("silent")
                                  ? object->at("silent").if_array()
                                  : nullptr;
    std::set<std::string> result;
    for (std::size_t index = 0; cells != nullptr && index < cells->size();
         ++index)
    {
        if (auto const* const id = (*cells)[index].if_string())
        {
            result.emplace(*id);
        }
    }
    return result;
}

std::map<std::string, std::chrono::seconds>
parse_long_leases(std::string_view text)
{
    common::failure reason;
    auto const object = common::parse_json_object(text, "roster", reason);
    auto const* const rows = object && object->contains("long_leases")
                                 ? object->at("long_leases").if_object()
                                 : nullptr;
    std::map<std::string, std::chrono::seconds> result;
    if (rows == nullptr)
    {
        return result;
    }
    for (auto const& row : *rows)
    {
        auto const* const left = row.value().if_int64();
        if (left != nullptr && *left > 0 && *left <= max_lease_seconds)
        {
            result.emplace(row.key(), *left);
        }
    }
    return result;
}

} // namespace fuchsia::core::pool
