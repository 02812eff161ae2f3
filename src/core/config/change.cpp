#include "core/config/change.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsia::core::config
{

namespace
{

struct last_change_visitor
{
    index_document const& index;

    std::uint64_t operator()(put_contract const& put) const
    {
        return contract_change_revision(put.value.customer);
    }

    std::uint64_t operator()(withdraw_contract const& withdraw) const
    {
        return contract_change_revision(withdraw.customer);
    }

    std::uint64_t operator()(set_data_centre const& set) const
    {
        auto const found = index.data_centres.find(set.name);
        return found == index.data_centres.end() ? 0 : found->second.revision;
    }

    std::uint64_t contract_change_revision(std::string const& customer) const
    {
        auto const found = index.contracts.find(customer);
        return found == index.contracts.end() ? 0 : found->second.revision;
    }
};

/// Erases the customers withdrawn longest ago, beyond `max_withdrawn`.
void erase_oldest_withdrawn(index_document& index)
{
    std::vector<std::pair<std::uint64_t, std::string>> withdrawn;
    for (auto const& [customer, entry] : index.contracts)
    {
        if (entry.withdrawn)
        {
            withdrawn.emplace_back(entry.revision, customer);
        }
    }
    std::sort(withdrawn.begin(), withdrawn.end());
    for (std::size_t i = 0; i + max_withdrawn < withdrawn.size(); ++i)
    {
        index.contracts.erase(withdrawn[i].second);
    }
}

struct index_change_visitor
{
    index_document& index;
    std::string const& write_id;
    common::failure& reason;

    bool operator()(put_contract const& put) const
    {
        auto const& customer = put.value.customer;
        index.contracts[customer] = {
            index.revision, false, document_name(index.revision, write_id)};
        auto const count = std::count_if(index.contracts.begin(),
                                         index.contracts.end(),
                                         [](auto const& pair)
                                         {
                                             return !pair.second.withdrawn;
                                         });
        if (static_cast<std::size_t>(count) > max_contracts)
        {
            reason = {common::result_code::out_of_range,
                      "contracts",
                      "more than " + std::to_string(max_contracts)};
            return false;
        }
        return true;
    }

    bool operator()(withdraw_contract const& withdraw) const
    {
        auto const found = index.contracts.find(withdraw.customer);
        if (found == index.contracts.end() || found->second.withdrawn)
        {
            reason = {common::result_code::not_found,
                      withdraw.customer,
                      "this customer has no contract"};
            return false;
        }
        found->second = {index.revision, true, {}};
        erase_oldest_withdrawn(index);
        return true;
    }

    bool operator()(set_data_centre const& set) const
    {
        index.data_centres[set.name] = {index.revision, set.out_of_service};
        if (index.data_centres.size() > max_data_centres)
        {
            reason = {common::result_code::out_of_range,
                      "data_centres",
                      "more than " + std::to_string(max_data_centres)};
            return false;
        }
        return true;
    }
};

struct configuration_change_visitor
{
    configuration& value;

    void operator()(put_contract const& put) const
    {
        auto const& customer = put.value.customer;
        value.contracts.insert_or_assign(customer, put.value);
        value.withdrawn.erase(customer);
        value.contract_revisions[customer] = value.revision;
    }

    void operator()(withdraw_contract const& withdraw) const
    {
        value.contracts.erase(withdraw.customer);
        value.withdrawn.insert(withdraw.customer);
        value.contract_revisions[withdraw.customer] = value.revision;
    }

    void operator()(set_data_centre const& set) const
    {
        value.data_centre_revisions[set.name] = value.revision;
        if (set.out_of_service)
        {
            value.data_centres_out_of_service.insert(set.name);
        }
        else
        {
            value.data_centres_out_of_service.erase(set.name);
        }
    }
};

} // namespace

std::optional<configuration> apply_change(configuration const& before,
                                          change const& requested,
                                          std::uint64_t revision)
{
    if (before.revision + 1 != revision)
    {
        return std::nullopt;
    }
    configuration after = before;
    after.revision = revision;
    std::visit(configuration_change_visitor{after}, requested);
    return after;
}

std::uint64_t last_change_revision(index_document const& index,
                                   change const& requested)
{
    return std::visit(last_change_visitor{index}, requested);
}

bool apply_to_index(index_document& index,
                    std::string const& write_id,
                    change const& requested,
                    common::failure& reason)
{
    return std::visit(index_change_visitor{index, write_id, reason}, requested);
}

} // namespace fuchsia::core::config
