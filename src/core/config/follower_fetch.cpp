#include "core/config/follower.hpp"

#include <algorithm>
#include <utility>

// A newer index, whose documents are read before it is applied as a whole.
namespace fuchsia::core::config
{

namespace
{

/// With more documents missing than this, one list call reads them all; after
/// a start that is one call in place of one for each customer.
constexpr std::size_t max_single_reads = 3;

} // namespace

void configuration_follower::send_missing(common::time_point now,
                                          ports::actions& out)
{
    auto const customers = missing();
    if (customers.size() > max_single_reads)
    {
        if (!in_flight(call_kind::list))
        {
            send(now,
                 {call_kind::list, {}, {}, {}},
                 ports::store_list{std::string(contracts_prefix)},
                 out);
        }
        return;
    }
    for (auto const& customer : customers)
    {
        auto const& entry = fetch_->index.contracts.at(customer);
        std::string key = document_key(customer, entry.document);
        if (!in_flight(key))
        {
            send(now,
                 {call_kind::document, {}, customer, key},
                 ports::store_read{key},
                 out);
        }
    }
}

void configuration_follower::begin_fetch(common::time_point now,
                                         common::time_point sent,
                                         index_document index,
                                         ports::actions& out)
{
    fetch next;
    next.index_sent = sent;
    next.retry_at = now + settings_.retry_interval;
    for (auto const& [customer, entry] : index.contracts)
    {
        if (entry.withdrawn)
        {
            continue;
        }
        auto const known = current_.contract_revisions.find(customer);
        if (known != current_.contract_revisions.end() &&
            known->second == entry.revision)
        {
            next.loaded.emplace(customer, current_.contracts.at(customer));
            continue;
        }
        if (fetch_ && fetch_->index.contracts.count(customer) != 0 &&
            fetch_->index.contracts.at(customer) == entry &&
            fetch_->loaded.count(customer) != 0)
        {
            next.loaded.emplace(customer, fetch_->loaded.at(customer));
        }
    }
    next.index = std::move(index);
    fetch_ = std::move(next);
    apply_if_whole(out);
    if (fetch_)
    {
        send_missing(now, out);
    }
}

void configuration_follower::on_documents(common::time_point now,
                                          pending_call const& call,
                                          ports::store_reply const& reply,
                                          ports::actions& out)
{
    if (!fetch_)
    {
        return;
    }
    fetch_->retry_at = now + settings_.retry_interval;
    if (reply.status != ports::store_status::done)
    {
        return;
    }
    std::map<std::string_view, std::string const*> texts;
    for (auto const& entry : reply.entries)
    {
        texts.emplace(entry.key, &entry.value);
    }
    for (auto const& customer : missing())
    {
        auto const key = document_key(
            customer, fetch_->index.contracts.at(customer).document);
        if (call.kind == call_kind::document && call.key != key)
        {
            continue;
        }
        auto const found = texts.find(key);
        if (found == texts.end())
        {
            refuse(now,
                   key,
                   {common::result_code::not_found,
                    key,
                    "the index names a document that the store lacks"},
                   out);
            continue;
        }
        take_document(now, customer, *found->second, out);
    }
    apply_if_whole(out);
}

void configuration_follower::take_document(common::time_point now,
                                           std::string const& customer,
                                           std::string const& text,
                                           ports::actions& out)
{
    common::failure reason;
    auto contract = contracts::parse_contract(text, reason);
    if (contract && contract->customer != customer)
    {
        reason = {common::result_code::inconsistent,
                  "contract.customer",
                  "the contract is " + contract->customer + "'s"};
        contract.reset();
    }
    if (!contract)
    {
        refuse(now, std::string(contracts_prefix) + customer, reason, out);
        return;
    }
    fetch_->loaded.insert_or_assign(customer, std::move(*contract));
}

std::vector<std::string> configuration_follower::missing() const
{
    std::vector<std::string> customers;
    for (auto const& [customer, entry] : fetch_->index.contracts)
    {
        if (!entry.withdrawn && fetch_->loaded.count(customer) == 0)
        {
            customers.push_back(customer);
        }
    }
    return customers;
}

void configuration_follower::apply_if_whole(ports::actions& out)
{
    if (!fetch_ || !missing().empty())
    {
        return;
    }
    configuration newer;
    newer.revision = fetch_->index.revision;
    for (auto const& [name, entry] : fetch_->index.data_centres)
    {
        newer.data_centre_revisions[name] = entry.revision;
        if (entry.out_of_service)
        {
            newer.data_centres_out_of_service.insert(name);
        }
    }
    newer.contracts = std::move(fetch_->loaded);
    for (auto const& [customer, entry] : fetch_->index.contracts)
    {
        newer.contract_revisions[customer] = entry.revision;
        if (entry.withdrawn)
        {
            newer.withdrawn.insert(customer);
        }
    }
    auto const sent = fetch_->index_sent;
    fetch_.reset();
    apply(std::move(newer), "store", out);
    confirmed_at_ = std::max(confirmed_at_, sent);
}

} // namespace fuchsia::core::config
