#include "standins/workers/interference.hpp"

#include "core/common/hash.hpp"

#include <cmath>
#include <string>

namespace fuchsia::standins::workers
{

namespace
{

// A number from 0 to 1 that is the same for the same text and seed.
double fraction_of(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t steps = 1'000'003;
    auto const step = core::common::hash_of(text, seed) % steps;
    return static_cast<double>(step) / static_cast<double>(steps - 1);
}

constexpr std::uint64_t size_seed_shift = 7'919;
constexpr std::uint64_t wave_share = 3; // One period in so many is noisy.

} // namespace

interference::interference(interference_settings settings) : settings_(settings)
{
}

double interference::disturbance(std::string_view on,
                                 std::string_view by,
                                 double share) const
{
    std::string pair(on);
    pair.append(">").append(by);
    // Cubed: most pairs get on well, and a few disturb each other badly.
    double const weight = fraction_of(pair, settings_.seed);
    return settings_.strength * weight * weight * weight * share;
}

double interference::noise_factor(std::string_view worker,
                                  core::common::time_point now,
                                  double extra_noise) const
{
    double const noise = settings_.noise + extra_noise;
    auto const period = now.time_since_epoch() / settings_.wave_period;
    std::string place(worker);
    place.append("@").append(std::to_string(period));
    bool const noisy =
        core::common::hash_of(place, settings_.seed) % wave_share == 0;
    return noisy ? 1.0 + noise : 1.0;
}

double interference::size_factor(std::string_view task_class) const
{
    double const place =
        fraction_of(task_class, settings_.seed + size_seed_shift);
    return std::pow(settings_.size_error, 2.0 * place - 1.0);
}

} // namespace fuchsia::standins::workers
