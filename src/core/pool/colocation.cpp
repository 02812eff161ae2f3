#include "core/pool/colocation.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace fuchsia::core::pool
{

namespace
{

// Below this a tail tells nothing more: the queue grows as long as the
// disturbance lasts.
constexpr double least_headroom = 0.5;
// Headroom; a single reading may be far off where a queue has overflowed.
constexpr double most_error = 1.5;

// Of a worker; less of a neighbour can't be seen in a tail.
constexpr double least_share = 0.02;

// Headroom by which the least disturbed tasks may differ.
constexpr double like_the_least = 0.15;

// Readings that the first estimate of an image's usual headroom counts as, and
// the most that the mean looks back on.
constexpr double first_readings = 50;
constexpr double most_readings = 1500;

// A pair counts as learned once this part of its first variance is left.
constexpr double known_part = 0.2;

std::vector<neighbour_share>
sum_by_image(std::vector<best_effort_view> const& fills,
             double best_effort_view::*share)
{
    std::map<std::uint16_t, double> sums;
    for (auto const& each : fills)
    {
        sums[each.image] += each.*share;
    }
    std::vector<neighbour_share> made;
    made.reserve(sums.size());
    for (auto const& [image, total] : sums)
    {
        made.push_back({image, total});
    }
    return made;
}

} // namespace

colocation::colocation(colocation_settings settings)
    : settings_(settings),
      usual_(settings.max_images,
             {(1 - settings.average_load) * settings.idle_headroom,
              first_readings}),
      pairs_(settings.max_images * settings.max_images,
             {settings.prior_weight, settings.prior_variance})
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

std::vector<neighbour_share>
shares_of(std::vector<best_effort_view> const& fills)
{
    return sum_by_image(fills, &best_effort_view::used);
}

std::vector<neighbour_share>
declared_shares_of(std::vector<best_effort_view> const& fills)
{
    return sum_by_image(fills, &best_effort_view::declared);
}

double
colocation::headroom_loss(std::uint16_t image,
                          std::vector<neighbour_share> const& beside) const
{
    double total = 0;
    for (auto const& each : beside)
    {
        total += weight(image, each.image) * each.share;
    }
    return total;
}

// What the neighbours of the last reading's task used beyond the mean of its
// siblings' neighbours, by image.
std::vector<double> const&
colocation::beyond_the_mean(std::vector<serving_reading const*> const& readings)
{
    beyond_.assign(std::min(numbers_.size(), settings_.max_images), 0);
    auto const count = static_cast<double>(readings.size());
    for (auto const* each : readings)
    {
        for (auto const& other : each->neighbours)
        {
            beyond_[other.image] -= other.share / count;
        }
    }
    for (auto const& other : readings.back()->neighbours)
    {
        beyond_[other.image] += other.share;
    }
    return beyond_;
}

// The load of their users is common to all tasks of a step, and unknown: a
// reading is held against the mean of its siblings. A Kalman filter without the
// terms between pairs shares the error out among the neighbours.
void colocation::learn(std::uint16_t image,
                       std::vector<serving_reading const*> const& readings)
{
    double mean = 0;
    for (auto const* each : readings)
    {
        mean += std::max(each->headroom, least_headroom);
    }
    mean /= static_cast<double>(readings.size());
    auto const& beyond = beyond_the_mean(readings);
    auto* const row = &pairs_[image * settings_.max_images];
    double error = mean - std::max(readings.back()->headroom, least_headroom);
    double total = settings_.reading_variance;
    for (std::size_t other = 0; other < beyond.size(); ++other)
    {
        auto const share = beyond[other];
        if (std::abs(share) >= least_share)
        {
            error -= row[other].weight * share;
            total += row[other].variance * share * share;
        }
    }
    error = std::clamp(error, -most_error, most_error);
    for (std::size_t other = 0; other < beyond.size(); ++other)
    {
        auto const share = beyond[other];
        if (std::abs(share) < least_share)
        {
            continue;
        }
        auto& pair = row[other];
        double const gain = pair.variance * share / total;
        pair.weight =
            std::clamp(pair.weight + gain * error, 0.0, settings_.max_weight);
        pair.variance = std::max(settings_.min_variance,
                                 pair.variance * (1 - gain * share));
    }
}

// The least disturbed tasks tell the load best: what is added back for
// neighbours is as wrong as what was learned of them.
double colocation::isolated_headroom(
    std::vector<serving_reading const*> const& readings) const
{
    double least = readings.front()->headroom_loss;
    for (auto const* each : readings)
    {
        least = std::min(least, each->headroom_loss);
    }
    std::vector<double> estimates;
    estimates.reserve(readings.size());
    for (auto const* each : readings)
    {
        if (each->headroom_loss <= least + like_the_least)
        {
            estimates.push_back(each->headroom + each->headroom_loss);
        }
    }
    auto const middle =
        estimates.begin() + static_cast<std::ptrdiff_t>(estimates.size() / 2);
    std::nth_element(estimates.begin(), middle, estimates.end());
    return *middle;
}

// The users of one task may press harder than those of its siblings for a
// second or so. That they press less is not counted on.
double colocation::task_isolated_headroom(double alone,
                                          serving_reading const& last) const
{
    double const beyond = last.headroom + last.headroom_loss - alone;
    bool const read = last.headroom > 0;
    return read && beyond < 0 ? alone + settings_.residual_carryover * beyond
                              : alone;
}

double colocation::load(std::uint16_t image, double alone) const noexcept
{
    double const idle = usual_[image].mean / (1 - settings_.average_load);
    return alone <= 0 ? settings_.average_load
                      : std::clamp(1 - alone / idle, 0.1, 1.0);
}

void colocation::observe_isolated_headroom(std::uint16_t image, double alone)
{
    auto& usual = usual_[image];
    usual.readings = std::min(usual.readings + 1, most_readings);
    usual.mean += (alone - usual.mean) / usual.readings;
}

// Share of their speed that the neighbours which disturb `served` may have.
double
colocation::speed_beside(serving_view const& served,
                         std::vector<best_effort_view> const& fills) const
{
    double wanted = 0;
    for (auto const& each : fills)
    {
        double const cost = weight(served.image, each.image);
        wanted += disturbs(served.image, each.image) ? cost * each.declared : 0;
    }
    double const spare = served.task_isolated_headroom - settings_.min_headroom;
    return wanted <= 0 ? 1 : std::clamp(spare / wanted, 0.0, 1.0);
}

std::vector<speed_limit_change>
colocation::speed_limits(worker_view const& seen,
                         common::time_point now,
                         common::time_point& over_since) const
{
    std::vector<double> speeds(seen.best_effort.size(), 1.0);
    bool over = false;
    for (auto const& served : seen.serving)
    {
        over = over || served.headroom < 1;
        double const speed = speed_beside(served, seen.best_effort);
        for (std::size_t index = 0; index < speeds.size(); ++index)
        {
            if (disturbs(served.image, seen.best_effort[index].image))
            {
                speeds[index] = std::min(speeds[index], speed);
            }
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
    std::vector<speed_limit_change> changes;
    for (std::size_t index = 0; index < speeds.size(); ++index)
    {
        auto const percent = static_cast<std::uint32_t>(
            std::lround(stop_all ? 0.0 : speeds[index] * 100));
        auto const before = seen.best_effort[index].speed_limit;
        auto const change =
            percent > before ? percent - before : before - percent;
        bool const to_end = percent == 0 || percent == 100;
        if (change >= settings_.min_speed_change || (to_end && change > 0))
        {
            changes.push_back({seen.best_effort[index].name, percent});
        }
    }
    return changes;
}

double colocation::expected_headroom(worker_view const& seen,
                                     std::uint16_t image,
                                     double share) const
{
    constexpr double plenty = 100;
    double least = plenty;
    for (auto const& served : seen.serving)
    {
        double taken = weight(served.image, image) * share;
        for (auto const& each : seen.best_effort)
        {
            taken += weight(served.image, each.image) * each.declared;
        }
        // One that nothing placed here disturbs is no reason to stay away.
        least = disturbs(served.image, image)
                    ? std::min(least, served.task_isolated_headroom - taken)
                    : least;
    }
    return least;
}

bool colocation::disturbs(std::uint16_t served, std::uint16_t beside) const
{
    return weight(served, beside) > settings_.harmless_weight;
}

bool colocation::pair_known(std::uint16_t served, std::uint16_t beside) const
{
    auto const& pair = pairs_[served * settings_.max_images + beside];
    return pair.variance < known_part * settings_.prior_variance;
}

interference_estimates colocation::estimates() const
{
    std::vector<std::string const*> names(settings_.max_images, nullptr);
    for (auto const& [image, number] : numbers_)
    {
        names[number] = &image;
    }
    // Images behind the last number share it, and are told apart by nobody.
    names.back() = nullptr;
    interference_estimates made;
    for (std::size_t served = 0; served < names.size(); ++served)
    {
        auto const& usual = usual_[served];
        if (names[served] == nullptr || usual.readings <= first_readings)
        {
            continue;
        }
        made.headrooms.push_back({*names[served], usual.mean, usual.readings});
        for (std::size_t other = 0; other < names.size(); ++other)
        {
            auto const& pair = pairs_[served * settings_.max_images + other];
            if (names[other] != nullptr &&
                pair.variance < settings_.prior_variance)
            {
                made.pairs.push_back({*names[served],
                                      *names[other],
                                      pair.weight,
                                      pair.variance});
            }
        }
    }
    return made;
}

void colocation::restore(interference_estimates const& earlier)
{
    for (auto const& each : earlier.headrooms)
    {
        usual_[number_of(each.image)] = {
            each.mean,
            std::clamp(each.readings, first_readings, most_readings)};
    }
    for (auto const& each : earlier.pairs)
    {
        auto const served = number_of(each.served);
        auto const beside = number_of(each.beside);
        pairs_[served * settings_.max_images + beside] = {
            std::clamp(each.weight, 0.0, settings_.max_weight),
            std::clamp(each.variance,
                       settings_.min_variance,
                       settings_.prior_variance)};
    }
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
