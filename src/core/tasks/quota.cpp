#include "core/tasks/quota.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

// Whether the cell could start its next task if its grant were `after`.
bool fits_next_task(quota_document document,
                    std::string const& cell,
                    cell_grant const& after,
                    cell_need const& need,
                    contracts::contract const& contract)
{
    auto wanted = need.in_use;
    wanted.total += need.next_task.total;
    wanted.batch += need.next_task.batch;
    document.cells[cell] = after;
    return covers(scaled_grant(document, cell, contract), wanted);
}

} // namespace

quota_manager::quota_manager(std::uint64_t incarnation, quota_settings settings)
    : writer_(std::to_string(incarnation) + ":"), settings_(settings)
{
}

void quota_manager::set_need(std::string const& customer,
                             std::string const& cell,
                             cell_need const& need)
{
    accounts_[customer].needs[cell] = need;
}

void quota_manager::drop_cell(std::string const& cell)
{
    for (auto& [customer, entry] : accounts_)
    {
        entry.needs.erase(cell);
    }
}

void quota_manager::refresh()
{
    for (auto& [customer, entry] : accounts_)
    {
        entry.loaded = false;
        entry.next_call_at = {};
    }
}

allowance quota_manager::allowed(std::string const& customer,
                                 std::string const& cell,
                                 contracts::contract const& contract) const
{
    auto const found = accounts_.find(customer);
    if (found == accounts_.end())
    {
        return {};
    }
    auto const& entry = found->second;
    auto const need = entry.needs.find(cell);
    auto const grant = entry.stored.cells.find(cell);
    if (need == entry.needs.end() || grant == entry.stored.cells.end() ||
        grant->second.epoch != need->second.epoch)
    {
        return {};
    }
    auto out = scaled_grant(entry.stored, cell, contract);
    auto const uncertain = entry.uncertain_grants.find(cell);
    if (uncertain != entry.uncertain_grants.end())
    {
        out.total = component_min(out.total, uncertain->second.granted.total);
        out.batch = component_min(out.batch, uncertain->second.granted.batch);
    }
    return out;
}

bool quota_manager::grant_known(std::string const& customer,
                                std::string const& cell) const
{
    auto const found = accounts_.find(customer);
    if (found == accounts_.end())
    {
        return false;
    }
    auto const& entry = found->second;
    auto const need = entry.needs.find(cell);
    auto const grant = entry.stored.cells.find(cell);
    return need != entry.needs.end() && grant != entry.stored.cells.end() &&
           grant->second.epoch == need->second.epoch;
}

void quota_manager::send_read(std::string const& customer,
                              account& entry,
                              store_calls& calls,
                              ports::actions& out)
{
    entry.call_is_write = false;
    entry.call = calls.send(call_owner::quota,
                            customer,
                            ports::store_read{"quota/" + customer},
                            out);
}

// Returns the document that should be written, or nothing if no change is
// needed.
std::optional<quota_document>
quota_manager::next_document(common::time_point now,
                             account& entry,
                             contracts::contract const& contract) const
{
    auto next = entry.stored;
    bool any_shrinks = false;
    bool urgent = !entry.uncertain_grants.empty();
    for (auto const& [cell, need] : entry.needs)
    {
        bool const used = need.requested != allowance{};
        if (!used && next.cells.count(cell) == 0)
        {
            continue;
        }
        auto const before = next.cells[cell];
        auto after = adjust_grant(next, cell, need.requested, contract);
        if (!fits_next_task(next, cell, after, need, contract))
        {
            after.granted.total =
                component_min(before.granted.total, need.in_use.total);
            after.granted.batch =
                component_min(before.granted.batch, need.in_use.batch);
        }
        // A grant is never lowered below what is in use: evictions lower the
        // use first.
        after.granted.total = component_max(
            after.granted.total,
            component_min(need.in_use.total, before.granted.total));
        after.granted.batch = component_max(
            after.granted.batch,
            component_min(need.in_use.batch, before.granted.batch));
        after.epoch = need.epoch;
        bool const shrank = !covers(after.granted, before.granted);
        bool const grew = !covers(before.granted, after.granted);
        any_shrinks = any_shrinks || shrank;
        urgent = urgent || grew || after.epoch != before.epoch;
        next.cells[cell] = after;
        if (!used && need.in_use == allowance{} && after.granted == allowance{})
        {
            next.cells.erase(cell);
        }
    }
    if (!any_shrinks)
    {
        entry.idle_since.reset();
    }
    else if (!entry.idle_since)
    {
        entry.idle_since = now;
    }
    bool const idle =
        entry.idle_since && now - *entry.idle_since >= settings_.idle_timeout;
    return urgent || idle ? std::optional(next) : std::nullopt;
}

