#include "core/contracts/slice.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsia::core::contracts
{

namespace
{

/// Asked for beyond the demand seen, so that a rise finds a slice ready.
constexpr double headroom = 1.5;
constexpr double spare_slots = 2.0;
constexpr double spare_rate = 20.0;
/// Demand seen earlier counts less with each request for a slice.
constexpr double decay = 0.8;
constexpr double least_demand = 0.1;
/// A slice's rate may be used in bursts of this part of a second.
constexpr double burst_seconds = 0.1;
constexpr common::duration bucket_rest = std::chrono::seconds(1);
constexpr std::uint32_t permille = 1000;

constexpr std::size_t index_of(ports::request_class kind) noexcept
{
    return static_cast<std::size_t>(kind);
}

double seconds(common::duration length) noexcept
{
    return static_cast<double>(length.count()) / 1e6;
}

} // namespace

slice_holder::slice_holder(slice_settings settings) : settings_(settings)
{
}

slice_verdict slice_holder::admit(common::time_point now,
                                  ports::request_class kind,
                                  contract const& limits)
{
    at_rest_ = false;
    if (!is_valid(now))
    {
        return slice_verdict::no_slice;
    }
    std::uint32_t const slots = std::min(slots_, limits.requests_in_flight);
    std::uint32_t const batch_slots = static_cast<std::uint32_t>(
        std::uint64_t{slots} * limits.batch_permille / permille);
    bool const batch = kind == ports::request_class::batch;
    if (in_flight() >= slots ||
        (batch && in_flight_[index_of(kind)] >= batch_slots))
    {
        return slice_verdict::in_flight_limit_reached;
    }
    refill(now);
    if (tokens_ < 1.0)
    {
        ++arrivals_;
        return slice_verdict::rate_limit_reached;
    }
    tokens_ -= 1.0;
    ++arrivals_;
    ++in_flight_[index_of(kind)];
    peak_ = std::max(peak_, in_flight());
    return slice_verdict::admitted;
}

void slice_holder::on_request_end(ports::request_class kind) noexcept
{
    if (in_flight_[index_of(kind)] > 0)
    {
        --in_flight_[index_of(kind)];
    }
}

void slice_holder::count_unmet_demand() noexcept
{
    at_rest_ = false;
    ++unmet_;
}

std::optional<ports::slice_request>
slice_holder::next_request(common::time_point now, contract const& limits)
{
    if (!is_time(now))
    {
        return std::nullopt;
    }
    double const elapsed =
        asked_ ? std::max(seconds(now - *asked_), 0.02) : 0.5;
    demand_ = std::max<double>(peak_ + unmet_, demand_ * decay);
    demand_rate_ =
        std::max((arrivals_ + unmet_) / elapsed, demand_rate_ * decay);
    bool const idle = in_flight() == 0 && demand_ < least_demand;
    ports::slice_request request;
    request.round = ++round_;
    request.wanted =
        idle ? 0 : static_cast<std::uint32_t>(demand_ * headroom + spare_slots);
    request.wanted_rate =
        idle ? 0
             : static_cast<std::uint32_t>(demand_rate_ * headroom + spare_rate);
    request.wanted = std::min(request.wanted, limits.requests_in_flight);
    request.wanted_rate =
        std::min(request.wanted_rate, limits.requests_per_second);
    // What is not wanted any more is given back with this request.
    slots_ = std::min(slots_, std::max(request.wanted, in_flight()));
    if (idle)
    {
        valid_until_ = now;
    }
    request.in_use = in_flight_bound(now);
    wanted_ = request.wanted;
    wanted_rate_ = request.wanted_rate;
    waiting_ = true;
    asked_ = now;
    peak_ = in_flight();
    unmet_ = 0;
    arrivals_ = 0;
    return request;
}

void slice_holder::request_at_once() noexcept
{
    at_rest_ = false;
    waiting_ = false;
    asked_.reset();
}

void slice_holder::on_grant(common::time_point now,
                            ports::slice_grant const& grant)
{
    // A grant for an earlier request was cut before the report that went out
    // with the last one: the owner no longer counts it.
    if (!waiting_ || grant.round != round_ || !asked_)
    {
        return;
    }
    waiting_ = false;
    auto const length = std::min<std::uint64_t>(
        grant.valid_us, static_cast<std::uint64_t>(settings_.lifetime.count()));
    // A bucket that was not used for a while is full.
    bool const rested = now - refilled_ >= bucket_rest;
    refill(now);
    slots_ = grant.in_flight;
    rate_ = grant.rate;
    if (rested)
    {
        tokens_ = std::max(1.0, rate_ * burst_seconds);
    }
    valid_until_ =
        *asked_ + common::duration(static_cast<std::int64_t>(length));
    if (grant.in_flight < wanted_)
    {
        limited_until_ = now + settings_.renew_interval;
    }
    if (grant.rate < wanted_rate_)
    {
        rate_limited_until_ = now + settings_.renew_interval;
    }
    at_rest_ = wanted_ == 0 && in_flight() == 0 && unmet_ == 0;
}

bool slice_holder::is_limited(common::time_point now) const noexcept
{
    return now < limited_until_;
}

bool slice_holder::is_rate_limited(common::time_point now) const noexcept
{
    return now < rate_limited_until_;
}

std::uint32_t slice_holder::in_flight() const noexcept
{
    return in_flight_[0] + in_flight_[1];
}

std::uint32_t
slice_holder::in_flight_bound(common::time_point now) const noexcept
{
    return is_valid(now) ? std::max(slots_, in_flight()) : in_flight();
}

bool slice_holder::is_valid(common::time_point now) const noexcept
{
    return now < valid_until_;
}

bool slice_holder::is_time(common::time_point now) const noexcept
{
    if (at_rest_)
    {
        return false;
    }
    if (!asked_)
    {
        return true;
    }
    auto const since = now - *asked_;
    if (waiting_)
    {
        return since >= settings_.request_timeout;
    }
    bool const more = unmet_ > 0 || in_flight() >= slots_;
    return since >= settings_.renew_interval ||
           ((more || !is_valid(now)) &&
            since >= settings_.min_request_interval && !is_limited(now) &&
            !is_rate_limited(now));
}

void slice_holder::refill(common::time_point now) noexcept
{
    double const most = std::max(1.0, rate_ * burst_seconds);
    double const elapsed = std::min(seconds(now - refilled_), 1.0);
    tokens_ = std::min(most, tokens_ + elapsed * rate_);
    refilled_ = now;
}

} // namespace fuchsia::core::contracts
