#include "standins/workers/interference.hpp"

#include "core/common/hash.hpp"

#include <cmath>
#include <string>

namespace fuchsia::standins::workers
{

namespace
{

// Returns a pseudo-random number from 0 to 1, determined by text and seed.
double fraction_of(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t steps = 1'000'003;
    auto const step = core::common::hash_of(text, seed) % steps;
    return static_cast<double>(step) / static_cast<double>(steps - 1);
}

constexpr std::uint64_t size_seed_shift = 7'919;
constexpr std::uint64_t noisy_period_every =
    3; // Every third period, on average.

} // namespace

interference::interference(interference_settings settings) : settings_(settings)
{
}

double interference::disturbance(std::string_view task_class,
                                 std::string_view neighbour_class,
                                 double share) const
{
    std::string pair(task_class);
    pair.append(">").append(neighbour_class);
    // The cube makes most pairs disturb each other little and a few strongly.
    double const weight = fraction_of(pair, settings_.seed);
    return settings_.strength * weight * weight * weight * share;
}

double interference::noise_factor(std::string_view worker,
                                  core::common::time_point now,
                                  double extra_noise) const
{
    double const noise = settings_.noise + extra_noise;
    auto const period = now.time_since_epoch() / settings_.wave_period;
    std::string worker_period(worker);
    worker_period.append("@").append(std::to_string(period));
    bool const noisy = core::common::hash_of(worker_period, settings_.seed) %
                           noisy_period_every ==
                       0;
    return noisy ? 1.0 + noise : 1.0;
}

double interference::size_factor(std::string_view task_class) const
{
    double const position =
        fraction_of(task_class, settings_.seed + size_seed_shift);
    return std::pow(settings_.size_error, 2.0 * position - 1.0);
}

} // namespace fuchsia::standins::workers
