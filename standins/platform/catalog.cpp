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

/// Age of the instance's own report: what it said itself, and the time since.
std::string report_age(catalog_entry const& entry, core::common::time_point now)
{
    std::int64_t age = core::common::to_milliseconds(now - entry.registered);
    auto const said = entry.meta.find("report_age_ms");
    if (said != entry.meta.end())
    {
        age += std::strtoll(said->second.c_str(), nullptr, 10);
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
    entry.registered = now;
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
                  [&](auto const& each)
                  {
                      return now - each.second.registered >= settings_.lifetime;
                  });
    if (!pictures_.empty() && now - pictures_.back().taken < picture_interval)
    {
        return;
    }
    pictures_.push_back({now, std::make_shared<picture const>(entries_)});
    while (pictures_.size() > 1 && now - pictures_[1].taken > max_lag)
    {
        pictures_.pop_front();
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
        frozen_picture_ = std::make_shared<picture const>(entries_);
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

std::shared_ptr<catalog::picture const>
catalog::visible(core::common::time_point now) const
{
    if (frozen_)
    {
        return frozen_picture_;
    }
    if (lag_ == core::common::duration{})
    {
        return std::make_shared<picture const>(entries_);
    }
    auto newest = std::make_shared<picture const>();
    for (auto const& each : pictures_)
    {
        if (each.taken <= now - lag_)
        {
            newest = each.what;
        }
    }
    return newest;
}

std::vector<catalog_entry> catalog::list(core::common::time_point now,
                                         std::string_view name) const
{
    std::vector<catalog_entry> listed;
    auto const shown = visible(now);
    for (auto const& [id, entry] : *shown)
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