void quota_manager::tick(
    common::time_point now,
    std::map<std::string, contracts::contract, std::less<>> const& contracts,
    store_calls& calls,
    ports::actions& out)
{
    for (auto& [customer, entry] : accounts_)
    {
        if (entry.call != 0 || now < entry.next_call_at)
        {
            continue;
        }
        if (!entry.loaded)
        {
            send_read(customer, entry, calls, out);
            continue;
        }
        auto const found = contracts.find(customer);
        contracts::contract const contract =
            found == contracts.end() ? contracts::contract{} : found->second;
        auto next = next_document(now, entry, contract);
        if (next && calls.may_write(now))
        {
            send_write(customer, entry, std::move(*next), calls, out);
        }
        else if (!next && needs_more(entry))
        {
            // The contract is fully granted: read again, in case another cell
            // has returned a part of its grant.
            entry.loaded = false;
            entry.next_call_at = now + settings_.retry_interval;
        }
    }
}

bool quota_manager::needs_more(account const& entry)
{
    for (auto const& [cell, need] : entry.needs)
    {
        auto const grant = entry.stored.cells.find(cell);
        auto const granted = grant == entry.stored.cells.end()
                                 ? allowance{}
                                 : grant->second.granted;
        if (!covers(granted, need.requested))
        {
            return true;
        }
    }
    return false;
}

void quota_manager::send_write(std::string const& customer,
                               account& entry,
                               quota_document next,
                               store_calls& calls,
                               ports::actions& out)
{
    next.writer = writer_ + std::to_string(++write_count_);
    // Until the outcome is known, each cell may use only the smaller of the
    // stored grant and the written one.
    for (auto const& [cell, need] : entry.needs)
    {
        auto const grant = next.cells.find(cell);
        auto const value =
            grant == next.cells.end() ? cell_grant{} : grant->second;
        auto& uncertain =
            entry.uncertain_grants.try_emplace(cell, value).first->second;
        uncertain.granted.total =
            component_min(uncertain.granted.total, value.granted.total);
        uncertain.granted.batch =
            component_min(uncertain.granted.batch, value.granted.batch);
    }
    entry.call_is_write = true;
    entry.idle_since.reset();
    entry.call = calls.send(
        call_owner::quota,
        customer,
        ports::store_write{"quota/" + customer, to_json(next), entry.version},
        out);
    entry.written_document = std::move(next);
}

void quota_manager::accept_document(account& entry,
                                    quota_document document,
                                    std::uint64_t version)
{
    entry.stored = std::move(document);
    entry.version = version;
    entry.loaded = true;
    entry.uncertain_grants.clear();
}

void quota_manager::on_store_reply(common::time_point now,
                                   call_tag const& tag,
                                   ports::store_reply const& reply)
{
    auto const found = accounts_.find(tag.name);
    if (found == accounts_.end() || found->second.call != tag.number)
    {
        return;
    }
    auto& entry = found->second;
    entry.call = 0;
    bool const was_write = std::exchange(entry.call_is_write, false);
    if (was_write && reply.status == ports::store_status::done)
    {
        accept_document(entry, std::move(entry.written_document), reply.index);
        return;
    }
    if (was_write && reply.status == ports::store_status::unavailable)
    {
        entry.next_call_at = now + settings_.retry_interval;
        return;
    }
    if (was_write)
    {
        entry.loaded = false;
        entry.next_call_at = reply.status == ports::store_status::conflict
                                 ? now
                                 : now + settings_.retry_interval;
        return;
    }
    if (reply.status != ports::store_status::done)
    {
        entry.next_call_at = now + settings_.retry_interval;
        return;
    }
    auto const version =
        reply.entries.empty() ? 0 : reply.entries.front().version;
    if (entry.version != 0 && version < entry.version)
    {
        entry.next_call_at = now + settings_.retry_interval;
        return; // Stale read.
    }
    common::failure reason;
    auto document = reply.entries.empty()
                        ? std::optional(quota_document{})
                        : parse_quota(reply.entries.front().value, reason);
    if (!document)
    {
        entry.next_call_at = now + settings_.refresh_interval;
        return;
    }
    if (version == entry.version)
    {
        // A write with an unknown outcome may still be applied. Therefore
        // `uncertain_grants` is kept, and `next_document` gives a new write
        // until the version changes.
        entry.loaded = true;
        return;
    }
    accept_document(entry, std::move(*document), version);
}

} // namespace fuchsia::core::tasks
