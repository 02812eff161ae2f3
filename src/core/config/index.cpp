#include "core/config/index.hpp"

#include "core/common/json.hpp"
#include "core/config/name_set.hpp"

#include <charconv>
#include <utility>

namespace fuchsia::core::config
{

namespace
{

std::optional<index_entry> read_entry(boost::json::value const& item,
                                      std::string const& customer,
                                      std::uint64_t newest,
                                      common::failure& reason)
{
    std::string const where = "index.contracts." + customer;
    if (!item.is_object())
    {
        reason = {
            common::result_code::wrong_type, where, "an object is expected"};
        return std::nullopt;
    }
    common::json_reader reader(item.get_object(), where);
    index_entry entry;
    entry.revision = static_cast<std::uint64_t>(
        reader.integer("revision", 1, static_cast<std::int64_t>(newest)));
    entry.withdrawn = reader.flag_or("withdrawn", false);
    entry.document = reader.text_or("document", "");
    if (entry.withdrawn != entry.document.empty())
    {
        reader.fail(common::result_code::inconsistent,
                    "document",
                    "a contract has a document unless it is withdrawn");
    }
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    return entry;
}

} // namespace

std::string to_json(index_document const& value)
{
    boost::json::object contracts;
    for (auto const& [customer, entry] : value.contracts)
    {
        boost::json::object item{{"revision", entry.revision}};
        if (entry.withdrawn)
        {
            item["withdrawn"] = true;
        }
        else
        {
            item["document"] = entry.document;
        }
        contracts[customer] = std::move(item);
    }
    boost::json::object const object{
        {"revision", value.revision},
        {"contracts", std::move(contracts)},
        {"data_centres_out", to_json_array(value.data_centres_out)},
        {"data_centres", to_json_array(value.data_centres)},
        {"write_id", value.write_id},
    };
    return boost::json::serialize(object);
}

std::optional<index_document> parse_index(std::string_view json,
                                          common::failure& reason)
{
    auto const object = common::parse_json_object(json, "index", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader reader(*object, "index");
    index_document value;
    value.revision =
        static_cast<std::uint64_t>(reader.integer("revision", 1, max_revision));
    value.write_id = reader.text("write_id");
    value.data_centres_out = read_name_set(reader, "data_centres_out");
    value.data_centres = read_name_set(reader, "data_centres");
    auto const* contracts = reader.object("contracts");
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    if (contracts == nullptr)
    {
        return value;
    }
    for (auto const& member : *contracts)
    {
        std::string customer = member.key();
        auto entry =
            read_entry(member.value(), customer, value.revision, reason);
        if (!entry)
        {
            return std::nullopt;
        }
        value.contracts.emplace(std::move(customer), std::move(*entry));
    }
    return value;
}

std::string document_name(std::uint64_t revision, std::string_view write_id)
{
    return std::to_string(revision) + "-" + std::string(write_id);
}

std::uint64_t revision_of_document(std::string_view document) noexcept
{
    std::uint64_t revision = 0;
    auto const* const first = document.data();
    auto const* const last = first + document.size();
    auto const [end, error] = std::from_chars(first, last, revision);
    return error == std::errc{} && end != last && *end == '-' ? revision : 0;
}

std::string document_key(std::string_view customer, std::string_view document)
{
    std::string key(contracts_prefix);
    key += customer;
    key += '/';
    key += document;
    return key;
}

} // namespace fuchsia::core::config
