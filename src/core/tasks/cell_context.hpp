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
    /// Lease of an attempt. A lease renewed just before its planner failed must
    /// outlast the fencing of that planner and the takeover of its cells, or
    /// every planner failure would end the services of its cells.
    common::duration lease_duration = std::chrono::seconds(15);
    /// Time between two renewals of the leases on one worker.
    common::duration renew_interval = std::chrono::seconds(4);
    /// Added to a lease before it counts as expired.
    common::duration lease_margin = std::chrono::milliseconds(500);
    /// Bound on how much faster or slower a worker's clock runs than the
    /// planner's.
    std::uint32_t clock_drift_permille = 30;
    /// Time from the decision to start an attempt until the last moment at
    /// which the worker accepts the start. The report lag of the worker is
    /// added.
    common::duration start_window = std::chrono::seconds(4);
    /// Time from sending a start until the last moment at which the worker
    /// accepts it. Bounds how late a delayed start can take effect in a data
    /// centre that has been taken out of service meanwhile.
    common::duration send_window = std::chrono::seconds(1);
    /// Time between two attempts of a worker call.
    common::duration retry_interval = std::chrono::milliseconds(300);
    /// Maximum number of checkpoint calls before an attempt is stopped without
    /// a checkpoint.
    std::uint32_t checkpoint_tries = 5;
    /// Maximum time that a stopped batch attempt waits for a report that shows
    /// whether it had finished before it was stopped.
    common::duration final_report_timeout = std::chrono::seconds(10);
    /// Time after which a task that does not fit on any worker of the cell is
    /// moved to another cell. Doubles with each move, up to `max_move_delay`.
    common::duration move_delay = std::chrono::milliseconds(400);
    common::duration max_move_delay = std::chrono::seconds(30);
    /// Maximum number of tasks in one inbox message.
    std::uint32_t max_tasks_per_message = 64;
    /// Time for which a task that failed on all workers with free capacity
    /// waits to be moved before it is started on one of these workers again.
    common::duration avoid_time = std::chrono::seconds(5);
    /// Time for which an ended job stays in the job list.
    common::duration retention = std::chrono::hours(1);
    /// Maximum number of jobs in one cell, ended jobs included.
    std::size_t max_jobs = 4000;
    /// Maximum number of concurrent evictions in one cell while its data centre
    /// is out of service.
    std::uint32_t max_draining = 64;
    /// Starts per second that are allowed at first when a data centre returns
    /// to service.
    double ramp_up_starts_per_second = 4;
    /// Time from the return of a data centre until starts are unlimited.
    common::duration ramp_up_duration = std::chrono::seconds(20);
    /// Number of different workers on which a job must fail before it is
    /// stopped as the cause of its failures.
    std::uint32_t failed_workers_before_stop = 3;
    /// Maximum number of starts decided in one tick of a cell.
    std::uint32_t max_starts_per_tick = 64;
    placement::policy policy = placement::least_interference{};
    placement::placement_limits limits;
    placement::latency_guard_settings guard;
    cell_log_settings log;
};

/// Event counts of one planner since its start, for the metrics.
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

/// Time, permissions and shared modules passed to a cell. The planner engine
/// owns all referenced objects.
struct cell_context
{
    common::time_point now;
    /// Whether the membership proof is valid and this planner holds the claim
    /// on the cell.
    bool may_act = false;
    /// Whether attempts may be started: `may_act` holds, the configuration is
    /// fresh and the planner is not stopping.
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
