#include "core/pool/colocation.hpp"

#include "core/pool/target_miss.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace fuchsia::core::pool
{

namespace
{

// Lower bound of the headroom that is read from a tail latency. Lower values
// carry no information, since the queue grows as long as the disturbance lasts.
constexpr double min_tail_headroom = 0.5;
// Maximum error of the headroom that one reading contributes. A single reading
// may be far off where a queue has overflowed.
constexpr double max_error = 1.5;

// Share of a worker below which a neighbour has no observable effect on a tail
// latency.
constexpr double min_observable_share = 0.02;

// Maximum difference of the headroom loss between tasks that count as the least
// disturbed ones.
constexpr double max_loss_difference = 0.15;

// Number of readings that the initial estimate of an image's average headroom
// counts as, and maximum number of readings that the average covers.
constexpr double initial_readings = 50;
constexpr double max_readings = 1500;

// A pair counts as known once its variance is below this fraction of the prior
// variance.
constexpr double known_variance_fraction = 0.2;

std::vector<neighbour_share>
sum_by_image(std::vector<best_effort_view> const& best_effort,
             double best_effort_view::*share)
{
    std::map<std::uint16_t, double> sums;
    for (auto const& view : best_effort)
    {
        sums[view.image] += view.*share;
    }
    std::vector<neighbour_share> shares;
    shares.reserve(sums.size());
    for (auto const& [image, total] : sums)
    {
        shares.push_back({image, total});
    }
    return shares;
}

} // namespace

colocation::colocation(colocation_settings settings)
    : settings_(settings),
      average_headrooms_(settings.max_images,
                         {(1 - settings.average_load) * settings.idle_headroom,
                          initial_readings}),
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

double colocation::weight(std::uint16_t serving_image,
                          std::uint16_t neighbour_image) const
{
    return pairs_[serving_image * settings_.max_images + neighbour_image]
        .weight;
}

std::vector<neighbour_share>
shares_of(std::vector<best_effort_view> const& best_effort)
{
    return sum_by_image(best_effort, &best_effort_view::used);
}

std::vector<neighbour_share>
declared_shares_of(std::vector<best_effort_view> const& best_effort)
{
    return sum_by_image(best_effort, &best_effort_view::declared);
}

std::optional<double> lowest_headroom(worker_view const& view)
{
    std::optional<double> lowest;
    for (auto const& serving_task : view.serving)
    {
        if (serving_task.measured)
        {
            lowest = std::min(lowest.value_or(serving_task.headroom),
                              serving_task.headroom);
        }
    }
    return lowest;
}

double
colocation::headroom_loss(std::uint16_t image,
                          std::vector<neighbour_share> const& neighbours) const
{
    double total = 0;
    for (auto const& neighbour : neighbours)
    {
        total += weight(image, neighbour.image) * neighbour.share;
    }
    return total;
}

// Returns, by image, the difference between what the neighbours of the last
// reading's task used and the mean over its siblings' neighbours.
std::vector<double> const& colocation::deviations_from_mean(
    std::vector<serving_reading const*> const& readings)
{
    deviations_.assign(std::min(numbers_.size(), settings_.max_images), 0);
    auto const count = static_cast<double>(readings.size());
    for (auto const* reading : readings)
    {
        for (auto const& neighbour : reading->neighbours)
        {
            deviations_[neighbour.image] -= neighbour.share / count;
        }
    }
    for (auto const& neighbour : readings.back()->neighbours)
    {
        deviations_[neighbour.image] += neighbour.share;
    }
    return deviations_;
}

// The load of the users is unknown, but common to all tasks of a step. A
// reading is therefore compared with the mean of its siblings. The update is a
// Kalman filter without the covariances between pairs; it distributes the error
// over the neighbours.
void colocation::learn(std::uint16_t image,
                       std::vector<serving_reading const*> const& readings)
{
    double mean = 0;
    for (auto const* reading : readings)
    {
        mean += std::max(reading->headroom, min_tail_headroom);
    }
    mean /= static_cast<double>(readings.size());
    auto const& deviations = deviations_from_mean(readings);
    auto* const row = &pairs_[image * settings_.max_images];
    double error =
        mean - std::max(readings.back()->headroom, min_tail_headroom);
    double total = settings_.reading_variance;
    for (std::size_t neighbour_image = 0; neighbour_image < deviations.size();
         ++neighbour_image)
    {
        auto const deviation = deviations[neighbour_image];
        if (std::abs(deviation) >= min_observable_share)
        {
            error -= row[neighbour_image].weight * deviation;
            total += row[neighbour_image].variance * deviation * deviation;
        }
    }
    error = std::clamp(error, -max_error, max_error);
    for (std::size_t neighbour_image = 0; neighbour_image < deviations.size();
         ++neighbour_image)
    {
        auto const deviation = deviations[neighbour_image];
        if (std::abs(deviation) < min_observable_share)
        {
            continue;
        }
        auto& pair = row[neighbour_image];
        double const gain = pair.variance * deviation / total;
        pair.weight =
            std::clamp(pair.weight + gain * error, 0.0, settings_.max_weight);
        pair.variance = std::max(settings_.min_variance,
                                 pair.variance * (1 - gain * deviation));
    }
}

// Uses the least disturbed tasks only: the loss that is added back for
// neighbours has the error of the estimates of these neighbours.
double colocation::isolated_headroom(
    std::vector<serving_reading const*> const& readings) const
{
    double min_loss = readings.front()->headroom_loss;
    for (auto const* reading : readings)
    {
        min_loss = std::min(min_loss, reading->headroom_loss);
    }
    std::vector<double> estimates;
    estimates.reserve(readings.size());
    for (auto const* reading : readings)
    {
        if (reading->headroom_loss <= min_loss + max_loss_difference)
        {
            estimates.push_back(reading->headroom + reading->headroom_loss);
        }
    }
    auto const middle =
        estimates.begin() + static_cast<std::ptrdiff_t>(estimates.size() / 2);
    std::nth_element(estimates.begin(), middle, estimates.end());
    return *middle;
}

// The users of one task may load it more than those of its siblings for a
// second or so, so a negative deviation is carried over. A positive one may be
// gone at the next reading, and is not relied on.
double colocation::task_isolated_headroom(double headroom,
                                          serving_reading const& last) const
{
    double const deviation = last.headroom + last.headroom_loss - headroom;
    bool const has_reading = last.headroom > 0;
    return has_reading && deviation < 0
               ? headroom + settings_.residual_carryover * deviation
               : headroom;
}

double colocation::load(std::uint16_t image, double headroom) const noexcept
{
    double const idle =
        average_headrooms_[image].mean / (1 - settings_.average_load);
    return headroom <= 0 ? settings_.average_load
                         : std::clamp(1 - headroom / idle, 0.1, 1.0);
}

void colocation::observe_isolated_headroom(std::uint16_t image, double headroom)
{
    auto& average = average_headrooms_[image];
    average.readings = std::min(average.readings + 1, max_readings);
    average.mean += (headroom - average.mean) / average.readings;
}

// Returns the fraction of full speed that the neighbours which disturb
// `serving_task` may have.
double colocation::speed_limit_for(
    serving_view const& serving_task,
    std::vector<best_effort_view> const& best_effort) const
{
    double full_speed_loss = 0;
    for (auto const& neighbour : best_effort)
    {
        double const cost = weight(serving_task.image, neighbour.image);
        full_speed_loss += disturbs(serving_task.image, neighbour.image)
                               ? cost * neighbour.declared
                               : 0;
    }
    double const spare =
        serving_task.task_isolated_headroom - settings_.min_headroom;
    return full_speed_loss <= 0 ? 1
                                : std::clamp(spare / full_speed_loss, 0.0, 1.0);
}

std::vector<speed_limit_change>
colocation::speed_limits(worker_view const& view, double max_speed) const
{
    std::vector<double> speeds(view.best_effort.size(), max_speed);
    for (auto const& serving_task : view.serving)
    {
        double const speed = speed_limit_for(serving_task, view.best_effort);
        for (std::size_t index = 0; index < speeds.size(); ++index)
        {
            if (disturbs(serving_task.image, view.best_effort[index].image))
            {
                speeds[index] = std::min(speeds[index], speed);
            }
        }
    }
    std::vector<speed_limit_change> changes;
    for (std::size_t index = 0; index < speeds.size(); ++index)
    {
        auto const percent =
            static_cast<std::uint32_t>(std::lround(speeds[index] * 100));
        auto const current_limit = view.best_effort[index].speed_limit;
        auto const change = percent > current_limit ? percent - current_limit
                                                    : current_limit - percent;
        bool const reaches_bound = percent == 0 || percent == 100;
        if (change >= settings_.min_speed_change ||
            (reaches_bound && change > 0))
        {
            changes.push_back({view.best_effort[index].name, percent});
        }
    }
    return changes;
}

double colocation::expected_headroom(worker_view const& view,
                                     std::uint16_t image,
                                     double share) const
{
    constexpr double plenty = 100;
    double lowest = plenty;
    for (auto const& serving_task : view.serving)
    {
        double loss = weight(serving_task.image, image) * share;
        for (auto const& neighbour : view.best_effort)
        {
            loss += weight(serving_task.image, neighbour.image) *
                    neighbour.declared;
        }
        // A serving task that `image` does not disturb does not speak against
        // the worker.
        lowest =
            disturbs(serving_task.image, image)
                ? std::min(lowest, serving_task.task_isolated_headroom - loss)
                : lowest;
    }
    return lowest;
}

double colocation::unmeasured_weight(std::uint16_t serving_image,
                                     std::uint16_t neighbour_image) const
{
    return std::max(weight(serving_image, neighbour_image),
                    settings_.min_unmeasured_weight);
}

double colocation::bearable_share(worker_view const& view) const
{
    auto const lowest = lowest_headroom(view);
    if (!lowest)
    {
        return 1;
    }
    double share =
        (*lowest - recovered_headroom) / settings_.min_unmeasured_weight;
    for (auto const& neighbour : view.best_effort)
    {
        share -= neighbour.measured ? 0 : neighbour.declared;
    }
    return std::clamp(share, 0.0, 1.0);
}

// The expected headroom leaves out pairs that count as harmless. Many tasks of
// them at once still take a serving task over its target.
bool colocation::slack_bears(worker_view const& view,
                             std::uint16_t image,
                             double share) const
{
    for (auto const& serving_task : view.serving)
    {
        double loss = unmeasured_weight(serving_task.image, image) * share;
        for (auto const& neighbour : view.best_effort)
        {
            loss += neighbour.measured ? 0
                                       : unmeasured_weight(serving_task.image,
                                                           neighbour.image) *
                                             neighbour.declared;
        }
        if (serving_task.measured &&
            serving_task.headroom - loss < recovered_headroom)
        {
            return false;
        }
    }
    return true;
}

bool colocation::disturbs(std::uint16_t serving_image,
                          std::uint16_t neighbour_image) const
{
    return weight(serving_image, neighbour_image) > settings_.harmless_weight;
}

bool colocation::pair_known(std::uint16_t serving_image,
                            std::uint16_t neighbour_image) const
{
    auto const& pair =
        pairs_[serving_image * settings_.max_images + neighbour_image];
    return pair.variance < known_variance_fraction * settings_.prior_variance;
}

interference_estimates colocation::estimates() const
{
    std::vector<std::string const*> names(settings_.max_images, nullptr);
    for (auto const& [image, number] : numbers_)
    {
        names[number] = &image;
    }
    // All images beyond the maximum share the last number and cannot be told
    // apart.
    names.back() = nullptr;
    interference_estimates result;
    for (std::size_t serving_image = 0; serving_image < names.size();
         ++serving_image)
    {
        auto const& average = average_headrooms_[serving_image];
        if (names[serving_image] == nullptr ||
            average.readings <= initial_readings)
        {
            continue;
        }
        result.headrooms.push_back(
            {*names[serving_image], average.mean, average.readings});
        for (std::size_t neighbour_image = 0; neighbour_image < names.size();
             ++neighbour_image)
        {
            auto const& pair =
                pairs_[serving_image * settings_.max_images + neighbour_image];
            if (names[neighbour_image] != nullptr &&
                pair.variance < settings_.prior_variance)
            {
                result.pairs.push_back({*names[serving_image],
                                        *names[neighbour_image],
                                        pair.weight,
                                        pair.variance});
            }
        }
    }
    return result;
}

void colocation::restore(interference_estimates const& earlier)
{
    for (auto const& record : earlier.headrooms)
    {
        average_headrooms_[number_of(record.image)] = {
            record.mean,
            std::clamp(record.readings, initial_readings, max_readings)};
    }
    for (auto const& record : earlier.pairs)
    {
        auto const serving_image = number_of(record.serving_image);
        auto const neighbour_image = number_of(record.neighbour_image);
        pairs_[serving_image * settings_.max_images + neighbour_image] = {
            std::clamp(record.weight, 0.0, settings_.max_weight),
            std::clamp(record.variance,
                       settings_.min_variance,
                       settings_.prior_variance)};
    }
}

double colocation::worst_weight(worker_view const& view,
                                std::uint16_t image) const
{
    double worst = 0;
    for (auto const& serving_task : view.serving)
    {
        worst = std::max(worst, weight(serving_task.image, image));
    }
    return worst;
}

} // namespace fuchsia::core::pool
