#include "core/pool/fleet.hpp"

#include <algorithm>

namespace fuchsia::core::pool
{

namespace
{

void raise_to(ports::resources& largest, ports::resources const& other)
{
    largest.millicores = std::max(largest.millicores, other.millicores);
    largest.memory_mb = std::max(largest.memory_mb, other.memory_mb);
    largest.accelerators = std::max(largest.accelerators, other.accelerators);
}

} // namespace

std::int64_t worker::idle_cores() const noexcept
{
    auto const non_serving = reserved.millicores - serving_cores;
    return info.capacity.millicores - non_serving - serving_used -
           best_effort_cores;
}

std::int64_t worker::best_effort_room() const noexcept
{
    if (miss.active())
    {
        return 0;
    }
    auto const bearable =
        view.bearable_share * static_cast<double>(info.capacity.millicores);
    return std::min(idle_cores(), static_cast<std::int64_t>(bearable));
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

void fleet::take_list(worker_changes const& changes)
{
    for (auto& [id, entry] : workers_)
    {
        entry.listed = entry.listed && !changes.complete;
    }
    for (auto const& id : changes.removed)
    {
        if (auto* const entry = find(id))
        {
            entry->listed = false;
        }
    }
    for (auto const& info : changes.present)
    {
        auto& entry = find_or_add(info.id);
        entry.info = info;
        entry.listed = true;
    }
    largest_.reset();
}

std::map<std::string, fleet::largest_by_label> fleet::largest_by_service() const
{
    std::map<std::string, largest_by_label> result;
    for (auto const& [id, w] : workers_)
    {
        if (!w.listed)
        {
            continue;
        }
        auto& of_service = result[w.info.service];
        raise_to(of_service[""], w.info.capacity);
        for (auto const& label : w.info.labels)
        {
            raise_to(of_service[label], w.info.capacity);
        }
    }
    return result;
}

bool fleet::may_hold(step const& requested, std::string const& service)
{
    if (!largest_)
    {
        largest_ = largest_by_service();
    }
    auto const of_service = largest_->find(service);
    if (of_service == largest_->end())
    {
        return false;
    }
    auto const largest = of_service->second.find(requested.required_label);
    if (largest == of_service->second.end())
    {
        return false;
    }
    auto needed = requested.declared;
    if (requested.best_effort)
    {
        needed.millicores = 0;
    }
    return largest->second.covers(needed);
}

void fleet::add_rostered(ports::pool_worker const& info)
{
    auto& entry = find_or_add(info.id);
    if (entry.info.id.empty())
    {
        entry.info = info;
    }
    entry.rostered = true;
}

worker& fleet::find_or_add(std::string const& id)
{
    auto const [entry, added] = workers_.try_emplace(id);
    if (added)
    {
        entry->second.token = order_token(highest_removed_token_);
    }
    return entry->second;
}

void fleet::erase(std::string const& id)
{
    if (auto const* const removed = find(id))
    {
        highest_removed_token_ =
            std::max(highest_removed_token_, removed->token.present());
    }
    workers_.erase(id);
}

bool fleet::has_superseded(std::string const& id, std::uint64_t token) const
{
    auto const found = workers_.find(id);
    return found == workers_.end() ? highest_removed_token_ > token
                                   : found->second.token.is_above(token);
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

bool fleet::majority_answered(std::set<std::string> const& ids,
                              common::time_point oldest,
                              common::time_point adopted_until) const
{
    auto const has_answered =
        [this, oldest, adopted_until](std::string const& id)
    {
        auto const found = workers_.find(id);
        return found != workers_.end() && found->second.adopted &&
               found->second.adopted_at <= adopted_until &&
               found->second.last_contact >= oldest;
    };
    auto const answered = static_cast<std::size_t>(
        std::count_if(ids.begin(), ids.end(), has_answered));
    return 2 * answered > ids.size();
}

std::size_t fleet::unreached() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(workers_.begin(),
                      workers_.end(),
                      [](auto const& entry)
                      {
                          worker const& w = entry.second;
                          return w.rostered && (!w.adopted || w.silent);
                      }));
}

std::uint64_t fleet::clock_at(worker const& target,
                              common::time_point now) const noexcept
{
    auto const elapsed_ms =
        common::to_milliseconds(now - target.clock_received_at);
    return target.clock_ms == 0
               ? 0
               : target.clock_ms + static_cast<std::uint64_t>(elapsed_ms);
}

std::uint64_t fleet::lease_end(worker const& target,
                               common::time_point now) const noexcept
{
    auto const clock_ms = clock_at(target, now);
    auto const lease_ms = common::to_milliseconds(settings_.lease);
    return clock_ms == 0 ? 0 : clock_ms + static_cast<std::uint64_t>(lease_ms);
}

void fleet::assume_lease(worker& target,
                         std::uint64_t until_ms,
                         common::time_point now) const noexcept
{
    auto const max_ms = common::to_milliseconds(settings_.max_lease);
    auto const longest_ms =
        clock_at(target, now) + static_cast<std::uint64_t>(max_ms);
    target.lease_until_ms =
        std::max(target.lease_until_ms, std::min(until_ms, longest_ms));
    target.long_lease_until = std::max(
        target.long_lease_until, now + expiry_time(lease_left(target, now)));
}

common::duration fleet::long_lease_left(worker const& target,
                                        common::time_point now) const noexcept
{
    auto until = target.long_lease_until;
    if (target.may_have_restarted())
    {
        until = std::max(until,
                         target.restart_suspected_at +
                             expiry_time(settings_.max_lease));
    }
    auto const left = until - now;
    return left > expiry_time(settings_.lease) ? left : common::duration{};
}

common::duration fleet::expiry_time(common::duration length) const noexcept
{
    return std::chrono::duration_cast<common::duration>(
               length * (1 + settings_.clock_drift)) +
           settings_.lapse_slack;
}

common::duration fleet::lease_left(worker const& target,
                                   common::time_point now) const noexcept
{
    auto const elapsed_ms =
        common::to_milliseconds(now - target.clock_received_at);
    auto const remaining_ms = static_cast<std::int64_t>(target.lease_until_ms) -
                              static_cast<std::int64_t>(target.clock_ms) -
                              elapsed_ms;
    return std::chrono::milliseconds(std::max<std::int64_t>(remaining_ms, 0));
}

bool fleet::lapsed(worker const& target, common::time_point now) const noexcept
{
    bool const new_lease_may_hold =
        target.may_have_restarted() &&
        now - target.restart_suspected_at <= expiry_time(settings_.max_lease);
    if (new_lease_may_hold)
    {
        return false;
    }
    auto const slack_ms = common::to_milliseconds(settings_.lapse_slack);
    auto const elapsed_ms = static_cast<double>(
        common::to_milliseconds(now - target.clock_received_at));
    auto const min_clock_ms = static_cast<double>(target.clock_ms) +
                              elapsed_ms * (1 - settings_.clock_drift);
    return min_clock_ms >= static_cast<double>(target.lease_until_ms) +
                               static_cast<double>(slack_ms);
}

// An earlier owner's lease was granted before the first answer to this one.
bool fleet::may_list_earlier_ends(worker const& target,
                                  common::time_point now) const noexcept
{
    if (!target.adopted || target.ends.caught_up())
    {
        return false;
    }
    bool const leases_over =
        now - target.last_contact > expiry_time(settings_.lease) &&
        lapsed(target, now);
    return !(target.silent && leases_over);
}

} // namespace fuchsia::core::pool
