#include "core/membership/roster.hpp"

#include <utility>

namespace fuchsia::core::membership
{

roster::roster(std::string role) : role_(std::move(role))
{
}

// Lists are sent one at a time, but a store that answers from a replica may
// show an older state than it did before. Going back would show members that
// joined since as removed, and their claims would be taken from them, so an
// answer with a lower index is not taken.
bool roster::apply(common::time_point now,
                   common::time_point sent,
                   ports::store_reply const& reply,
                   common::failure& reason)
{
    if (reply.index < list_index_ || (known_ && sent < list_sent_))
    {
        reason = {common::result_code::conflict, "members", "an older list"};
        return false;
    }
    if (reply.entries.size() > max_records)
    {
        reason = {common::result_code::out_of_range,
                  "members",
                  "more than 1024 records"};
        return false;
    }
    std::string const prefix = members_prefix(role_);
    records_by_name fresh;
    for (auto const& entry : reply.entries)
    {
        if (!entry.key.starts_with(prefix))
        {
            continue;
        }
        std::string const name = entry.key.substr(prefix.size());
        fresh.insert_or_assign(name, read_entry(now, name, entry, reason));
    }
    for (auto& [name, before] : records_)
    {
        if (before.version > reply.index)
        {
            fresh.try_emplace(name, std::move(before));
        }
    }
    records_ = std::move(fresh);
    list_sent_ = sent;
    list_index_ = reply.index;
    known_ = true;
    renew_live();
    return true;
}

// A record that can't be parsed must not look like one that was removed: its
// member may be running. What it last said stays, its version moves on.
seen_record roster::read_entry(common::time_point now,
                               std::string const& name,
                               ports::store_entry const& entry,
                               common::failure& reason) const
{
    seen_record const* before = find(name);
    if (before != nullptr && before->version >= entry.version)
    {
        return *before; // A write of ours was answered after this list.
    }
    seen_record seen;
    seen.version = entry.version;
    seen.version_seen = now;
    seen.incarnation_seen = now;
    seen.successor_seen = now;
    auto value = parse_record(role_, name, entry.value, reason);
    seen.readable = value.has_value();
    if (value)
    {
        seen.value = std::move(*value);
    }
    else
    {
        reason.where = entry.key;
        seen.value.info.role = role_;
        seen.value.info.id.name = name;
    }
    if (before != nullptr && before->value.info.id == seen.value.info.id)
    {
        seen.incarnation_seen = before->incarnation_seen;
        if (before->value.successor != 0)
        {
            seen.successor_seen = before->successor_seen;
        }
    }
    return seen;
}

void roster::note(common::time_point now,
                  record const& value,
                  std::uint64_t version)
{
    seen_record const* before = find(value.info.id.name);
    if (before != nullptr && before->version >= version)
    {
        return;
    }
    seen_record seen{value, version, now, now, now, true};
    if (before != nullptr && before->value.info.id == value.info.id)
    {
        seen.incarnation_seen = before->incarnation_seen;
        seen.successor_seen = before->successor_seen;
    }
    records_.insert_or_assign(value.info.id.name, std::move(seen));
    renew_live();
}

bool roster::known() const noexcept
{
    return known_;
}

common::time_point roster::list_sent() const noexcept
{
    return list_sent_;
}

std::uint64_t roster::index() const noexcept
{
    return list_index_;
}

roster::records_by_name const& roster::records() const noexcept
{
    return records_;
}

seen_record const* roster::find(std::string_view name) const noexcept
{
    auto const place = records_.find(name);
    return place == records_.end() ? nullptr : &place->second;
}

std::vector<member_info> const& roster::live() const noexcept
{
    return live_;
}

bool roster::is_fenced(ports::member_identity const& id) const noexcept
{
    if (!known_)
    {
        return false;
    }
    auto const* seen = find(id.name);
    return seen == nullptr || (seen->readable && (seen->value.info.id != id ||
                                                  seen->value.fenced));
}

void roster::renew_live()
{
    live_.clear();
    for (auto const& [name, seen] : records_)
    {
        if (seen.readable && !seen.value.fenced && seen.value.successor == 0)
        {
            live_.push_back(seen.value.info);
        }
    }
}

} // namespace fuchsia::core::membership
