#include "core/pool/roster.hpp"

#include "core/common/json.hpp"

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
                                   each.info.where.address,
                                   each.info.where.port});
    }
    return json::serialize(json::object{{"workers", std::move(rows)}});
}

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
        auto const* const cells = (*rows)[number].if_array();
        if (cells == nullptr || cells->size() != 4 || !(*cells)[3].is_int64())
        {
            reason = {common::result_code::wrong_type, "roster", "bad row"};
            continue;
        }
        ports::pool_worker each;
        each.id = std::string((*cells)[0].as_string());
        each.service = std::string((*cells)[1].as_string());
        each.where.address = std::string((*cells)[2].as_string());
        each.where.port = static_cast<std::uint16_t>((*cells)[3].as_int64());
        made.push_back(std::move(each));
    }
    return made;
}

} // namespace fuchsia::core::pool
