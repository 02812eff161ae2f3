#include "standins/pool/kv_state.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::standins::pool
{

using core::common::time_point;
using ports::kv_item;
using ports::kv_reply;
using ports::kv_status;

namespace
{

constexpr std::size_t page_items = 500;

kv_reply reply_of(kv_status status, std::uint64_t revision)
{
    kv_reply made;
    made.status = status;
    made.revision = revision;
    return made;
}

} // namespace

std::optional<kv_reply> kv_state::answer(time_point now,
                                         ports::kv_operation const& operation)
{
    expire(now);
    if (auto const* const call = std::get_if<ports::kv_read>(&operation))
    {
        return read(*call);
    }
    if (auto const* const call = std::get_if<ports::kv_range>(&operation))
    {
        return range(*call);
    }
    if (auto const* const call = std::get_if<ports::kv_watch>(&operation))
    {
        return watch(*call);
    }
    if (auto const* const call = std::get_if<ports::kv_commit>(&operation))
    {
        return commit(*call);
    }
    if (auto const* const call = std::get_if<ports::kv_lease_grant>(&operation))
    {
        auto made = reply_of(kv_status::done, revision_);
        made.lease = ++next_lease_;
        leases_[made.lease] = {call->ttl, now + call->ttl};
        return made;
    }
    if (auto const* const call = std::get_if<ports::kv_lease_renew>(&operation))
    {
        auto const found = leases_.find(call->lease);
        if (found == leases_.end())
        {
            return reply_of(kv_status::missing, revision_);
        }
        found->second.until = now + found->second.ttl;
        return reply_of(kv_status::done, revision_);
    }
    end_lease(std::get<ports::kv_lease_revoke>(operation).lease);
    return reply_of(kv_status::done, revision_);
}

void kv_state::expire(time_point now)
{
    std::vector<std::uint64_t> over;
    for (auto const& [id, each] : leases_)
    {
        if (each.until <= now)
        {
            over.push_back(id);
        }
    }
    for (auto const id : over)
    {
        end_lease(id);
    }
}

void kv_state::compact() noexcept
{
    compacted_ = revision_;
    history_.clear();
}

void kv_state::expire_key(std::string const& key)
{
    remove(key);
}

void kv_state::put(std::string const& key, std::string value)
{
    ++revision_;
    store({key, std::move(value), 0});
}

void kv_state::erase(std::string const& key)
{
    remove(key);
}

void kv_state::lose_key(std::string const& key)
{
    items_.erase(key);
    std::erase_if(history_,
                  [&key](kv_item const& each)
                  {
                      return each.key == key;
                  });
}

void kv_state::expire_all_leases()
{
    while (!leases_.empty())
    {
        end_lease(leases_.begin()->first);
    }
}

std::uint64_t kv_state::revision() const noexcept
{
    return revision_;
}

std::optional<kv_item> kv_state::find(std::string const& key) const
{
    auto const found = items_.find(key);
    return found == items_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<time_point> kv_state::next_expiry() const
{
    std::optional<time_point> first;
    for (auto const& [id, each] : leases_)
    {
        first = first ? std::min(*first, each.until) : each.until;
    }
    return first;
}

kv_reply kv_state::range(ports::kv_range const& call) const
{
    auto made = reply_of(kv_status::done, revision_);
    auto const& from = call.after.empty() ? call.prefix : call.after;
    for (auto each = items_.lower_bound(from);
         each != items_.end() && each->first.starts_with(call.prefix);
         ++each)
    {
        if (each->first == call.after)
        {
            continue;
        }
        if (made.items.size() == page_items)
        {
            made.more = true;
            break;
        }
        made.items.push_back(each->second);
    }
    return made;
}

kv_reply kv_state::read(ports::kv_read const& call) const
{
    auto const& from = call.allow_stale && old_items_ ? *old_items_ : items_;
    auto const found = from.find(call.key);
    if (found == from.end())
    {
        return reply_of(kv_status::missing, revision_);
    }
    auto made = reply_of(kv_status::done, revision_);
    made.items.push_back(found->second);
    return made;
}

void kv_state::freeze_stale_reads()
{
    old_items_ = items_;
}

std::optional<kv_reply> kv_state::watch(ports::kv_watch const& call) const
{
    if (call.after < compacted_)
    {
        return reply_of(kv_status::compacted, revision_);
    }
    auto made = reply_of(kv_status::done, revision_);
    for (auto const& event : history_)
    {
        if (event.revision > call.after && event.key.starts_with(call.prefix))
        {
            made.items.push_back(event);
        }
    }
    return made.items.empty() ? std::nullopt : std::optional(made);
}

kv_reply kv_state::commit(ports::kv_commit const& call)
{
    bool holds = true;
    auto refused = reply_of(kv_status::conflict, revision_);
    for (auto const& each : call.preconditions)
    {
        auto const found = find(each.key);
        holds = holds && (found ? found->revision : 0) == each.revision;
        if (found)
        {
            refused.items.push_back(*found);
        }
    }
    if (!holds)
    {
        return refused;
    }
    for (auto const& each : call.puts)
    {
        if (each.lease != 0 && !leases_.contains(each.lease))
        {
            return reply_of(kv_status::missing, revision_);
        }
    }
    ++revision_;
    for (auto const& each : call.puts)
    {
        store(each);
    }
    for (auto const& key : call.erases)
    {
        if (items_.erase(key) > 0)
        {
            history_.push_back({key, "", revision_, 0, 0, true});
        }
    }
    return reply_of(kv_status::done, revision_);
}

void kv_state::store(ports::kv_put const& put)
{
    auto& item = items_[put.key];
    item.key = put.key;
    item.value = put.value;
    item.lease = put.lease;
    item.revision = revision_;
    item.create_revision =
        item.create_revision == 0 ? revision_ : item.create_revision;
    history_.push_back(item);
}

void kv_state::remove(std::string const& key)
{
    if (items_.erase(key) > 0)
    {
        ++revision_;
        history_.push_back({key, "", revision_, 0, 0, true});
    }
}

void kv_state::end_lease(std::uint64_t id)
{
    leases_.erase(id);
    std::vector<std::string> gone;
    for (auto const& [key, item] : items_)
    {
        if (item.lease == id)
        {
            gone.push_back(key);
        }
    }
    for (auto const& key : gone)
    {
        remove(key);
    }
}

} // namespace fuchsia::standins::pool
