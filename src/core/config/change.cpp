#include "core/config/change.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsia::core::config
{

namespace
{

struct last_change_in
{
    index_document const& index;

    std::uint64_t operator()(put_contract const& put) const
    {
        return of_contract(put.value.customer);
    }

    std::uint64_t operator()(withdraw_contract const& withdraw) const
    {
        return of_contract(withdraw.customer);
    }

    std::uint64_t operator()(set_data_centre const& set) const
    {
        auto const found = index.data_centres.find(set.name);
        return found == index.data_centres.end() ? 0 : found->second.revision;
    }

    std::uint64_t of_contract(std::string const& customer) const
    {
        auto const found = index.contracts.find(customer);
        return found == index.contracts.end() ? 0 : found->second.revision;
    }
};

/// Forgets the customers that were withdrawn longest ago.
void bound_withdrawn(index_document& index)
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
    for (std::size_t at = 0; at + max_withdrawn < withdrawn.size(); ++at)
    {
        index.contracts.erase(withdrawn[at].second);
    }
}

struct make_in
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
                      "no contract stands for this customer"};
            return false;
        }
        found->second = {index.revision, true, {}};
        bound_withdrawn(index);
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

struct apply_to
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
                                          change const& what,
                                          std::uint64_t revision)
{
    if (before.revision + 1 != revision)
    {
        return std::nullopt;
    }
    configuration after = before;
    after.revision = revision;
    std::visit(apply_to{after}, what);
    return after;
}

std::uint64_t last_change_revision(index_document const& index,
                                   change const& what)
{
    return std::visit(last_change_in{index}, what);
}

bool apply_to_index(index_document& index,
                    std::string const& write_id,
                    change const& what,
                    common::failure& reason)
{
    return std::visit(make_in{index, write_id, reason}, what);
}

} // namespace fuchsia::core::config
