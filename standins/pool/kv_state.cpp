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

kv_reply make_reply(kv_status status, std::uint64_t revision)
{
    kv_reply reply;
    reply.status = status;
    reply.revision = revision;
    return reply;
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
        auto reply = make_reply(kv_status::done, revision_);
        reply.lease = ++last_lease_id_;
        leases_[reply.lease] = {call->ttl, now + call->ttl};
        return reply;
    }
    if (auto const* const call = std::get_if<ports::kv_lease_renew>(&operation))
    {
        auto const found = leases_.find(call->lease);
        if (found == leases_.end())
        {
            return make_reply(kv_status::missing, revision_);
        }
        found->second.expires_at = now + found->second.ttl;
        return make_reply(kv_status::done, revision_);
    }
    end_lease(std::get<ports::kv_lease_revoke>(operation).lease);
    return make_reply(kv_status::done, revision_);
}

void kv_state::expire(time_point now)
{
    std::vector<std::uint64_t> expired;
    for (auto const& [id, lease] : leases_)
    {
        if (lease.expires_at <= now)
        {
            expired.push_back(id);
        }
    }
    for (auto const id : expired)
    {
        end_lease(id);
    }
}

void kv_state::compact() noexcept
{
    compacted_revision_ = revision_;
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
                  [&key](kv_item const& event)
                  {
                      return event.key == key;
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
    std::optional<time_point> earliest;
    for (auto const& [id, lease] : leases_)
    {
        earliest =
            earliest ? std::min(*earliest, lease.expires_at) : lease.expires_at;
    }
    return earliest;
}

kv_reply kv_state::range(ports::kv_range const& call) const
{
    auto reply = make_reply(kv_status::done, revision_);
    auto const& start = call.after.empty() ? call.prefix : call.after;
    for (auto it = items_.lower_bound(start);
         it != items_.end() && it->first.starts_with(call.prefix);
         ++it)
    {
        if (it->first == call.after)
        {
            continue;
        }
        if (reply.items.size() == page_items)
        {
            reply.more = true;
            break;
        }
        reply.items.push_back(it->second);
    }
    return reply;
}

kv_reply kv_state::read(ports::kv_read const& call) const
{
    auto const& source =
        call.allow_stale && stale_items_ ? *stale_items_ : items_;
    auto const found = source.find(call.key);
    if (found == source.end())
    {
        return make_reply(kv_status::missing, revision_);
    }
    auto reply = make_reply(kv_status::done, revision_);
    reply.items.push_back(found->second);
    return reply;
}

void kv_state::freeze_stale_reads()
{
    stale_items_ = items_;
}

std::optional<kv_reply> kv_state::watch(ports::kv_watch const& call) const
{
    if (call.after < compacted_revision_)
    {
        return make_reply(kv_status::compacted, revision_);
    }
    auto reply = make_reply(kv_status::done, revision_);
    for (auto const& event : history_)
    {
        if (event.revision > call.after && event.key.starts_with(call.prefix))
        {
            reply.items.push_back(event);
        }
    }
    return reply.items.empty() ? std::nullopt : std::optional(reply);
}

kv_reply kv_state::commit(ports::kv_commit const& call)
{
    bool preconditions_met = true;
    auto conflict_reply = make_reply(kv_status::conflict, revision_);
    for (auto const& precondition : call.preconditions)
    {
        auto const found = find(precondition.key);
        preconditions_met =
            preconditions_met &&
            (found ? found->revision : 0) == precondition.revision;
        if (found)
        {
            conflict_reply.items.push_back(*found);
        }
    }
    if (!preconditions_met)
    {
        return conflict_reply;
    }
    for (auto const& put : call.puts)
    {
        if (put.lease != 0 && !leases_.contains(put.lease))
        {
            return make_reply(kv_status::missing, revision_);
        }
    }
    ++revision_;
    for (auto const& put : call.puts)
    {
        store(put);
    }
    for (auto const& key : call.erases)
    {
        if (items_.erase(key) > 0)
        {
            history_.push_back({key, "", revision_, 0, 0, true});
        }
    }
    return make_reply(kv_status::done, revision_);
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
    std::vector<std::string> keys;
    for (auto const& [key, item] : items_)
    {
        if (item.lease == id)
        {
            keys.push_back(key);
        }
    }
    for (auto const& key : keys)
    {
        remove(key);
    }
}

} // namespace fuchsia::standins::pool
