#include "tools/load/schedule.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::tools::load
{

namespace
{
using core::common::duration;
constexpr double second_us = 1'000'000.0;
constexpr double whole_request =
    0.999'999; // Below 1 because of rounding errors.
} // namespace

arrival_stream::arrival_stream(shape stream_shape,
                               std::vector<phase> phases,
                               std::uint64_t seed)
    : shape_(stream_shape), phases_(std::move(phases)), random_(seed)
{
    for (auto const& p : phases_)
    {
        end_ += p.length;
    }
    if (shape_.until > duration{})
    {
        end_ = std::min(end_, shape_.until);
    }
    steady_at_us_ = static_cast<double>(shape_.from.count());
    steady_ = next_steady();
    if (shape_.burst_size > 0 && shape_.from < end_)
    {
        burst_ = shape_.from;
        burst_remaining_ = shape_.burst_size;
    }
}

std::optional<duration> arrival_stream::next()
{
    if (burst_ && (!steady_ || *burst_ <= *steady_))
    {
        return next_of_burst();
    }
    auto const due = steady_;
    if (steady_)
    {
        steady_ = next_steady();
    }
    return due;
}

std::optional<duration> arrival_stream::next_of_burst()
{
    auto const due = burst_;
    if (--burst_remaining_ == 0)
    {
        burst_remaining_ = shape_.burst_size;
        *burst_ += shape_.burst_every;
        if (*burst_ >= end_)
        {
            burst_.reset();
        }
    }
    return due;
}

// Generates arrivals at the rate of the highest factor and thins them to the
// current factor, so that a step of the rate takes effect exactly at the start
// of the phase.
std::optional<duration> arrival_stream::next_steady()
{
    double highest = 0;
    for (auto const& p : phases_)
    {
        highest = std::max({highest, p.factor, p.factor_to});
    }
    double const rate = shape_.rate * highest;
    if (rate <= 0)
    {
        return std::nullopt;
    }
    std::exponential_distribution<double> gap(rate / second_us);
    std::uniform_real_distribution<double> share(0.0, 1.0);
    double const even_gap = second_us / rate;
    while (steady_at_us_ < static_cast<double>(end_.count()))
    {
        steady_at_us_ += shape_.poisson ? gap(random_) : even_gap;
        duration const at(static_cast<std::int64_t>(steady_at_us_));
        double const acceptance = factor_at(at) / highest;
        accumulated_share_ += acceptance;
        bool const accepted = shape_.poisson
                                  ? share(random_) < acceptance
                                  : accumulated_share_ >= whole_request;
        if (accepted && at < end_)
        {
            accumulated_share_ -= 1.0;
            return at;
        }
    }
    return std::nullopt;
}

double arrival_stream::factor_at(duration at) const
{
    for (auto const& p : phases_)
    {
        if (at < p.length)
        {
            double const progress = static_cast<double>(at.count()) /
                                    static_cast<double>(p.length.count());
            return p.factor + progress * (p.factor_to - p.factor);
        }
        at -= p.length;
    }
    return 0;
}

} // namespace fuchsia::tools::load
