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

bool read_contracts(boost::json::object const& contracts,
                    index_document& value,
                    common::failure& reason)
{
    for (auto const& member : contracts)
    {
        std::string customer = member.key();
        auto entry =
            read_entry(member.value(), customer, value.revision, reason);
        if (!entry)
        {
            return false;
        }
        value.contracts.emplace(std::move(customer), std::move(*entry));
    }
    return true;
}

bool read_data_centres(boost::json::object const& data_centres,
                       index_document& value,
                       common::failure& reason)
{
    for (auto const& member : data_centres)
    {
        std::string name = member.key();
        std::string const where = "index.data_centres." + name;
        if (!member.value().is_object() || !is_valid_name(name))
        {
            reason = {common::result_code::wrong_type,
                      where,
                      "an object under a plain name is expected"};
            return false;
        }
        common::json_reader reader(member.value().get_object(), where);
        data_centre_entry entry;
        entry.revision = static_cast<std::uint64_t>(reader.integer(
            "revision", 0, static_cast<std::int64_t>(value.revision)));
        entry.out_of_service = reader.flag_or("out", false);
        if (!reader.ok())
        {
            reason = reader.reason();
            return false;
        }
        value.data_centres.emplace(std::move(name), entry);
    }
    return true;
}

void read_recent_writes(common::json_reader& reader, index_document& value)
{
    auto const* array = reader.array("recent_writes");
    if (array == nullptr)
    {
        return;
    }
    for (auto const& item : *array)
    {
        if (!item.is_object())
        {
            reader.fail(common::result_code::wrong_type,
                        "recent_writes",
                        "objects are expected");
            return;
        }
        common::json_reader inner(item.get_object(), "index.recent_writes");
        auto const revision = static_cast<std::uint64_t>(inner.integer(
            "revision", 1, static_cast<std::int64_t>(value.revision)));
        value.recent_writes[revision] = inner.text("write_id");
        if (!inner.ok())
        {
            reader.fail(
                inner.reason().code, "recent_writes", inner.reason().why);
            return;
        }
    }
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
    boost::json::object data_centres;
    for (auto const& [name, entry] : value.data_centres)
    {
        data_centres[name] = {{"revision", entry.revision},
                              {"out", entry.out_of_service}};
    }
    boost::json::array recent_writes;
    for (auto const& [revision, write_id] : value.recent_writes)
    {
        recent_writes.push_back(boost::json::object{{"revision", revision},
                                                    {"write_id", write_id}});
    }
    boost::json::object const object{
        {"revision", value.revision},
        {"contracts", std::move(contracts)},
        {"data_centres", std::move(data_centres)},
        {"recent_writes", std::move(recent_writes)},
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
    read_recent_writes(reader, value);
    auto const* contracts = reader.object("contracts");
    auto const* data_centres = reader.object("data_centres");
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    if (contracts != nullptr && !read_contracts(*contracts, value, reason))
    {
        return std::nullopt;
    }
    if (data_centres != nullptr &&
        !read_data_centres(*data_centres, value, reason))
    {
        return std::nullopt;
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
