#include "core/pool/claim_holder.hpp"

#include "core/common/json.hpp"

namespace fuchsia::core::pool
{

namespace json = boost::json;

namespace
{

constexpr double largest_size = 1e6;

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
    common::json_reader in(*object, "holder");
    claim_holder made;
    made.instance = in.text("instance");
    made.size = in.number_or("size", 0, 0, largest_size);
    if (made.instance.empty() || made.size <= 0)
    {
        in.fail(common::result_code::wrong_type,
                "size",
                "an instance and a size above 0 are needed");
    }
    if (!in.ok())
    {
        reason = in.reason();
        return std::nullopt;
    }
    return made;
}

} // namespace fuchsia::core::pool
