#include "core/pool/fleet.hpp"

#include <algorithm>

namespace fuchsia::core::pool
{

std::int64_t worker::idle_cores() const noexcept
{
    auto const others = reserved.millicores - serving_cores;
    return info.capacity.millicores - others - serving_used - best_effort_cores;
}

bool worker::has_capacity_for_two(
    ports::resources const& declared) const noexcept
{
    auto used = reserved;
    used += declared;
    used += declared;
    return info.capacity.covers(used);
}

fleet::fleet(fleet_settings settings) : settings_(settings)
{
}

void fleet::take_list(worker_changes const& seen)
{
    for (auto& [id, known] : workers_)
    {
        known.listed = known.listed && !seen.complete;
    }
    for (auto const& id : seen.removed)
    {
        if (auto* const known = find(id))
        {
            known->listed = false;
        }
    }
    for (auto const& info : seen.present)
    {
        auto& known = workers_[info.id];
        known.info = info;
        known.listed = true;
    }
}

void fleet::add_rostered(ports::pool_worker const& info)
{
    auto& known = workers_[info.id];
    if (known.info.id.empty())
    {
        known.info = info;
    }
    known.rostered = true;
}

void fleet::erase(std::string const& id)
{
    workers_.erase(id);
}

worker* fleet::find(std::string const& id)
{
    auto const found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

std::map<std::string, worker>& fleet::all() noexcept
{
    return workers_;
}

std::map<std::string, worker> const& fleet::all() const noexcept
{
    return workers_;
}

fleet_settings const& fleet::settings() const noexcept
{
    return settings_;
}

bool fleet::quorum(common::time_point oldest) const noexcept
{
    std::size_t asked = 0;
    std::size_t answered = 0;
    for (auto const& [id, each] : workers_)
    {
        asked += each.rostered ? 1U : 0U;
        answered += each.rostered && each.adopted && each.last_contact >= oldest
                        ? 1U
                        : 0U;
    }
    return 2 * answered > asked;
}

std::uint64_t fleet::lease_end(worker const& of,
                               common::time_point now) const noexcept
{
    if (of.clock_ms == 0)
    {
        return 0;
    }
    auto const since = common::to_milliseconds(now - of.clock_received_at);
    auto const lease = common::to_milliseconds(settings_.lease);
    return of.clock_ms + static_cast<std::uint64_t>(since + lease);
}

common::duration fleet::lease_left(worker const& of,
                                   common::time_point now) const noexcept
{
    auto const since = common::to_milliseconds(now - of.clock_received_at);
    auto const left = static_cast<std::int64_t>(of.lease_until_ms) -
                      static_cast<std::int64_t>(of.clock_ms) - since;
    return std::chrono::milliseconds(std::max<std::int64_t>(left, 0));
}

bool fleet::lapsed(worker const& of, common::time_point now) const noexcept
{
    auto const slack = common::to_milliseconds(settings_.lapse_slack);
    auto const since = static_cast<double>(
        common::to_milliseconds(now - of.clock_received_at));
    auto const least =
        static_cast<double>(of.clock_ms) + since * (1 - settings_.clock_drift);
    return least >=
           static_cast<double>(of.lease_until_ms) + static_cast<double>(slack);
}

} // namespace fuchsia::core::pool
