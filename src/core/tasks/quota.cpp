#include "core/tasks/quota.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

// Whether the cell could start its next task, were `after` its grant.
bool holds_one_more(quota_document document,
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
    for (auto& [customer, of] : accounts_)
    {
        of.needs.erase(cell);
    }
}

void quota_manager::refresh()
{
    for (auto& [customer, of] : accounts_)
    {
        of.read = false;
        of.next_try = {};
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
    auto const& of = found->second;
    auto const need = of.needs.find(cell);
    auto const grant = of.stored.cells.find(cell);
    if (need == of.needs.end() || grant == of.stored.cells.end() ||
        grant->second.epoch != need->second.epoch)
    {
        return {};
    }
    auto out = scaled_grant(of.stored, cell, contract);
    auto const doubt = of.doubtful.find(cell);
    if (doubt != of.doubtful.end())
    {
        out.total = component_min(out.total, doubt->second.granted.total);
        out.batch = component_min(out.batch, doubt->second.granted.batch);
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
    auto const& of = found->second;
    auto const need = of.needs.find(cell);
    auto const grant = of.stored.cells.find(cell);
    return need != of.needs.end() && grant != of.stored.cells.end() &&
           grant->second.epoch == need->second.epoch;
}

void quota_manager::send_read(std::string const& customer,
                              account& of,
                              store_calls& calls,
                              ports::actions& out)
{
    of.call_writes = false;
    of.call = calls.send(call_owner::quota,
                         customer,
                         ports::store_read{"quota/" + customer},
                         out);
}

// What the document should be; empty where nothing is to be changed.
std::optional<quota_document>
quota_manager::next_document(common::time_point now,
                             account& of,
                             contracts::contract const& contract) const
{
    auto next = of.stored;
    bool shrinks = false;
    bool urgent = !of.doubtful.empty();
    for (auto const& [cell, need] : of.needs)
    {
        bool const used = need.requested != allowance{};
        if (!used && next.cells.count(cell) == 0)
        {
            continue;
        }
        auto const before = next.cells[cell];
        auto after = grow_grant(next, cell, need.requested, contract);
        if (!holds_one_more(next, cell, after, need, contract))
        {
            after.granted.total =
                component_min(before.granted.total, need.in_use.total);
            after.granted.batch =
                component_min(before.granted.batch, need.in_use.batch);
        }
        // Never below what is in use: that is the evictions' business.
        after.granted.total = component_max(
            after.granted.total,
            component_min(need.in_use.total, before.granted.total));
        after.granted.batch = component_max(
            after.granted.batch,
            component_min(need.in_use.batch, before.granted.batch));
        after.epoch = need.epoch;
        bool const less = !covers(after.granted, before.granted);
        bool const more = !covers(before.granted, after.granted);
        shrinks = shrinks || less;
        urgent = urgent || more || after.epoch != before.epoch;
        next.cells[cell] = after;
        if (!used && need.in_use == allowance{} && after.granted == allowance{})
        {
            next.cells.erase(cell);
        }
    }
    if (!shrinks)
    {
        of.idle_since.reset();
    }
    else if (!of.idle_since)
    {
        of.idle_since = now;
    }
    bool const idle =
        of.idle_since && now - *of.idle_since >= settings_.idle_time;
    return urgent || idle ? std::optional(next) : std::nullopt;
}

void quota_manager::tick(
    common::time_point now,
    std::map<std::string, contracts::contract, std::less<>> const& contracts,
    store_calls& calls,
    ports::actions& out)
{
    for (auto& [customer, of] : accounts_)
    {
        if (of.call != 0 || now < of.next_try)
        {
            continue;
        }
        if (!of.read)
        {
            send_read(customer, of, calls, out);
            continue;
        }
        auto const found = contracts.find(customer);
        contracts::contract const contract =
            found == contracts.end() ? contracts::contract{} : found->second;
        auto next = next_document(now, of, contract);
        if (next && calls.may_write(now))
        {
            send_write(customer, of, std::move(*next), calls, out);
        }
        else if (!next && is_short(of))
        {
            // All of the contract is granted: see whether a cell gave back.
            of.read = false;
            of.next_try = now + settings_.retry_interval;
        }
    }
}

bool quota_manager::is_short(account const& of)
{
    for (auto const& [cell, need] : of.needs)
    {
        auto const grant = of.stored.cells.find(cell);
        auto const granted = grant == of.stored.cells.end()
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
                               account& of,
                               quota_document next,
                               store_calls& calls,
                               ports::actions& out)
{
    next.writer = writer_ + std::to_string(++writes_);
    // Until the answer is known each cell counts on the lesser of what stands
    // and what was asked for.
    for (auto const& [cell, need] : of.needs)
    {
        auto const grant = next.cells.find(cell);
        auto const value =
            grant == next.cells.end() ? cell_grant{} : grant->second;
        auto& doubt = of.doubtful.try_emplace(cell, value).first->second;
        doubt.granted.total =
            component_min(doubt.granted.total, value.granted.total);
        doubt.granted.batch =
            component_min(doubt.granted.batch, value.granted.batch);
    }
    of.call_writes = true;
    of.idle_since.reset();
    of.call = calls.send(
        call_owner::quota,
        customer,
        ports::store_write{"quota/" + customer, to_json(next), of.version},
        out);
    of.attempted = std::move(next);
}

void quota_manager::accept_document(account& of,
                                    quota_document document,
                                    std::uint64_t version)
{
    of.stored = std::move(document);
    of.version = version;
    of.read = true;
    of.doubtful.clear();
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
    auto& of = found->second;
    of.call = 0;
    bool const wrote = std::exchange(of.call_writes, false);
    if (wrote && reply.status == ports::store_status::done)
    {
        accept_document(of, std::move(of.attempted), reply.index);
        return;
    }
    if (wrote && reply.status == ports::store_status::unavailable)
    {
        of.next_try = now + settings_.retry_interval;
        return;
    }
    if (wrote)
    {
        of.read = false;
        of.next_try = reply.status == ports::store_status::conflict
                          ? now
                          : now + settings_.retry_interval;
        return;
    }
    if (reply.status != ports::store_status::done)
    {
        of.next_try = now + settings_.retry_interval;
        return;
    }
    auto const version =
        reply.entries.empty() ? 0 : reply.entries.front().version;
    if (of.version != 0 && version < of.version)
    {
        of.next_try = now + settings_.retry_interval;
        return; // A stale read.
    }
    common::failure reason;
    auto document = reply.entries.empty()
                        ? std::optional(quota_document{})
                        : parse_quota(reply.entries.front().value, reason);
    if (!document)
    {
        of.next_try = now + settings_.refresh_interval;
        return;
    }
    if (version == of.version)
    {
        // A write of unknown fate may still come; `doubtful` stays, and
        // `wished` writes again until the version moves.
        of.read = true;
        return;
    }
    accept_document(of, std::move(*document), version);
}

} // namespace fuchsia::core::tasks
