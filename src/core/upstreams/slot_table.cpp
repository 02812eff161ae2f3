#include "core/upstreams/slot_table.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsia::core::upstreams
{

namespace
{

/// Weight of the newest sample in the moving averages.
constexpr double sample_weight = 0.1;
/// An upstream's share of its slots is halved by a failure and regained by
/// successes, so that a broken one soon gets single probes only and one that
/// comes back cold is filled step by step.
constexpr double failure_factor = 0.5;
constexpr double success_step = 0.05;
/// An exchange is slow only after this many times the usual service time.
constexpr double slow_factor = 4.0;
/// Numbers of holds that no exchange of ours stands for begin here.
constexpr std::uint64_t first_unseen = std::uint64_t{1} << 63;

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

slot_table::slot_table(slot_table_settings const& chosen, std::uint64_t seed)
    : settings_(chosen), random_(seed), next_unseen_(first_unseen)
{
}

void slot_table::acquire(common::time_point now,
                         std::uint32_t partition,
                         bool idle)
{
    owned_[partition] = true;
    taken_over_[partition] =
        idle ? std::nullopt : std::optional<common::time_point>(now);
    for (std::uint32_t index = 0; index < upstreams_.size(); ++index)
    {
        if (upstreams_[index].partition != partition)
        {
            continue;
        }
        if (!idle)
        {
            close_all_slots(now, index);
        }
        refresh(index);
    }
}

void slot_table::release(std::uint32_t partition)
{
    owned_[partition] = false;
    for (std::uint32_t index = 0; index < upstreams_.size(); ++index)
    {
        if (upstreams_[index].partition == partition)
        {
            refresh(index);
        }
    }
}

void slot_table::on_instances(common::time_point now,
                              ports::instance_list const& list)
{
    for (auto& one : upstreams_)
    {
        one.listed = false;
    }
    for (auto const& listed : list.upstreams)
    {
        auto const found = index_of_.find(listed.id);
        if (found == index_of_.end())
        {
            add_upstream(now, listed);
            continue;
        }
        update(upstreams_[found->second], listed);
        on_report(list.received - listed.report_age - settings_.report_slack,
                  found->second,
                  listed.slots_in_use);
    }
    list_seen_ = true;
    for (std::uint32_t index = 0; index < upstreams_.size(); ++index)
    {
        refresh(index);
    }
}

void slot_table::add_upstream(common::time_point now,
                              ports::upstream_instance const& listed)
{
    auto index = static_cast<std::uint32_t>(upstreams_.size());
    if (index >= settings_.max_upstreams)
    {
        // The place of one that is gone for good may be used again.
        auto const gone =
            std::find_if(upstreams_.begin(),
                         upstreams_.end(),
                         [this](upstream const& one)
                         {
                             auto const at = static_cast<std::size_t>(
                                 &one - upstreams_.data());
                             return !one.listed && loads_[at].in_use == 0;
                         });
        if (gone == upstreams_.end())
        {
            return;
        }
        index = static_cast<std::uint32_t>(gone - upstreams_.begin());
        refresh(index);
        index_of_.erase(gone->id);
        *gone = {};
        loads_[index] = {};
    }
    else
    {
        upstreams_.emplace_back();
        loads_.emplace_back();
    }
    auto& added = upstreams_[index];
    added.id = listed.id;
    added.partition = common::partition_of(listed.id);
    added.share = list_seen_ ? settings_.initial_share : 1.0;
    // Nobody knows its latency yet: taken for the average, not for very fast.
    loads_[index].latency_us = service_time_us_;
    index_of_.emplace(listed.id, index);
    update(added, listed);
    // A predecessor with a newer list may have used it before we knew of it.
    auto const taken = taken_over_[added.partition];
    if (taken && now < *taken + settings_.max_execution)
    {
        close_all_slots(*taken, index);
    }
}

void slot_table::update(upstream& known, ports::upstream_instance const& listed)
{
    known.where = listed.remote_endpoint;
    known.data_centre = listed.data_centre;
    known.slots = listed.connections == 0
                      ? listed.slots
                      : std::min(listed.slots, listed.connections);
    known.listed = true;
    known.leaving = listed.state == ports::instance_state::leaving;
    known.out_of_service =
        data_centres_out_of_service_.contains(known.data_centre);
}

void slot_table::set_data_centres_out_of_service(
    std::set<std::string, std::less<>> const& names)
{
    data_centres_out_of_service_ = names;
    for (std::uint32_t index = 0; index < upstreams_.size(); ++index)
    {
        auto& one = upstreams_[index];
        bool const was_out = one.out_of_service;
        one.out_of_service = names.contains(one.data_centre);
        if (was_out && !one.out_of_service)
        {
            one.share = std::min(one.share, settings_.initial_share);
        }
        refresh(index);
    }
}

std::optional<slot_placement>
slot_table::take_slot(common::time_point now,
                      std::uint64_t exchange,
                      std::optional<std::uint32_t> avoid)
{
    auto const at =
        choose_upstream(settings_.choice, open_, loads_, avoid, random_);
    if (!at)
    {
        return std::nullopt;
    }
    std::uint32_t const index = open_[*at];
    holds_.emplace(exchange, hold{index, now, {}, false});
    ++loads_[index].in_use;
    ++busy_[upstreams_[index].partition];
    refresh(index);
    return slot_placement{index, upstreams_[index].id, upstreams_[index].where};
}

// A request that waited long in our queue has little time left when it is sent.
// If its deadline counted against the upstream, a full queue would shrink the
// upstreams' shares, which makes the queue longer yet: an entry with plenty of
// idle slots would stay overloaded for good.
void slot_table::on_caller_timeout(common::time_point now,
                                   std::uint64_t exchange)
{
    auto const found = holds_.find(exchange);
    if (found == holds_.end() || found->second.slow)
    {
        return;
    }
    auto const had = static_cast<double>((now - found->second.sent).count());
    if (had < slow_factor * service_time_us_)
    {
        return;
    }
    found->second.slow = true;
    shrink(found->second.index);
    refresh(found->second.index);
}

void slot_table::on_exchange_end(common::time_point now,
                                 ports::upstream_end const& end)
{
    auto const found = holds_.find(end.exchange);
    if (found == holds_.end())
    {
        return;
    }
    hold const held = found->second;
    using enum ports::exchange_status;
    switch (end.status)
    {
    case answered:
    case drained:
        learn(held.index, now - held.sent, is_failure(end));
        free_hold(end.exchange);
        break;
    case not_sent:
        shrink(held.index);
        free_hold(end.exchange);
        break;
    case timed_out:
        // The connection stands and the request may lie unread in it: a frozen
        // upstream reports an idle slot and begins the request when it wakes.
        // Only the other end, which follows, frees the slot.
        on_caller_timeout(now, end.exchange);
        break;
    case lost:
    case too_large:
        shrink(held.index);
        keep_unseen(now, end.exchange);
        break;
    }
    refresh(held.index);
}

void slot_table::tick(common::time_point now)
{
    while (!bounds_.empty() && bounds_.begin()->first <= now)
    {
        std::uint64_t const id = bounds_.begin()->second;
        std::uint32_t const index = holds_.at(id).index;
        free_hold(id);
        refresh(index);
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
    return busy_[partition] == 0;
}

std::uint32_t slot_table::in_use(std::string const& upstream) const noexcept
{
    auto const found = index_of_.find(upstream);
    return found == index_of_.end() ? 0 : loads_[found->second].in_use;
}

std::size_t slot_table::size() const noexcept
{
    return upstreams_.size();
}

// Whatever ran when the report was made, ours or a predecessor's, is among the
// `n` that it tells. Of the slots held for unseen ends older than the report
// no more than `n` can therefore still be taken.
void slot_table::on_report(common::time_point made,
                           std::uint32_t index,
                           std::uint32_t n)
{
    auto const unseen = upstreams_[index].unseen;
    std::vector<std::uint64_t> older;
    for (std::uint64_t const id : unseen)
    {
        if (holds_.at(id).unseen_since < made)
        {
            older.push_back(id);
        }
    }
    for (std::size_t at = n; at < older.size(); ++at)
    {
        free_hold(older[at]);
    }
}

void slot_table::close_all_slots(common::time_point now, std::uint32_t index)
{
    auto const slots = upstreams_[index].slots;
    while (upstreams_[index].unseen.size() < slots)
    {
        std::uint64_t const id = next_unseen_++;
        holds_.emplace(id, hold{index, now, {}, true});
        ++loads_[index].in_use;
        ++busy_[upstreams_[index].partition];
        keep_unseen(now, id);
    }
}

void slot_table::free_hold(std::uint64_t id)
{
    hold const held = holds_.at(id);
    auto& unseen = upstreams_[held.index].unseen;
    unseen.erase(std::remove(unseen.begin(), unseen.end(), id), unseen.end());
    bounds_.erase({held.sent + settings_.max_execution, id});
    holds_.erase(id);
    --loads_[held.index].in_use;
    --busy_[upstreams_[held.index].partition];
}

void slot_table::keep_unseen(common::time_point now, std::uint64_t id)
{
    auto& held = holds_.at(id);
    auto& unseen = upstreams_[held.index].unseen;
    if (std::find(unseen.begin(), unseen.end(), id) == unseen.end())
    {
        unseen.push_back(id);
    }
    held.unseen_since = now;
    bounds_.insert({held.sent + settings_.max_execution, id});
}

void slot_table::learn(std::uint32_t index, common::duration took, bool failed)
{
    auto const sample = static_cast<double>(took.count());
    average(service_time_us_, sample);
    average(loads_[index].latency_us, sample);
    if (failed)
    {
        shrink(index);
        return;
    }
    auto& load = loads_[index];
    load.failure_rate -= sample_weight * load.failure_rate;
    upstreams_[index].share =
        std::min(1.0, upstreams_[index].share + success_step);
}

void slot_table::shrink(std::uint32_t index)
{
    auto& load = loads_[index];
    load.failure_rate += sample_weight * (1.0 - load.failure_rate);
    upstreams_[index].share *= failure_factor;
}

bool slot_table::usable(upstream const& one) const noexcept
{
    return owned_[one.partition] && one.listed && !one.leaving &&
           !one.out_of_service && one.slots > 0;
}

// Brings an upstream's parts of the sums, and its place among those with a
// free slot, up to date, so that no request has to look at all upstreams.
void slot_table::refresh(std::uint32_t index)
{
    auto& one = upstreams_[index];
    auto& load = loads_[index];
    double const wished = std::ceil(one.slots * one.share);
    load.limit = std::clamp(static_cast<std::uint32_t>(wished),
                            std::uint32_t{1},
                            std::max(one.slots, std::uint32_t{1}));
    bool const open = usable(one);
    std::uint32_t const slots = open ? load.limit : 0;
    std::uint32_t const free = slots > load.in_use ? slots - load.in_use : 0;
    usable_slots_ += slots - one.counted_slots;
    free_slots_ += free - one.counted_free;
    one.counted_slots = slots;
    one.counted_free = free;
    set_open(index, free > 0);
}

void slot_table::set_open(std::uint32_t index, bool open)
{
    auto& one = upstreams_[index];
    if (open == one.open_at.has_value())
    {
        return;
    }
    if (open)
    {
        one.open_at = open_.size();
        open_.push_back(index);
        return;
    }
    std::uint32_t const moved = open_.back();
    open_[*one.open_at] = moved;
    upstreams_[moved].open_at = one.open_at;
    open_.pop_back();
    one.open_at.reset();
}

} // namespace fuchsia::core::upstreams
