#include "core/claims/claim_view.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::claims
{

claim_view::claim_view(std::string prefix) : prefix_(std::move(prefix))
{
}

void claim_view::set_self(ports::member_identity const& self)
{
    self_ = self;
}

void claim_view::add(std::string const& partition)
{
    if (claims_.size() < max_partitions)
    {
        claims_.try_emplace(partition).first->second.partition = partition;
    }
}

void claim_view::apply_list(ports::store_reply const& reply)
{
    if (reply.index < index_)
    {
        return; // A stale read, older than the state already applied.
    }
    index_ = reply.index;
    loaded_ = true;
    std::set<std::string> listed;
    for (auto const& entry : reply.entries)
    {
        if (entry.key.starts_with(prefix_))
        {
            listed.insert(entry.key.substr(prefix_.size()));
            apply_entry(entry);
        }
    }
    std::vector<std::string> unlisted;
    for (auto const& [partition, current] : claims_)
    {
        if (listed.count(partition) == 0)
        {
            unlisted.push_back(partition);
        }
    }
    for (auto const& partition : unlisted)
    {
        apply_absence(partition, reply.index);
    }
}

void claim_view::apply_read(std::string const& partition,
                            ports::store_reply const& reply)
{
    if (reply.entries.empty())
    {
        apply_absence(partition, reply.index);
        return;
    }
    apply_entry(reply.entries.front());
}

// A record that can't be parsed leaves the claim in its last known state:
// nobody takes the partition over, since a write with the old version fails.
void claim_view::apply_entry(ports::store_entry const& entry)
{
    common::failure reason;
    auto const value = parse_claim_record(entry.value, reason);
    if (value)
    {
        apply_claim(entry.key.substr(prefix_.size()), *value, entry.version);
    }
}

void claim_view::apply_claim(std::string const& partition,
                             claim_record const& value,
                             std::uint64_t version)
{
    add(partition);
    auto const found = claims_.find(partition);
    if (found == claims_.end() || version <= found->second.version)
    {
        return;
    }
    claim const before = std::exchange(found->second,
                                       {partition,
                                        value.owner,
                                        value.epoch,
                                        version,
                                        value.released_by,
                                        value.handed_to});
    record_owner_change(before, found->second);
    if (value.owner != self_)
    {
        releasing_.erase(partition);
    }
}

// A reply older than the write of the key lacks the key as well, so absence
// counts only if the reply's index covers the known version.
void claim_view::apply_absence(std::string const& partition,
                               std::uint64_t index)
{
    auto const found = claims_.find(partition);
    if (found == claims_.end() || found->second.version == 0 ||
        found->second.version > index)
    {
        return;
    }
    claim const before = std::exchange(found->second, {});
    found->second.partition = partition;
    record_owner_change(before, found->second);
    releasing_.erase(partition);
}

void claim_view::record_owner_change(claim const& before, claim const& after)
{
    if (before.owner == after.owner)
    {
        return;
    }
    claim_change change;
    change.current = after;
    change.previous_owner =
        before.owner.name.empty() ? after.released_by : before.owner;
    if (after.owner == self_)
    {
        if (is_releasing(after.partition))
        {
            return; // The release began before the claim was seen here.
        }
        change.kind = claim_change_kind::acquired;
        change.handed_over = !after.released_by.name.empty();
    }
    else if (before.owner == self_)
    {
        change.kind = claim_change_kind::lost;
    }
    changes_.push_back(std::move(change));
}

void claim_view::begin_release(std::string const& partition)
{
    releasing_.insert(partition);
}

bool claim_view::is_releasing(std::string const& partition) const noexcept
{
    return releasing_.count(partition) != 0;
}

void claim_view::record_change(claim_change change)
{
    changes_.push_back(std::move(change));
}

std::vector<claim_change> claim_view::take_changes()
{
    return std::exchange(changes_, {});
}

std::map<std::string, claim> const& claim_view::all() const noexcept
{
    return claims_;
}

claim const* claim_view::find(std::string const& partition) const noexcept
{
    auto const found = claims_.find(partition);
    return found == claims_.end() ? nullptr : &found->second;
}

bool claim_view::names_owner(ports::member_identity const& id) const noexcept
{
    return std::any_of(claims_.begin(),
                       claims_.end(),
                       [&id](auto const& entry)
                       {
                           return entry.second.owner == id;
                       });
}

bool claim_view::is_loaded() const noexcept
{
    return loaded_;
}

std::uint64_t claim_view::index() const noexcept
{
    return index_;
}

} // namespace fuchsia::core::claims
