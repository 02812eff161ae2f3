#include "tools/load/schedule.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::tools::load
{

namespace
{
using core::common::duration;
constexpr double second_us = 1'000'000.0;
constexpr double whole_request = 0.999'999; // Sums of shares are not exact.
} // namespace

arrival_stream::arrival_stream(shape what,
                               std::vector<phase> phases,
                               std::uint64_t seed)
    : shape_(what), phases_(std::move(phases)), random_(seed)
{
    for (auto const& each : phases_)
    {
        end_ += each.length;
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
        burst_left_ = shape_.burst_size;
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
    if (--burst_left_ == 0)
    {
        burst_left_ = shape_.burst_size;
        *burst_ += shape_.burst_every;
        if (*burst_ >= end_)
        {
            burst_.reset();
        }
    }
    return due;
}

// The stream has the highest factor's rate, thinned to the present factor, so
// that a step of the rate falls exactly where the phase begins.
std::optional<duration> arrival_stream::next_steady()
{
    double highest = 0;
    for (auto const& each : phases_)
    {
        highest = std::max({highest, each.factor, each.factor_to});
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
        double const wanted = factor_at(at) / highest;
        owed_ += wanted;
        bool const take =
            shape_.poisson ? share(random_) < wanted : owed_ >= whole_request;
        if (take && at < end_)
        {
            owed_ -= 1.0;
            return at;
        }
    }
    return std::nullopt;
}

double arrival_stream::factor_at(duration at) const
{
    for (auto const& each : phases_)
    {
        if (at < each.length)
        {
            double const part = static_cast<double>(at.count()) /
                                static_cast<double>(each.length.count());
            return each.factor + part * (each.factor_to - each.factor);
        }
        at -= each.length;
    }
    return 0;
}

} // namespace fuchsia::tools::load
