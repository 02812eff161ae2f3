#include "standins/platform/catalog.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fuchsia::standins::platform
{

namespace
{

struct state_row
{
    listed_state state;
    std::string_view name;
};

constexpr std::array<state_row, 3> state_table{{
    {listed_state::live, "live"},
    {listed_state::leaving, "leaving"},
    {listed_state::gone, "gone"},
}};

/// Returns the age of the instance's report in milliseconds: the age that the
/// instance reported plus the time since its registration.
std::string report_age(catalog_entry const& entry, core::common::time_point now)
{
    std::int64_t age = core::common::to_milliseconds(now - entry.registered_at);
    auto const reported = entry.meta.find("report_age_ms");
    if (reported != entry.meta.end())
    {
        age += std::strtoll(reported->second.c_str(), nullptr, 10);
    }
    return std::to_string(age);
}

} // namespace

std::optional<listed_state> listed_state_from(std::string_view name) noexcept
{
    for (auto const& row : state_table)
    {
        if (row.name == name)
        {
            return row.state;
        }
    }
    return std::nullopt;
}

catalog::catalog(catalog_settings settings) : settings_(settings)
{
}

bool catalog::register_entry(core::common::time_point now, catalog_entry entry)
{
    entry.registered_at = now;
    bool const is_new = entries_.find(entry.id) == entries_.end();
    if (is_new && entries_.size() >= settings_.entries)
    {
        return false;
    }
    auto id = entry.id;
    entries_.insert_or_assign(std::move(id), std::move(entry));
    return true;
}

bool catalog::deregister(std::string_view id)
{
    auto const found = entries_.find(id);
    if (found == entries_.end())
    {
        return false;
    }
    entries_.erase(found);
    return true;
}

void catalog::tick(core::common::time_point now)
{
    std::erase_if(entries_,
                  [&](auto const& candidate)
                  {
                      return now - candidate.second.registered_at >=
                             settings_.lifetime;
                  });
    if (!snapshots_.empty() &&
        now - snapshots_.back().taken_at < snapshot_interval)
    {
        return;
    }
    snapshots_.push_back({now, std::make_shared<snapshot const>(entries_)});
    while (snapshots_.size() > 1 && now - snapshots_[1].taken_at > max_lag)
    {
        snapshots_.pop_front();
    }
}

void catalog::set_lag(core::common::duration lag)
{
    lag_ = std::clamp(lag, core::common::duration{}, max_lag);
}

void catalog::set_frozen(bool frozen)
{
    if (frozen && !frozen_)
    {
        frozen_snapshot_ = std::make_shared<snapshot const>(entries_);
    }
    frozen_ = frozen;
}

void catalog::override_state(std::string id, listed_state state)
{
    if (overrides_.size() < settings_.entries || overrides_.contains(id))
    {
        overrides_[std::move(id)] = state;
    }
}

std::shared_ptr<catalog::snapshot const>
catalog::visible(core::common::time_point now) const
{
    if (frozen_)
    {
        return frozen_snapshot_;
    }
    if (lag_ == core::common::duration{})
    {
        return std::make_shared<snapshot const>(entries_);
    }
    auto newest = std::make_shared<snapshot const>();
    for (auto const& candidate : snapshots_)
    {
        if (candidate.taken_at <= now - lag_)
        {
            newest = candidate.content;
        }
    }
    return newest;
}

std::vector<catalog_entry> catalog::list(core::common::time_point now,
                                         std::string_view name) const
{
    std::vector<catalog_entry> listed;
    auto const visible_entries = visible(now);
    for (auto const& [id, entry] : *visible_entries)
    {
        auto const fault = overrides_.find(id);
        bool const overridden = fault != overrides_.end();
        if (entry.name != name ||
            (overridden && fault->second == listed_state::gone))
        {
            continue;
        }
        auto copy = entry;
        copy.meta["report_age_ms"] = report_age(entry, now);
        if (overridden)
        {
            copy.meta["state"] =
                fault->second == listed_state::leaving ? "leaving" : "live";
        }
        listed.push_back(std::move(copy));
    }
    return listed;
}

} // namespace fuchsia::standins::platform
