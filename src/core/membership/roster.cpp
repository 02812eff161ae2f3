#include "core/membership/roster.hpp"

#include <utility>

namespace fuchsia::core::membership
{

roster::roster(std::string role) : role_(std::move(role))
{
}

// Only one list is in flight at a time, but a store that answers from a replica
// may return an older state than before (stale read). That state would show
// members that have joined since as removed, and their claims would be taken
// over. So a reply with a lower index is rejected.
bool roster::apply(common::time_point now,
                   common::time_point sent_at,
                   ports::store_reply const& reply,
                   common::failure& reason)
{
    if (reply.index < list_index_ || (known_ && sent_at < list_sent_))
    {
        reason = {common::result_code::conflict,
                  "members",
                  "the list is older than the current one"};
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
    records_by_name updated;
    for (auto const& entry : reply.entries)
    {
        if (!entry.key.starts_with(prefix))
        {
            continue;
        }
        std::string const name = entry.key.substr(prefix.size());
        updated.insert_or_assign(name, read_entry(now, name, entry, reason));
    }
    for (auto& [name, previous] : records_)
    {
        if (previous.version > reply.index)
        {
            updated.try_emplace(name, std::move(previous));
        }
    }
    records_ = std::move(updated);
    list_sent_ = sent_at;
    list_index_ = reply.index;
    known_ = true;
    rebuild_live();
    return true;
}

// A record that cannot be parsed must not look like a removed one, because its
// member may be running. It is kept under its new version as unreadable.
observed_record roster::read_entry(common::time_point now,
                                   std::string const& name,
                                   ports::store_entry const& entry,
                                   common::failure& reason) const
{
    observed_record const* previous = find(name);
    if (previous != nullptr && previous->version >= entry.version)
    {
        return *previous; // Unchanged, or a later own write was confirmed
                          // before.
    }
    observed_record observed;
    observed.version = entry.version;
    observed.version_seen = now;
    observed.incarnation_seen = now;
    observed.successor_seen = now;
    auto value = parse_record(role_, name, entry.value, reason);
    observed.readable = value.has_value();
    if (value)
    {
        observed.value = std::move(*value);
    }
    else
    {
        reason.where = entry.key;
        observed.value.info.role = role_;
        observed.value.info.id.name = name;
    }
    if (previous != nullptr &&
        previous->value.info.id == observed.value.info.id)
    {
        observed.incarnation_seen = previous->incarnation_seen;
        if (previous->value.successor != 0)
        {
            observed.successor_seen = previous->successor_seen;
        }
    }
    return observed;
}

void roster::update_record(common::time_point now,
                           record const& value,
                           std::uint64_t version)
{
    observed_record const* previous = find(value.info.id.name);
    if (previous != nullptr && previous->version >= version)
    {
        return;
    }
    observed_record observed{value, version, now, now, now, true};
    if (previous != nullptr && previous->value.info.id == value.info.id)
    {
        observed.incarnation_seen = previous->incarnation_seen;
        observed.successor_seen = previous->successor_seen;
    }
    records_.insert_or_assign(value.info.id.name, std::move(observed));
    rebuild_live();
}

bool roster::is_loaded() const noexcept
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

observed_record const* roster::find(std::string_view name) const noexcept
{
    auto const it = records_.find(name);
    return it == records_.end() ? nullptr : &it->second;
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
    auto const* observed = find(id.name);
    return observed == nullptr ||
           (observed->readable &&
            (observed->value.info.id != id || observed->value.fenced));
}

void roster::rebuild_live()
{
    live_.clear();
    for (auto const& [name, observed] : records_)
    {
        if (observed.readable && !observed.value.fenced &&
            observed.value.successor == 0)
        {
            live_.push_back(observed.value.info);
        }
    }
}

} // namespace fuchsia::core::membership
