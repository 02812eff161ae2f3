#include "core/membership/record.hpp"

#include "core/common/json.hpp"

#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace fuchsia::core::membership
{

namespace
{

constexpr std::size_t max_witnesses = 32;
constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_count = std::numeric_limits<std::int64_t>::max();

std::uint64_t read_hexadecimal(common::json_reader& reader,
                               std::string_view key,
                               std::string const& fallback)
{
    auto const number = from_hexadecimal(reader.text_or(key, fallback));
    if (!number)
    {
        reader.fail(common::result_code::wrong_type,
                    key,
                    "up to 16 hexadecimal digits are expected");
        return 0;
    }
    return *number;
}

ports::endpoint read_endpoint(common::json_reader& reader, std::string_view key)
{
    auto const* object = reader.object(key);
    if (object == nullptr)
    {
        return {};
    }
    common::json_reader inner(*object, std::string(key));
    ports::endpoint endpoint;
    endpoint.address = inner.text("address");
    endpoint.port =
        static_cast<std::uint16_t>(inner.integer("port", 0, max_port));
    if (!inner.ok())
    {
        reader.fail(inner.reason().code, key, inner.reason().why);
    }
    return endpoint;
}

std::vector<ports::member_identity> read_witnesses(common::json_reader& reader)
{
    std::vector<ports::member_identity> witnesses;
    auto const* array = reader.array("witnesses");
    if (array == nullptr)
    {
        return witnesses;
    }
    if (array->size() > max_witnesses)
    {
        reader.fail(common::result_code::out_of_range,
                    "witnesses",
                    "more than 32 witnesses");
        return witnesses;
    }
    for (auto const& item : *array)
    {
        auto const witness =
            item.is_string() ? identity_from(item.as_string()) : std::nullopt;
        if (!witness)
        {
            reader.fail(common::result_code::wrong_type,
                        "witnesses",
                        "each witness must be a string name#incarnation");
            return witnesses;
        }
        witnesses.push_back(*witness);
    }
    return witnesses;
}

boost::json::object endpoint_json(ports::endpoint const& endpoint)
{
    return {{"address", endpoint.address}, {"port", endpoint.port}};
}

} // namespace

std::string to_hexadecimal(std::uint64_t number)
{
    std::array<char, 16> digits{};
    auto const end =
        std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
    return {digits.data(), end.ptr};
}

std::optional<std::uint64_t> from_hexadecimal(std::string_view text) noexcept
{
    std::uint64_t number = 0;
    auto const end =
        std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (end.ec != std::errc{} || end.ptr != text.data() + text.size())
    {
        return std::nullopt;
    }
    return number;
}

std::string to_text(ports::member_identity const& id)
{
    return id.name + '#' + to_hexadecimal(id.incarnation);
}

std::optional<ports::member_identity> identity_from(std::string_view text)
{
    auto const separator = text.rfind('#');
    if (separator == std::string_view::npos || separator == 0)
    {
        return std::nullopt;
    }
    auto const incarnation = from_hexadecimal(text.substr(separator + 1));
    if (!incarnation)
    {
        return std::nullopt;
    }
    return ports::member_identity{std::string(text.substr(0, separator)),
                                  *incarnation};
}

std::string members_prefix(std::string_view role)
{
    return "members/" + std::string(role) + "/";
}

record make_fenced(record value, std::uint64_t write_id)
{
    value.fenced = true;
    value.write_id = write_id;
    return value;
}

std::optional<record> parse_record(std::string_view role,
                                   std::string_view name,
                                   std::string_view json,
                                   common::failure& reason)
{
    auto const object = common::parse_json_object(json, "member", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader reader(*object, "member");
    record value;
    value.info.role = role;
    value.info.id.name = name;
    value.info.id.incarnation = read_hexadecimal(reader, "incarnation", "");
    value.info.data_centre = reader.text("data_centre");
    value.info.peer_address = read_endpoint(reader, "peer");
    value.info.http_address = read_endpoint(reader, "http");
    value.info.leaving = reader.flag_or("leaving", false);
    value.info.config_revision = static_cast<std::uint64_t>(
        reader.integer_or("config_revision", 0, 0, max_count));
    value.heartbeat_count =
        static_cast<std::uint64_t>(reader.integer_or("beat", 0, 0, max_count));
    value.witnesses = read_witnesses(reader);
    value.fenced = reader.flag_or("buried", false);
    value.successor = read_hexadecimal(reader, "successor", "0");
    value.write_id = read_hexadecimal(reader, "write_id", "");
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    return value;
}

std::string to_json(record const& value)
{
    boost::json::array witnesses;
    for (auto const& witness : value.witnesses)
    {
        witnesses.emplace_back(to_text(witness));
    }
    boost::json::object object{
        {"incarnation", to_hexadecimal(value.info.id.incarnation)},
        {"data_centre", value.info.data_centre},
        {"peer", endpoint_json(value.info.peer_address)},
        {"http", endpoint_json(value.info.http_address)},
        {"beat", value.heartbeat_count},
        {"witnesses", std::move(witnesses)},
        {"config_revision", value.info.config_revision},
        {"write_id", to_hexadecimal(value.write_id)},
    };
    if (value.info.leaving)
    {
        object["leaving"] = true;
    }
    if (value.fenced)
    {
        object["buried"] = true;
    }
    if (value.successor != 0)
    {
        object["successor"] = to_hexadecimal(value.successor);
    }
    return boost::json::serialize(object);
}

} // namespace fuchsia::core::membership
