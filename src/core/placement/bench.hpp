#pragma once

#include "core/placement/policy.hpp"

#include <cstdint>

namespace fuchsia::core::placement
{

struct placement_benchmark_settings
{
    std::uint32_t workers = 1000;
    std::uint32_t workers_per_rack = 8;
    std::uint32_t services = 5000;
    std::uint32_t batch_tasks = 5900;
    std::uint32_t classes = 24;
    std::uint32_t decisions = 100000;
    std::uint64_t seed = 1;
    policy placement_policy = least_interference{};
};

struct placement_benchmark_result
{
    std::uint32_t resident = 0; ///< Tasks placed before the measured decisions.
    std::uint32_t decisions = 0; ///< Measured placement decisions.
    std::uint32_t placed = 0;    ///< Measured decisions that placed a task.
    /// Hash of all decisions; equal for equal settings.
    std::uint64_t signature = 0;
};

/// Fills a simulated fleet with the given numbers of tasks. Each measured
/// decision then removes one task, updates the interference model and places a
/// new task. Deterministic; the caller measures the time.
placement_benchmark_result
run_placement_benchmark(placement_benchmark_settings const& settings);

} // namespace fuchsia::core::placement
