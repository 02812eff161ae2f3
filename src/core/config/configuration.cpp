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

void read_changed_at(common::json_reader& reader, configuration& value)
{
    auto const* object = reader.object("changed_at");
    if (object == nullptr)
    {
        return;
    }
    common::json_reader revisions(*object, "configuration.changed_at");
    for (auto const& member : *object)
    {
        std::string const name = member.key();
        value.changed_at[name] = static_cast<std::uint64_t>(
            revisions.integer(name, 1, max_revision));
    }
    if (!revisions.ok())
    {
        reader.fail(
            revisions.reason().code, "changed_at", revisions.reason().why);
    }
}

/// Every contract and every withdrawal has the revision that brought it, none
/// of which is later than the whole.
bool agrees(configuration const& value)
{
    auto const has_revision = [&value](std::string const& customer)
    {
        auto const found = value.changed_at.find(customer);
        return found != value.changed_at.end() &&
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
           value.changed_at.size() ==
               value.contracts.size() + value.withdrawn.size();
}

} // namespace

std::string to_json(configuration const& value)
{
    boost::json::array contracts;
    for (auto const& [customer, contract] : value.contracts)
    {
        contracts.push_back(boost::json::parse(contracts::to_json(contract)));
    }
    boost::json::object changed_at;
    for (auto const& [customer, revision] : value.changed_at)
    {
        changed_at[customer] = revision;
    }
    boost::json::object const object{
        {"revision", value.revision},
        {"contracts", std::move(contracts)},
        {"withdrawn", to_json_array(value.withdrawn)},
        {"data_centres_out", to_json_array(value.data_centres_out)},
        {"data_centres", to_json_array(value.data_centres)},
        {"changed_at", std::move(changed_at)},
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
    read_changed_at(reader, value);
    value.withdrawn = read_name_set(reader, "withdrawn");
    value.data_centres_out = read_name_set(reader, "data_centres_out");
    value.data_centres = read_name_set(reader, "data_centres");
    if (reader.ok() && !agrees(value))
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
