#include "core/pool/claim_holder.hpp"

#include "core/common/json.hpp"

namespace fuchsia::core::pool
{

namespace json = boost::json;

namespace
{

constexpr double max_holder_size = 1e6;

} // namespace

std::string to_json(claim_holder const& value)
{
    return json::serialize(
        json::object{{"instance", value.instance}, {"size", value.size}});
}

std::optional<claim_holder> parse_claim_holder(std::string_view text,
                                               common::failure& reason)
{
    auto const object = common::parse_json_object(text, "holder", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader reader(*object, "holder");
    claim_holder holder;
    holder.instance = reader.text("instance");
    holder.size = reader.number_or("size", 0, 0, max_holder_size);
    if (holder.instance.empty() || holder.size <= 0)
    {
        reader.fail(common::result_code::wrong_type,
                    "size",
                    "an instance name and a size above 0 are required");
    }
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    return holder;
}

} // namespace fuchsia::core::pool
