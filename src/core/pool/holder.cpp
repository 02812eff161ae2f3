#include "core/pool/holder.hpp"

#include "core/common/json.hpp"

namespace fuchsia::core::pool
{

namespace json = boost::json;

std::string to_json(holder const& value)
{
    return json::serialize(
        json::object{{"instance", value.instance}, {"size", value.size}});
}

std::optional<holder> parse_holder(std::string_view text,
                                   common::failure& reason)
{
    auto const object = common::parse_json_object(text, "holder", reason);
    if (!object)
    {
        return std::nullopt;
    }
    auto const* const instance = object->if_contains("instance");
    auto const* const size = object->if_contains("size");
    if (instance == nullptr || !instance->is_string() || size == nullptr ||
        !size->is_number())
    {
        reason = {common::result_code::wrong_type,
                  "holder",
                  "needs an instance and a size"};
        return std::nullopt;
    }
    return holder{std::string(instance->get_string()),
                  size->to_number<double>()};
}

} // namespace fuchsia::core::pool
