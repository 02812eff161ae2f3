#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <string_view>

// How tasks that share a worker disturb each other, and how wrong declared
// sizes are; all fixed by a seed, so that runs can be compared.
namespace fuchsia::standins::workers
{

struct interference_settings
{
    std::uint64_t seed = 1;
    /// Slowdown by a neighbour of the worst class that fills the worker: 2 is
    /// three times as long.
    double strength = 2.0;
    /// Noisy waves: every disturbance is (1 + noise) times as strong while a
    /// wave passes the worker.
    double noise = 0.0;
    core::common::duration wave_period = std::chrono::seconds(20);
    /// True sizes are up to this factor above or below the declared ones.
    double size_error = 4.0;
};

class interference
{
public:
    explicit interference(interference_settings settings);

    /// How much a neighbour of class `by` that uses `share` of the worker
    /// (0 to 1) adds to the slowdown of class `on`.
    double
    disturbance(std::string_view on, std::string_view by, double share) const;
    /// Factor of all disturbance on a worker at a time: above 1 in a wave.
    double noise_factor(std::string_view worker,
                        core::common::time_point now,
                        double extra_noise) const;
    /// True size of a class by its declared size.
    double size_factor(std::string_view task_class) const;

private:
    interference_settings settings_;
};

} // namespace fuchsia::standins::workers
