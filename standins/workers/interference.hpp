#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <string_view>

// Simulated interference between tasks that share a worker, and the error of
// declared sizes. Both are determined by a seed, so that runs can be compared.
namespace fuchsia::standins::workers
{

struct interference_settings
{
    std::uint64_t seed = 1;
    /// Slowdown that a neighbour of the most disturbing class adds if it uses
    /// the whole worker: with 2, a task takes three times as long.
    double strength = 2.0;
    /// Strength of noisy periods: in a worker's noisy period every disturbance
    /// is (1 + noise) times as strong.
    double noise = 0.0;
    /// Length of a period. Each period is noisy on one worker in three.
    core::common::duration wave_period = std::chrono::seconds(20);
    /// Maximum factor by which true sizes are above or below declared ones.
    double size_error = 4.0;
};

class interference
{
public:
    explicit interference(interference_settings settings);

    /// Slowdown that a neighbour of class `neighbour_class`, which uses `share`
    /// of the worker (0 to 1), adds to a task of class `task_class`.
    double disturbance(std::string_view task_class,
                       std::string_view neighbour_class,
                       double share) const;
    /// Factor of all disturbances on a worker at `now`: above 1 in a noisy
    /// period, otherwise 1.
    double noise_factor(std::string_view worker,
                        core::common::time_point now,
                        double extra_noise) const;
    /// Ratio of the true size of a class to its declared size.
    double size_factor(std::string_view task_class) const;

private:
    interference_settings settings_;
};

} // namespace fuchsia::standins::workers
