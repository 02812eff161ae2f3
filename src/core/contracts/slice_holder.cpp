#include "core/contracts/slice.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsia::core::contracts
{

namespace
{

/// Factor by which a request for a slice exceeds the measured demand, so that
/// the slice is large enough when demand rises.
constexpr double demand_headroom = 1.5;
/// Slots requested in addition, for the same reason.
constexpr double spare_slots = 2.0;
/// Requests per second requested in addition, for the same reason.
constexpr double spare_rate = 20.0;
/// Factor by which earlier demand decreases with each request for a slice.
constexpr double demand_decay = 0.8;
/// Decayed demand, in requests in flight, below which an entry without requests
/// in flight needs no slice.
constexpr double min_demand = 0.1;
/// Size of the token bucket, in seconds of the slice's rate.
constexpr double burst_seconds = 0.1;
/// Time without a refill of the token bucket after which a grant fills it.
constexpr common::duration bucket_idle_time = std::chrono::seconds(1);
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
    inactive_ = false;
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
    refill_tokens(now);
    if (tokens_ < 1.0)
    {
        ++arrivals_;
        return slice_verdict::rate_limit_reached;
    }
    tokens_ -= 1.0;
    ++arrivals_;
    ++in_flight_[index_of(kind)];
    peak_in_flight_ = std::max(peak_in_flight_, in_flight());
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
    inactive_ = false;
    ++unmet_demand_;
}

std::optional<ports::slice_request>
slice_holder::next_request(common::time_point now, contract const& limits)
{
    if (!is_request_due(now))
    {
        return std::nullopt;
    }
    double const elapsed =
        requested_at_ ? std::max(seconds(now - *requested_at_), 0.02) : 0.5;
    demand_ = std::max<double>(peak_in_flight_ + unmet_demand_,
                               demand_ * demand_decay);
    demand_rate_ = std::max((arrivals_ + unmet_demand_) / elapsed,
                            demand_rate_ * demand_decay);
    bool const idle = in_flight() == 0 && demand_ < min_demand;
    ports::slice_request request;
    request.round = ++round_;
    request.wanted = idle ? 0
                          : static_cast<std::uint32_t>(
                                demand_ * demand_headroom + spare_slots);
    request.wanted_rate =
        idle ? 0
             : static_cast<std::uint32_t>(demand_rate_ * demand_headroom +
                                          spare_rate);
    request.wanted = std::min(request.wanted, limits.requests_in_flight);
    request.wanted_rate =
        std::min(request.wanted_rate, limits.requests_per_second);
    // The slots that are no longer needed are given up before this request
    // reports `in_use`.
    slots_ = std::min(slots_, std::max(request.wanted, in_flight()));
    if (idle)
    {
        valid_until_ = now;
    }
    request.in_use = in_flight_bound(now);
    requested_slots_ = request.wanted;
    requested_rate_ = request.wanted_rate;
    awaiting_grant_ = true;
    requested_at_ = now;
    peak_in_flight_ = in_flight();
    unmet_demand_ = 0;
    arrivals_ = 0;
    return request;
}

void slice_holder::request_at_once() noexcept
{
    inactive_ = false;
    awaiting_grant_ = false;
    requested_at_.reset();
}

void slice_holder::on_grant(common::time_point now,
                            ports::slice_grant const& grant)
{
    // A grant for an earlier request is ignored: the owner made it before it
    // received the report in the latest request, and no longer counts that
    // grant once it has received that report.
    if (!awaiting_grant_ || grant.round != round_ || !requested_at_)
    {
        return;
    }
    awaiting_grant_ = false;
    auto const valid_for = std::min<std::uint64_t>(
        grant.valid_us, static_cast<std::uint64_t>(settings_.lifetime.count()));
    // The grant fills a token bucket that had no refill for
    // `bucket_idle_time`.
    bool const was_idle = now - refilled_at_ >= bucket_idle_time;
    refill_tokens(now);
    slots_ = grant.in_flight;
    rate_ = grant.rate;
    if (was_idle)
    {
        tokens_ = std::max(1.0, rate_ * burst_seconds);
    }
    valid_until_ =
        *requested_at_ + common::duration(static_cast<std::int64_t>(valid_for));
    if (grant.in_flight < requested_slots_)
    {
        limited_until_ = now + settings_.renew_interval;
    }
    if (grant.rate < requested_rate_)
    {
        rate_limited_until_ = now + settings_.renew_interval;
    }
    inactive_ = requested_slots_ == 0 && in_flight() == 0 && unmet_demand_ == 0;
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

bool slice_holder::is_request_due(common::time_point now) const noexcept
{
    if (inactive_)
    {
        return false;
    }
    if (!requested_at_)
    {
        return true;
    }
    auto const elapsed = now - *requested_at_;
    if (awaiting_grant_)
    {
        return elapsed >= settings_.request_timeout;
    }
    bool const needs_more = unmet_demand_ > 0 || in_flight() >= slots_;
    return elapsed >= settings_.renew_interval ||
           ((needs_more || !is_valid(now)) &&
            elapsed >= settings_.min_request_interval && !is_limited(now) &&
            !is_rate_limited(now));
}

void slice_holder::refill_tokens(common::time_point now) noexcept
{
    double const bucket_size = std::max(1.0, rate_ * burst_seconds);
    double const elapsed = std::min(seconds(now - refilled_at_), 1.0);
    tokens_ = std::min(bucket_size, tokens_ + elapsed * rate_);
    refilled_at_ = now;
}

} // namespace fuchsia::core::contracts
