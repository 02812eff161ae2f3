#include "core/config/follower.hpp"

#include <algorithm>
#include <utility>

// Reads of the documents of a newer index, which is applied once all documents
// have been read.
namespace fuchsia::core::config
{

namespace
{

/// Maximum number of missing documents that are read one by one. Above it, one
/// list call reads all documents; after a start this replaces one call for each
/// customer.
constexpr std::size_t max_single_reads = 3;

} // namespace

void configuration_follower::send_missing(common::time_point now,
                                          ports::actions& out)
{
    auto const customers = missing_customers();
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
                                         common::time_point sent_at,
                                         index_document index,
                                         ports::actions& out)
{
    fetch next;
    next.index_sent_at = sent_at;
    next.retry_at = now + settings_.retry_interval;
    for (auto const& [customer, entry] : index.contracts)
    {
        if (entry.withdrawn)
        {
            continue;
        }
        auto const applied = current_.contract_revisions.find(customer);
        if (applied != current_.contract_revisions.end() &&
            applied->second == entry.revision)
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
    apply_if_complete(out);
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
    for (auto const& customer : missing_customers())
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
            log_refusal(now,
                        key,
                        {common::result_code::not_found,
                         key,
                         "the index refers to a document that the store lacks"},
                        out);
            continue;
        }
        accept_document(now, customer, *found->second, out);
    }
    apply_if_complete(out);
}

void configuration_follower::accept_document(common::time_point now,
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
        log_refusal(now, std::string(contracts_prefix) + customer, reason, out);
        return;
    }
    fetch_->loaded.insert_or_assign(customer, std::move(*contract));
}

std::vector<std::string> configuration_follower::missing_customers() const
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

void configuration_follower::apply_if_complete(ports::actions& out)
{
    if (!fetch_ || !missing_customers().empty())
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
    auto const sent_at = fetch_->index_sent_at;
    fetch_.reset();
    apply(std::move(newer), "store", out);
    confirmed_at_ = std::max(confirmed_at_, sent_at);
}

} // namespace fuchsia::core::config
