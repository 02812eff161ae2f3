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
    /// A service is in trouble above this share of its latency target, and
    /// well again below the lower one; between them nothing changes.
    double throttle_threshold = 0.9;
    double relax_threshold = 0.6;
    /// Reports in a row that must agree before anything is done: one late
    /// report is no wave.
    std::uint32_t reports_to_act = 2;
    std::uint32_t reports_to_relax = 5;
    /// A throttled task keeps at least this share of its cores; a worker that
    /// is still in trouble then loses it.
    std::uint32_t min_cpu_permille = 250;
};

/// One batch task on the worker, as the guard sees it.
struct guarded_task
{
    std::string name;
    std::uint16_t task_class = 0;
    double cpu_share = 0; ///< Of the worker's cores, as last seen.
    std::uint32_t cpu_limit_permille = 1000;
};

/// One service on the worker: its tail and the target of its contract.
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

/// Guards the tails of one worker's services: at each report it takes at most
/// one step, throttling first and evicting after, against the batch task that
/// disturbs them most.
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
    std::uint32_t violating_reports_ = 0; ///< Reports in a row.
    std::uint32_t healthy_reports_ = 0;
};

} // namespace fuchsia::core::placement
