#pragma once

#include "core/common/time.hpp"
#include "core/config/configuration.hpp"
#include "core/placement/interference.hpp"
#include "core/placement/latency_guard.hpp"
#include "core/placement/policy.hpp"
#include "core/tasks/cell_log.hpp"
#include "core/tasks/load_table.hpp"
#include "core/tasks/quota.hpp"
#include "core/tasks/store_calls.hpp"
#include "core/tasks/worker_calls.hpp"
#include "core/tasks/worker_registry.hpp"

#include <cstdint>

namespace fuchsia::core::tasks
{

struct cell_settings
{
    /// A lease that was renewed just before its planner died must outlast the
    /// planner's burial and the takeover, or every failed planner would end
    /// the services of its cells.
    common::duration lease_duration = std::chrono::seconds(15);
    common::duration renew_interval = std::chrono::seconds(4);
    /// Added to a lease before it counts as run out.
    common::duration lease_margin = std::chrono::milliseconds(500);
    std::uint32_t clock_drift_permille = 30;
    /// From the decision to the last moment at which the worker takes it; the
    /// lag of its reports comes on top.
    common::duration start_window = std::chrono::seconds(4);
    /// The same from when the start is sent; bounds how late a delayed start
    /// can come into a data centre that went out meanwhile.
    common::duration send_window = std::chrono::seconds(1);
    common::duration retry_interval = std::chrono::milliseconds(300);
    std::uint32_t checkpoint_tries = 5;
    /// A stopped batch attempt waits this long for a report that says whether
    /// it had finished before it was stopped.
    common::duration final_report_timeout = std::chrono::seconds(10);
    /// A task that finds no room here moves on after this, doubled with each
    /// move up to the limit.
    common::duration move_delay = std::chrono::milliseconds(400);
    common::duration max_move_delay = std::chrono::seconds(30);
    std::uint32_t max_tasks_per_message = 64;
    /// A task that failed on all workers with room waits this long for another
    /// cell before it is tried on one of them again.
    common::duration avoid_time = std::chrono::seconds(5);
    /// An ended job stays in the list this long.
    common::duration retention = std::chrono::hours(1);
    std::size_t max_jobs = 4000;
    /// Evictions under way in one cell while its data centre is out.
    std::uint32_t max_draining = 64;
    /// After a data centre comes back: starts a second at first, and how long
    /// until there is no bound.
    double ramp_up_starts_per_second = 4;
    common::duration ramp_up_duration = std::chrono::seconds(20);
    /// A job that failed on this many different workers is at fault itself.
    std::uint32_t failed_workers_before_stop = 3;
    std::uint32_t max_starts_per_tick = 64;
    placement::policy policy = placement::least_interference{};
    placement::placement_limits limits;
    placement::latency_guard_settings guard;
    cell_log_settings log;
};

/// Counts of one planner since its start, for the metrics.
struct task_counters
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t stopped = 0;
    std::uint64_t lost = 0;
    std::uint64_t refused = 0;
    std::uint64_t unsent = 0;
    std::uint64_t evicted_data_centre = 0;
    std::uint64_t evicted_contract = 0;
    std::uint64_t evicted_guard = 0;
    std::uint64_t evicted_memory = 0;
    std::uint64_t throttled = 0;
    std::uint64_t resumed = 0;
    std::uint64_t moved = 0;
    std::uint64_t takeovers = 0;
};

/// What a cell works with; all of it belongs to the planner's engine.
struct cell_context
{
    common::time_point now;
    /// A proof of membership stands, and the claim is this member's.
    bool may_act = false;
    /// And the configuration was confirmed within the hold time.
    bool may_start = false;
    cell_settings const& settings;
    config::configuration const& config;
    worker_registry& workers;
    quota_manager& quotas;
    load_table& loads;
    store_calls& calls;
    worker_calls& calls_to_workers;
    placement::interference_model& interference_estimates;
    task_counters& counters;
    ports::actions& out;
};

} // namespace fuchsia::core::tasks
