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
    std::uint32_t resident = 0;  ///< Tasks placed before the count begins.
    std::uint32_t decisions = 0; ///< Tasks asked for while counting.
    std::uint32_t placed = 0;
    /// Changes with every decision; the same for the same settings.
    std::uint64_t signature = 0;
};

/// Places tasks on a fleet that is full to the given size, ends as many, and
/// learns from each. Deterministic; the caller takes the time.
placement_benchmark_result
run_placement_benchmark(placement_benchmark_settings const& settings);

} // namespace fuchsia::core::placement
