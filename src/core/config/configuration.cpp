#include "core/config/configuration.hpp"

#include "core/common/json.hpp"
#include "core/config/name_set.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::config
{

namespace
{

void read_contracts(common::json_reader& reader, configuration& value)
{
    auto const* array = reader.array("contracts");
    if (array == nullptr)
    {
        return;
    }
    for (auto const& item : *array)
    {
        common::failure reason;
        auto contract =
            contracts::parse_contract(boost::json::serialize(item), reason);
        if (!contract)
        {
            reader.fail(reason.code, "contracts", reason.why);
            return;
        }
        auto name = contract->customer;
        value.contracts.insert_or_assign(std::move(name), std::move(*contract));
    }
}

std::map<std::string, std::uint64_t, std::less<>> read_revisions(
    common::json_reader& reader, std::string_view key, std::int64_t min_value)
{
    std::map<std::string, std::uint64_t, std::less<>> revisions;
    auto const* object = reader.object(key);
    if (object == nullptr)
    {
        return revisions;
    }
    common::json_reader inner(*object, "configuration." + std::string(key));
    for (auto const& member : *object)
    {
        std::string const name = member.key();
        if (!is_valid_name(name))
        {
            inner.fail(
                common::result_code::out_of_range, name, "the name is invalid");
        }
        revisions[name] = static_cast<std::uint64_t>(
            inner.integer(name, min_value, max_revision));
    }
    if (!inner.ok())
    {
        reader.fail(inner.reason().code, key, inner.reason().why);
    }
    return revisions;
}

boost::json::object to_json_object(
    std::map<std::string, std::uint64_t, std::less<>> const& revisions)
{
    boost::json::object object;
    for (auto const& [name, revision] : revisions)
    {
        object[name] = revision;
    }
    return object;
}

std::uint64_t find_revision(
    std::map<std::string, std::uint64_t, std::less<>> const& revisions,
    std::string_view name) noexcept
{
    auto const found = revisions.find(name);
    return found == revisions.end() ? 0 : found->second;
}

/// Whether every contract and every withdrawal has a revision that is not above
/// the revision of the configuration, and no other customer has one.
bool is_consistent(configuration const& value)
{
    auto const has_revision = [&value](std::string const& customer)
    {
        auto const found = value.contract_revisions.find(customer);
        return found != value.contract_revisions.end() &&
               found->second <= value.revision;
    };
    bool const contracts = std::all_of(value.contracts.begin(),
                                       value.contracts.end(),
                                       [&](auto const& pair)
                                       {
                                           return has_revision(pair.first);
                                       });
    bool const withdrawn = std::all_of(
        value.withdrawn.begin(),
        value.withdrawn.end(),
        [&](std::string const& customer)
        {
            return has_revision(customer) && !value.contracts.count(customer);
        });
    return contracts && withdrawn &&
           value.contract_revisions.size() ==
               value.contracts.size() + value.withdrawn.size();
}

} // namespace

std::uint64_t contract_revision(configuration const& value,
                                std::string_view customer) noexcept
{
    return find_revision(value.contract_revisions, customer);
}

std::uint64_t data_centre_revision(configuration const& value,
                                   std::string_view data_centre) noexcept
{
    return find_revision(value.data_centre_revisions, data_centre);
}

std::string to_json(configuration const& value)
{
    boost::json::array contracts;
    for (auto const& [customer, contract] : value.contracts)
    {
        contracts.push_back(boost::json::parse(contracts::to_json(contract)));
    }
    boost::json::object const object{
        {"revision", value.revision},
        {"contracts", std::move(contracts)},
        {"withdrawn", to_json_array(value.withdrawn)},
        {"data_centres_out", to_json_array(value.data_centres_out_of_service)},
        {"data_centres", to_json_object(value.data_centre_revisions)},
        {"changed_at", to_json_object(value.contract_revisions)},
    };
    return boost::json::serialize(object);
}

std::optional<configuration> parse_configuration(std::string_view json,
                                                 common::failure& reason)
{
    if (json.size() > max_configuration_bytes)
    {
        reason = {common::result_code::body_too_large,
                  "configuration",
                  "more than 1 MiB"};
        return std::nullopt;
    }
    auto const object =
        common::parse_json_object(json, "configuration", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader reader(*object, "configuration");
    configuration value;
    value.revision =
        static_cast<std::uint64_t>(reader.integer("revision", 1, max_revision));
    read_contracts(reader, value);
    value.contract_revisions = read_revisions(reader, "changed_at", 1);
    value.withdrawn = read_name_set(reader, "withdrawn");
    value.data_centres_out_of_service =
        read_name_set(reader, "data_centres_out");
    value.data_centre_revisions = read_revisions(reader, "data_centres", 0);
    if (reader.ok() && !is_consistent(value))
    {
        reader.fail(common::result_code::inconsistent,
                    "changed_at",
                    "does not name the same customers as the contracts");
    }
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    return value;
}

} // namespace fuchsia::core::config
