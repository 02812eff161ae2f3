#include "core/claims/claim_record.hpp"

#include "core/common/json.hpp"
#include "core/membership/record.hpp"

#include <limits>

namespace fuchsia::core::claims
{

namespace
{

std::uint64_t read_number(common::json_reader& reader,
                          std::string_view key,
                          std::string const& text)
{
    auto const number = membership::from_hexadecimal(text);
    if (!number)
    {
        reader.fail(common::result_code::wrong_type,
                    key,
                    "up to 16 hexadecimal digits are expected");
        return 0;
    }
    return *number;
}

ports::member_identity read_identity_or_none(common::json_reader& reader,
                                             std::string_view key)
{
    std::string const text = reader.text_or(key, "");
    if (text.empty())
    {
        return {};
    }
    auto const id = membership::identity_from(text);
    if (!id)
    {
        reader.fail(common::result_code::wrong_type,
                    key,
                    "name#incarnation is expected");
        return {};
    }
    return *id;
}

} // namespace

std::optional<claim_record> parse_claim_record(std::string_view json,
                                               common::failure& reason)
{
    auto const object = common::parse_json_object(json, "claim", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader reader(*object, "claim");
    claim_record value;
    value.owner.name = reader.text("owner");
    value.owner.incarnation =
        read_number(reader, "incarnation", reader.text("incarnation"));
    value.released_by = read_identity_or_none(reader, "released_by");
    value.handed_to = read_identity_or_none(reader, "handed_to");
    value.epoch = static_cast<std::uint64_t>(
        reader.integer("epoch", 0, std::numeric_limits<std::int64_t>::max()));
    value.write_id = read_number(reader, "write_id", reader.text("write_id"));
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    return value;
}

std::string to_json(claim_record const& value)
{
    boost::json::object object{
        {"owner", value.owner.name},
        {"incarnation", membership::to_hexadecimal(value.owner.incarnation)},
        {"epoch", value.epoch},
        {"write_id", membership::to_hexadecimal(value.write_id)},
    };
    if (!value.released_by.name.empty())
    {
        object["released_by"] = membership::to_text(value.released_by);
    }
    if (!value.handed_to.name.empty())
    {
        object["handed_to"] = membership::to_text(value.handed_to);
    }
    return boost::json::serialize(object);
}

std::string partitions_prefix(std::string_view role)
{
    return "partitions/" + std::string(role) + "/";
}

} // namespace fuchsia::core::claims
