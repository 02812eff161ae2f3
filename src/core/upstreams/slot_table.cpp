#include "core/upstreams/slot_table.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsia::core::upstreams
{

namespace
{

/// Weight of the newest sample in the moving averages.
constexpr double sample_weight = 0.1;
/// A failure halves an upstream's share of its slots and each success adds a
/// step to it, so that a broken upstream soon gets only single probes and one
/// that recovers with cold caches is filled step by step.
constexpr double failure_factor = 0.5;
constexpr double success_step = 0.05;
/// A caller's timeout counts as a failure of the upstream only after this many
/// times the average service time.
constexpr double slow_factor = 4.0;
/// First id for taken slots that belong to no exchange of this entry.
constexpr std::uint64_t first_placeholder_id = std::uint64_t{1} << 63;

bool is_failure(ports::upstream_end const& end) noexcept
{
    constexpr std::uint16_t first_server_error = 500;
    bool const whole = end.status == ports::exchange_status::answered ||
                       end.status == ports::exchange_status::drained;
    return !whole || end.http_status >= first_server_error;
}

void average(double& value, double sample) noexcept
{
    value = value == 0 ? sample : value + sample_weight * (sample - value);
}

} // namespace

slot_table::slot_table(slot_table_settings const& settings, std::uint64_t seed)
    : settings_(settings), random_(seed),
      next_placeholder_id_(first_placeholder_id)
{
}

void slot_table::acquire(common::time_point now,
                         std::uint32_t partition,
                         bool known_idle)
{
    owned_[partition] = true;
    acquired_at_[partition] =
        known_idle ? std::nullopt : std::optional<common::time_point>(now);
    for (std::uint32_t index = 0; index < upstreams_.size(); ++index)
    {
        if (upstreams_[index].partition != partition)
        {
            continue;
        }
        if (!known_idle)
        {
            occupy_all_slots(now, index);
        }
        update_counts(index);
    }
}

void slot_table::release(std::uint32_t partition)
{
    owned_[partition] = false;
    for (std::uint32_t index = 0; index < upstreams_.size(); ++index)
    {
        if (upstreams_[index].partition == partition)
        {
            update_counts(index);
        }
    }
}

void slot_table::on_instances(common::time_point now,
                              ports::instance_list const& list)
{
    for (auto& u : upstreams_)
    {
        u.is_listed = false;
    }
    for (auto const& instance : list.upstreams)
    {
        auto const it = index_of_.find(instance.id);
        if (it == index_of_.end())
        {
            add_upstream(now, instance);
            continue;
        }
        update(upstreams_[it->second], instance);
        on_report(list.received - instance.report_age - settings_.report_slack,
                  it->second,
                  instance.slots_in_use);
    }
    list_received_ = true;
    for (std::uint32_t index = 0; index < upstreams_.size(); ++index)
    {
        update_counts(index);
    }
}

void slot_table::add_upstream(common::time_point now,
                              ports::upstream_instance const& instance)
{
    auto index = static_cast<std::uint32_t>(upstreams_.size());
    if (index >= settings_.max_upstreams)
    {
        // Reuses the index of an upstream that is no longer listed and has no
        // slot in use.
        auto const reusable = std::find_if(
            upstreams_.begin(),
            upstreams_.end(),
            [this](upstream const& u)
            {
                auto const position =
                    static_cast<std::size_t>(&u - upstreams_.data());
                return !u.is_listed && loads_[position].in_use == 0;
            });
        if (reusable == upstreams_.end())
        {
            return;
        }
        index = static_cast<std::uint32_t>(reusable - upstreams_.begin());
        update_counts(index);
        index_of_.erase(reusable->id);
        *reusable = {};
        loads_[index] = {};
    }
    else
    {
        upstreams_.emplace_back();
        loads_.emplace_back();
    }
    auto& added = upstreams_[index];
    added.id = instance.id;
    added.partition = common::partition_of(instance.id);
    added.share = list_received_ ? settings_.initial_share : 1.0;
    // The latency is not known yet. The average is assumed, because 0 would
    // make the upstream look very fast.
    loads_[index].latency_us = service_time_us_;
    index_of_.emplace(instance.id, index);
    update(added, instance);
    // A predecessor with a newer list may have used the upstream before this
    // entry learned of it.
    auto const acquired_at = acquired_at_[added.partition];
    if (acquired_at && now < *acquired_at + settings_.max_execution)
    {
        occupy_all_slots(*acquired_at, index);
    }
}

void slot_table::update(upstream& u, ports::upstream_instance const& instance)
{
    u.address = instance.remote_endpoint;
    u.data_centre = instance.data_centre;
    u.slots = instance.connections == 0
                  ? instance.slots
                  : std::min(instance.slots, instance.connections);
    u.is_listed = true;
    u.leaving = instance.state == ports::instance_state::leaving;
    u.out_of_service = data_centres_out_of_service_.contains(u.data_centre);
}

void slot_table::set_data_centres_out_of_service(
    std::set<std::string, std::less<>> const& names)
{
    data_centres_out_of_service_ = names;
    for (std::uint32_t index = 0; index < upstreams_.size(); ++index)
    {
        auto& u = upstreams_[index];
        bool const was_out = u.out_of_service;
        u.out_of_service = names.contains(u.data_centre);
        if (was_out && !u.out_of_service)
        {
            u.share = std::min(u.share, settings_.initial_share);
        }
        update_counts(index);
    }
}

std::optional<slot_placement>
slot_table::take_slot(common::time_point now,
                      std::uint64_t exchange,
                      std::optional<std::uint32_t> avoided_upstream)
{
    auto const position = choose_upstream(
        settings_.choice, available_, loads_, avoided_upstream, random_);
    if (!position)
    {
        return std::nullopt;
    }
    std::uint32_t const index = available_[*position];
    taken_slots_.emplace(exchange, taken_slot{index, now, {}, false});
    ++loads_[index].in_use;
    ++partition_in_use_[upstreams_[index].partition];
    update_counts(index);
    return slot_placement{
        index, upstreams_[index].id, upstreams_[index].address};
}

// A request that waited long in the entry's queue has little time left when it
// is sent. If missing its deadline counted against the upstream, a full queue
// would reduce the upstreams' shares, which makes the queue even longer: an
// entry with many idle slots would stay overloaded permanently.
void slot_table::on_caller_timeout(common::time_point now,
                                   std::uint64_t exchange)
{
    auto const it = taken_slots_.find(exchange);
    if (it == taken_slots_.end() || it->second.timeout_counted)
    {
        return;
    }
    auto const elapsed =
        static_cast<double>((now - it->second.sent_at).count());
    if (elapsed < slow_factor * service_time_us_)
    {
        return;
    }
    it->second.timeout_counted = true;
    record_failure(it->second.index);
    update_counts(it->second.index);
}

void slot_table::on_exchange_end(common::time_point now,
                                 ports::upstream_end const& end)
{
    auto const it = taken_slots_.find(end.exchange);
    if (it == taken_slots_.end())
    {
        return;
    }
    taken_slot const slot = it->second;
    using enum ports::exchange_status;
    switch (end.status)
    {
    case answered:
    case drained:
        record_result(slot.index, now - slot.sent_at, is_failure(end));
        free_slot(end.exchange);
        break;
    case not_sent:
        record_failure(slot.index);
        free_slot(end.exchange);
        break;
    case timed_out:
        // The connection is still open and the request may be unread in it: a
        // frozen upstream reports an idle slot and starts the request when it
        // resumes. Only the final end of the exchange, which follows, frees the
        // slot.
        on_caller_timeout(now, end.exchange);
        break;
    case lost:
    case too_large:
        record_failure(slot.index);
        mark_end_unseen(now, end.exchange);
        break;
    }
    update_counts(slot.index);
}

void slot_table::tick(common::time_point now)
{
    while (!latest_ends_.empty() && latest_ends_.begin()->first <= now)
    {
        std::uint64_t const id = latest_ends_.begin()->second;
        std::uint32_t const index = taken_slots_.at(id).index;
        free_slot(id);
        update_counts(index);
    }
}

std::uint32_t slot_table::free_slots() const noexcept
{
    return free_slots_;
}

std::uint32_t slot_table::usable_slots() const noexcept
{
    return usable_slots_;
}

common::duration slot_table::service_time() const noexcept
{
    return common::duration(static_cast<std::int64_t>(service_time_us_));
}

bool slot_table::is_idle(std::uint32_t partition) const noexcept
{
    return partition_in_use_[partition] == 0;
}

std::uint32_t slot_table::in_use(std::string const& upstream) const noexcept
{
    auto const it = index_of_.find(upstream);
    return it == index_of_.end() ? 0 : loads_[it->second].in_use;
}

std::size_t slot_table::size() const noexcept
{
    return upstreams_.size();
}

// `slots_in_use` counts all requests that ran when the report was made, those
// of this entry and those of a predecessor. Of the slots whose end has been
// unobserved since before the report, no more than `slots_in_use` can therefore
// still be taken.
void slot_table::on_report(common::time_point report_time,
                           std::uint32_t index,
                           std::uint32_t slots_in_use)
{
    auto const unseen_ends = upstreams_[index].unseen_ends;
    std::vector<std::uint64_t> older_ids;
    for (std::uint64_t const id : unseen_ends)
    {
        if (taken_slots_.at(id).end_unseen_since < report_time)
        {
            older_ids.push_back(id);
        }
    }
    for (std::size_t i = slots_in_use; i < older_ids.size(); ++i)
    {
        free_slot(older_ids[i]);
    }
}

void slot_table::occupy_all_slots(common::time_point now, std::uint32_t index)
{
    auto const slots = upstreams_[index].slots;
    while (upstreams_[index].unseen_ends.size() < slots)
    {
        std::uint64_t const id = next_placeholder_id_++;
        taken_slots_.emplace(id, taken_slot{index, now, {}, true});
        ++loads_[index].in_use;
        ++partition_in_use_[upstreams_[index].partition];
        mark_end_unseen(now, id);
    }
}

void slot_table::free_slot(std::uint64_t id)
{
    taken_slot const slot = taken_slots_.at(id);
    auto& unseen_ends = upstreams_[slot.index].unseen_ends;
    unseen_ends.erase(std::remove(unseen_ends.begin(), unseen_ends.end(), id),
                      unseen_ends.end());
    latest_ends_.erase({slot.sent_at + settings_.max_execution, id});
    taken_slots_.erase(id);
    --loads_[slot.index].in_use;
    --partition_in_use_[upstreams_[slot.index].partition];
}

void slot_table::mark_end_unseen(common::time_point now, std::uint64_t id)
{
    auto& slot = taken_slots_.at(id);
    auto& unseen_ends = upstreams_[slot.index].unseen_ends;
    if (std::find(unseen_ends.begin(), unseen_ends.end(), id) ==
        unseen_ends.end())
    {
        unseen_ends.push_back(id);
    }
    slot.end_unseen_since = now;
    latest_ends_.insert({slot.sent_at + settings_.max_execution, id});
}

void slot_table::record_result(std::uint32_t index,
                               common::duration execution_time,
                               bool failed)
{
    auto const sample = static_cast<double>(execution_time.count());
    average(service_time_us_, sample);
    average(loads_[index].latency_us, sample);
    if (failed)
    {
        record_failure(index);
        return;
    }
    auto& load = loads_[index];
    load.failure_rate -= sample_weight * load.failure_rate;
    upstreams_[index].share =
        std::min(1.0, upstreams_[index].share + success_step);
}

void slot_table::record_failure(std::uint32_t index)
{
    auto& load = loads_[index];
    load.failure_rate += sample_weight * (1.0 - load.failure_rate);
    upstreams_[index].share *= failure_factor;
}

bool slot_table::is_usable(upstream const& u) const noexcept
{
    return owned_[u.partition] && u.is_listed && !u.leaving &&
           !u.out_of_service && u.slots > 0;
}

// Updates the upstream's share in the totals and its membership in
// `available_`, so that no request has to look at all upstreams.
void slot_table::update_counts(std::uint32_t index)
{
    auto& u = upstreams_[index];
    auto& load = loads_[index];
    double const desired = std::ceil(u.slots * u.share);
    load.limit = std::clamp(static_cast<std::uint32_t>(desired),
                            std::uint32_t{1},
                            std::max(u.slots, std::uint32_t{1}));
    bool const usable = is_usable(u);
    std::uint32_t const slots = usable ? load.limit : 0;
    std::uint32_t const free_count =
        slots > load.in_use ? slots - load.in_use : 0;
    usable_slots_ += slots - u.counted_slots;
    free_slots_ += free_count - u.counted_free;
    u.counted_slots = slots;
    u.counted_free = free_count;
    set_available(index, free_count > 0);
}

void slot_table::set_available(std::uint32_t index, bool has_free_slot)
{
    auto& u = upstreams_[index];
    if (has_free_slot == u.available_index.has_value())
    {
        return;
    }
    if (has_free_slot)
    {
        u.available_index = available_.size();
        available_.push_back(index);
        return;
    }
    std::uint32_t const moved = available_.back();
    available_[*u.available_index] = moved;
    upstreams_[moved].available_index = u.available_index;
    available_.pop_back();
    u.available_index.reset();
}

} // namespace fuchsia::core::upstreams
