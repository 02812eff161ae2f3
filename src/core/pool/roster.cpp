#include "core/pool/roster.hpp"

#include "core/common/json.hpp"

#include <limits>
#include <utility>

namespace fuchsia::core::pool
{

namespace json = boost::json;

std::string to_json(fleet& workers)
{
    json::array rows;
    for (auto const& [id, each] : workers.all())
    {
        rows.push_back(json::array{id,
                                   each.info.service,
                                   each.info.remote_endpoint.address,
                                   each.info.remote_endpoint.port});
    }
    return json::serialize(json::object{{"workers", std::move(rows)}});
}

namespace
{

constexpr std::size_t row_cells = 4;

std::string text_in(json::value const& cell)
{
    auto const* const text = cell.if_string();
    return text == nullptr ? std::string() : std::string(*text);
}

std::optional<ports::pool_worker> worker_from(json::value const& row)
{
    auto const* const cells = row.if_array();
    if (cells == nullptr || cells->size() != row_cells)
    {
        return std::nullopt;
    }
    ports::pool_worker made;
    made.id = text_in((*cells)[0]);
    made.service = text_in((*cells)[1]);
    made.remote_endpoint.address = text_in((*cells)[2]);
    auto const* const port = (*cells)[3].if_int64();
    bool const good = port != nullptr && *port > 0 &&
                      *port <= std::numeric_limits<std::uint16_t>::max();
    if (!good || made.id.empty() || made.remote_endpoint.address.empty())
    {
        return std::nullopt;
    }
    made.remote_endpoint.port = static_cast<std::uint16_t>(*port);
    return made;
}

} // namespace

// Rows that can't be read are passed over: they name no worker to ask.
std::vector<ports::pool_worker> parse_roster(std::string_view text,
                                             common::failure& reason)
{
    std::vector<ports::pool_worker> made;
    auto const object = common::parse_json_object(text, "roster", reason);
    if (!object)
    {
        return made;
    }
    common::json_reader in(*object, "roster");
    auto const* rows = in.array("workers");
    for (std::size_t number = 0; rows != nullptr && number < rows->size();
         ++number)
    {
        if (auto each = worker_from((*rows)[number]))
        {
            made.push_back(std::move(*each));
            continue;
        }
        in.fail(common::result_code::wrong_type,
                "workers",
                "row " + std::to_string(number) + " names no worker");
    }
    if (!in.ok())
    {
        reason = in.reason();
    }
    return made;
}

} // namespace fuchsia::core::pool
