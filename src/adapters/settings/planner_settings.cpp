#include "adapters/settings/planner_settings.hpp"

#include <utility>

namespace fuchsia::adapters::settings
{

namespace
{

using namespace std::chrono_literals;
using core::common::result_code;
namespace placement = core::placement;

/// Store writes per second that are reserved for membership, claims and
/// configuration and not available to tasks.
constexpr std::uint32_t reserved_writes_per_second = 4;
/// Time between the fencing of a planner and the first lease renewal by its
/// successor.
constexpr core::common::duration takeover_time = 5s;

void read_tasks(toml_table table, planner_daemon_settings& result)
{
    auto& cell = result.planner.cell;
    cell.lease_duration =
        table.duration_or("lease_ms", cell.lease_duration, 1s, 600s);
    cell.renew_interval =
        table.duration_or("renew_interval_ms", cell.renew_interval, 100ms, 60s);
    cell.start_window =
        table.duration_or("start_window_ms", cell.start_window, 500ms, 60s);
    cell.send_window =
        table.duration_or("send_window_ms", cell.send_window, 100ms, 10s);
    cell.final_report_timeout = table.duration_or(
        "settle_limit_ms", cell.final_report_timeout, 1s, 120s);
    cell.move_delay =
        table.duration_or("move_after_ms", cell.move_delay, 50ms, 60s);
    cell.retention =
        table.duration_or("retention_ms", cell.retention, 10s, 24h);
    cell.ramp_up_duration =
        table.duration_or("ramp_time_ms", cell.ramp_up_duration, 0s, 1h);
    cell.ramp_up_starts_per_second = table.number_or(
        "ramp_starts_per_second", cell.ramp_up_starts_per_second, 0.1, 10000);
    cell.failed_workers_before_stop =
        static_cast<std::uint32_t>(table.integer_or(
            "failed_workers_to_stop", cell.failed_workers_before_stop, 1, 100));
    cell.log.commit_interval = table.duration_or(
        "commit_interval_ms", cell.log.commit_interval, 0ms, 1s);
    result.planner.workers.clock_drift_permille =
        static_cast<std::uint32_t>(table.integer_or(
            "clock_drift_permille", cell.clock_drift_permille, 0, 200));
    cell.clock_drift_permille = result.planner.workers.clock_drift_permille;
    result.planner.workers.report_lag = table.duration_or(
        "report_lag_ms", result.planner.workers.report_lag, 0s, 10s);
    result.planner.workers.quarantine_duration = table.duration_or(
        "quarantine_ms", result.planner.workers.quarantine_duration, 1s, 1h);
    if (cell.renew_interval * 2 > cell.lease_duration)
    {
        table.fail(result_code::inconsistent,
                   "lease_ms",
                   "lease_ms must be at least twice renew_interval_ms, or one "
                   "lost renewal ends its task");
    }
    if (cell.lease_duration - cell.renew_interval <
        result.daemon.membership.fencing_delay + takeover_time)
    {
        table.fail(result_code::inconsistent,
                   "lease_ms",
                   "lease_ms minus renew_interval_ms must be at least 5 s "
                   "above bury_ms, or the failure of a planner ends the "
                   "tasks of its cells");
    }
    if (cell.send_window > cell.start_window)
    {
        table.fail(result_code::inconsistent,
                   "send_window_ms",
                   "send_window_ms must not exceed start_window_ms");
    }
    table.reject_unknown_keys();
}

void read_placement(toml_table table, planner_daemon_settings& result)
{
    auto& cell = result.planner.cell;
    auto const policy_index =
        table.choice_or("policy", 0, {"least-interference", "first-fit"});
    if (policy_index == 0)
    {
        placement::least_interference policy;
        policy.service_weight =
            table.number_or("service_weight", policy.service_weight, 0, 1000);
        policy.utilisation_weight =
            table.number_or("fill_weight", policy.utilisation_weight, 0, 1000);
        cell.policy = policy;
    }
    else
    {
        cell.policy = placement::first_fit{};
    }
    cell.limits.batch_guard_permille =
        static_cast<std::uint32_t>(table.integer_or(
            "batch_guard_permille", cell.limits.batch_guard_permille, 0, 1000));
    auto& guard = cell.guard;
    guard.enabled = table.flag_or("guard", guard.enabled);
    guard.throttle_threshold =
        table.number_or("trouble_above", guard.throttle_threshold, 0.01, 100);
    guard.relax_threshold =
        table.number_or("well_below", guard.relax_threshold, 0.01, 100);
    guard.min_cpu_permille = static_cast<std::uint32_t>(
        table.integer_or("least_permille", guard.min_cpu_permille, 1, 1000));
    if (guard.relax_threshold >= guard.throttle_threshold)
    {
        table.fail(result_code::inconsistent,
                   "well_below",
                   "well_below must be below trouble_above, or the guard "
                   "alternates between throttling and relaxing");
    }
    table.reject_unknown_keys();
}

std::optional<planner_daemon_settings>
read(std::shared_ptr<toml_file> const& file, core::common::failure& reason)
{
    if (!file)
    {
        return std::nullopt;
    }
    planner_daemon_settings result;
    auto root = file->root();
    result.daemon = read_daemon_settings(root, true);
    read_tasks(root.table("tasks"), result);
    read_placement(root.table("placement"), result);
    root.reject_unknown_keys();
    result.planner.membership = result.daemon.membership;
    auto const task_writes =
        result.daemon.store_writes > 2 * reserved_writes_per_second
            ? result.daemon.store_writes - reserved_writes_per_second
            : result.daemon.store_writes / 2;
    result.planner.store.writes_per_second = task_writes;
    result.planner.store.write_burst = task_writes;
    if (!file->ok())
    {
        reason = file->reason();
        return std::nullopt;
    }
    return result;
}

} // namespace

std::optional<planner_daemon_settings>
load_planner_settings(std::string const& path, core::common::failure& reason)
{
    return read(toml_file::open(path, reason), reason);
}

std::optional<planner_daemon_settings> parse_planner_settings(
    std::string_view text, std::string name, core::common::failure& reason)
{
    return read(toml_file::parse(text, std::move(name), reason), reason);
}

} // namespace fuchsia::adapters::settings
