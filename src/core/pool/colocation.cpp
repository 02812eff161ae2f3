#include "core/pool/colocation.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace fuchsia::core::pool
{

namespace
{

// Far over its target a tail says only that it is: the queue grows as long as
// the disturbance lasts.
constexpr double least_headroom = 0.5;
// A single reading moves the estimates no further than this would, however far
// off it is: a queue that overflowed, or load that has just turned.
constexpr double most_error = 1.5;

} // namespace

colocation::colocation(colocation_settings settings)
    : settings_(settings),
      pairs_(settings.max_images * settings.max_images,
             {settings.prior, settings.prior_variance})
{
}

colocation_settings const& colocation::settings() const noexcept
{
    return settings_;
}

std::uint16_t colocation::number_of(std::string const& image)
{
    auto const next = std::min(numbers_.size(), settings_.max_images - 1);
    return numbers_.emplace(image, static_cast<std::uint16_t>(next))
        .first->second;
}

double colocation::weight(std::uint16_t served, std::uint16_t beside) const
{
    return pairs_[served * settings_.max_images + beside].weight;
}

double colocation::taken(std::uint16_t image,
                         std::vector<fill_view> const& beside) const
{
    double total = 0;
    for (auto const& each : beside)
    {
        total += weight(image, each.image) * each.used;
    }
    return total;
}

// A Kalman filter without the terms between pairs: each neighbour gets the part
// of the error that its size and its uncertainty explain. A neighbour that
// hardly works yet teaches next to nothing.
void colocation::learn(serving_view const& seen,
                       std::vector<fill_view> const& beside)
{
    double const headroom = std::max(seen.headroom, least_headroom);
    double const error = std::clamp(
        seen.alone - headroom - taken(seen.image, beside),
        -most_error,
        most_error);
    std::map<std::uint16_t, double> shares;
    for (auto const& each : beside)
    {
        shares[each.image] += each.used;
    }
    auto* const row = &pairs_[seen.image * settings_.max_images];
    double total = settings_.reading_variance;
    for (auto const& [image, share] : shares)
    {
        total += row[image].variance * share * share;
    }
    for (auto const& [image, share] : shares)
    {
        auto& pair = row[image];
        double const gain = pair.variance * share / total;
        pair.weight =
            std::clamp(pair.weight + gain * error, 0.0, settings_.most);
        pair.variance = std::max(settings_.least_variance,
                                 pair.variance * (1 - gain * share));
    }
}

// Share of their speed that the neighbours which disturb `served` may have.
double colocation::speed_beside(serving_view const& served,
                                std::vector<fill_view> const& fills) const
{
    double wanted = 0;
    for (auto const& each : fills)
    {
        double const cost = weight(served.image, each.image);
        wanted += cost > settings_.harmless ? cost * each.declared : 0;
    }
    double const spare = served.alone - settings_.keep;
    return wanted <= 0 ? 1 : std::clamp(spare / wanted, 0.0, 1.0);
}

std::vector<pace_change>
colocation::paces(worker_view const& seen,
                  common::time_point now,
                  common::time_point& over_since) const
{
    std::vector<double> speeds(seen.fills.size(), 1.0);
    bool over = false;
    for (auto const& served : seen.serving)
    {
        over = over || served.headroom < 1;
        double const speed = speed_beside(served, seen.fills);
        for (std::size_t index = 0; index < speeds.size(); ++index)
        {
            bool const disturbs =
                weight(served.image, seen.fills[index].image) >
                settings_.harmless;
            speeds[index] =
                disturbs ? std::min(speeds[index], speed) : speeds[index];
        }
    }
    if (!over)
    {
        over_since = {};
    }
    else if (over_since == common::time_point{})
    {
        over_since = now;
    }
    bool const stop_all = over && now - over_since >= settings_.stop_after;
    std::vector<pace_change> changes;
    for (std::size_t index = 0; index < speeds.size(); ++index)
    {
        auto const percent = static_cast<std::uint32_t>(
            std::lround(stop_all ? 0.0 : speeds[index] * 100));
        auto const before = seen.fills[index].pace;
        auto const change = percent > before ? percent - before
                                             : before - percent;
        bool const to_end = percent == 0 || percent == 100;
        if (change >= settings_.least_change || (to_end && change > 0))
        {
            changes.push_back({seen.fills[index].name, percent});
        }
    }
    return changes;
}

double colocation::expected(worker_view const& seen,
                            std::uint16_t image,
                            double share) const
{
    constexpr double plenty = 100;
    double least = plenty;
    for (auto const& served : seen.serving)
    {
        double taken = weight(served.image, image) * share;
        for (auto const& each : seen.fills)
        {
            taken +=
                weight(served.image, each.image) * each.declared;
        }
        // One that nothing placed here disturbs is no reason to stay away.
        bool const disturbed =
            weight(served.image, image) > settings_.harmless;
        least = disturbed ? std::min(least, served.alone - taken) : least;
    }
    return least;
}

double colocation::worst_weight(worker_view const& seen,
                                std::uint16_t image) const
{
    double worst = 0;
    for (auto const& served : seen.serving)
    {
        worst = std::max(worst, weight(served.image, image));
    }
    return worst;
}

} // namespace fuchsia::core::pool
