#pragma once

#include "core/placement/interference.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::core::placement
{

struct latency_guard_settings
{
    bool enabled = true;
    /// Shares of the latency target: a worker's batch tasks are throttled above
    /// the first and relaxed below the second; in between nothing changes.
    double throttle_threshold = 0.9;
    double relax_threshold = 0.6;
    /// Numbers of consecutive reports above or below the threshold before the
    /// guard acts, so that a single late report has no effect.
    std::uint32_t reports_to_act = 2;
    std::uint32_t reports_to_relax = 5;
    /// Minimum share of its cores that a throttled task keeps. If the latency
    /// is still too high then, the task is evicted.
    std::uint32_t min_cpu_permille = 250;
};

/// Batch task on a worker, which the guard may throttle or evict.
struct guarded_task
{
    std::string name;
    std::uint16_t task_class = 0;
    double cpu_share = 0; ///< Last reported share of the worker's cores.
    std::uint32_t cpu_limit_permille = 1000;
};

/// Service on a worker: its tail latency and the target in its contract.
struct guarded_service
{
    std::uint16_t task_class = 0;
    std::uint64_t latency_p99_us = 0;
    std::uint64_t target_us = 0;
};

enum class guard_action : std::uint8_t
{
    throttle,
    evict,
    relax,
};

struct guard_step
{
    guard_action action = guard_action::throttle;
    std::string task;
    std::uint32_t cpu_limit_permille = 1000;
};

/// Protects the tail latencies of the services on one worker. With each report
/// it takes at most one step against the batch task that interferes with them
/// most: first it throttles the task, then it evicts it.
class latency_guard
{
public:
    explicit latency_guard(latency_guard_settings settings);

    std::optional<guard_step>
    on_report(std::vector<guarded_service> const& services,
              std::vector<guarded_task> const& batch,
              interference_model const& model);

private:
    latency_guard_settings settings_;
    /// Consecutive reports above `throttle_threshold`.
    std::uint32_t violating_reports_ = 0;
    /// Consecutive reports below `relax_threshold`.
    std::uint32_t healthy_reports_ = 0;
};

} // namespace fuchsia::core::placement
