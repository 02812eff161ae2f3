#include "adapters/settings/planner_settings.hpp"

#include <utility>

namespace fuchsia::adapters::settings
{

namespace
{

using namespace std::chrono_literals;
using core::common::result_code;
namespace placement = core::placement;

/// Store calls of membership, claims and configuration in each second; the
/// tasks part leaves them room.
constexpr std::uint32_t other_writes_per_second = 4;
/// From a planner's burial to the first renewal by its successor.
constexpr core::common::duration takeover_time = 5s;

void read_tasks(toml_table table, planner_daemon_settings& out)
{
    auto& cell = out.planner.cell;
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
    out.planner.workers.clock_drift_permille =
        static_cast<std::uint32_t>(table.integer_or(
            "clock_drift_permille", cell.clock_drift_permille, 0, 200));
    cell.clock_drift_permille = out.planner.workers.clock_drift_permille;
    out.planner.workers.report_lag = table.duration_or(
        "report_lag_ms", out.planner.workers.report_lag, 0s, 10s);
    out.planner.workers.quarantine_duration = table.duration_or(
        "quarantine_ms", out.planner.workers.quarantine_duration, 1s, 1h);
    if (cell.renew_interval * 2 > cell.lease_duration)
    {
        table.fail(result_code::inconsistent,
                   "lease_ms",
                   "a lease must last at least two renewals, or one lost "
                   "renewal ends its task");
    }
    if (cell.lease_duration - cell.renew_interval <
        out.daemon.membership.fencing_delay + takeover_time)
    {
        table.fail(result_code::inconsistent,
                   "lease_ms",
                   "lease less renew_interval must exceed bury by 5 s, or a "
                   "planner's death ends the tasks of its cells");
    }
    if (cell.send_window > cell.start_window)
    {
        table.fail(result_code::inconsistent,
                   "send_window_ms",
                   "the send window must not exceed the start window");
    }
    table.reject_unknown_keys();
}

void read_placement(toml_table table, planner_daemon_settings& out)
{
    auto& cell = out.planner.cell;
    auto const chosen =
        table.choice_or("policy", 0, {"least-interference", "first-fit"});
    if (chosen == 0)
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
                   "well_below must be under trouble_above, or the guard "
                   "throttles and relaxes in turns");
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
    planner_daemon_settings out;
    auto root = file->root();
    out.daemon = read_daemon_settings(root, true);
    read_tasks(root.table("tasks"), out);
    read_placement(root.table("placement"), out);
    root.reject_unknown_keys();
    out.planner.membership = out.daemon.membership;
    auto const writes = out.daemon.store_writes > 2 * other_writes_per_second
                            ? out.daemon.store_writes - other_writes_per_second
                            : out.daemon.store_writes / 2;
    out.planner.store.writes_per_second = writes;
    out.planner.store.write_burst = writes;
    if (!file->ok())
    {
        reason = file->reason();
        return std::nullopt;
    }
    return out;
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
