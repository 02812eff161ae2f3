#include "adapters/settings/entry_settings.hpp"

#include <utility>

namespace fuchsia::adapters::settings
{

namespace
{

using namespace std::chrono_literals;
using core::common::result_code;
namespace requests = core::requests;
namespace upstreams = core::upstreams;

constexpr std::int64_t megabyte = 1024 * 1024;

void read_http(toml_table table, entry_daemon_settings& result)
{
    result.http.header_bytes = static_cast<std::uint32_t>(table.integer_or(
        "header_bytes", result.http.header_bytes, 1024, 256 * 1024));
    result.http.body_bytes = static_cast<std::uint64_t>(
        table.integer_or("body_bytes",
                         static_cast<std::int64_t>(result.http.body_bytes),
                         1024,
                         2 * megabyte));
    result.http.connections = static_cast<std::uint32_t>(
        table.integer_or("connections", result.http.connections, 1, 65'536));
    result.http_memory_mb = static_cast<std::uint64_t>(
        table.integer_or("memory_mb",
                         static_cast<std::int64_t>(result.http_memory_mb),
                         1,
                         1'000'000));
    result.http.idle =
        table.duration_or("idle_ms", result.http.idle, 100ms, 1h);
    result.max_waiting_requests = static_cast<std::uint32_t>(table.integer_or(
        "waiting_requests", result.max_waiting_requests, 1, 65'536));
    table.reject_unknown_keys();
}

void read_upstreams(toml_table table, entry_daemon_settings& result)
{
    auto& engine = result.engine.upstreams;
    engine.max_execution =
        table.duration_or("max_execution_ms", engine.max_execution, 100ms, 1h);
    engine.report_slack =
        table.duration_or("report_slack_ms", engine.report_slack, 0ms, 60s);
    engine.initial_share =
        table.number_or("cold_share", engine.initial_share, 0.01, 1.0);
    if (table.choice_or("choice", 0, {"weighted_two_choices", "round_robin"}) ==
        1)
    {
        engine.choice = upstreams::round_robin{};
    }
    result.upstreams.connections_per_endpoint = static_cast<std::uint32_t>(
        table.integer_or("connections", 60, 1, 10'000));
    result.upstreams.connect_timeout =
        table.duration_or("connect_timeout_ms", 1s, 10ms, 60s);
    result.upstreams.idle_timeout =
        table.duration_or("idle_timeout_ms", 30s, 100ms, 1h);
    result.upstreams.body_bytes = static_cast<std::uint64_t>(
        table.integer_or("answer_bytes", 2 * megabyte, 1024, 3 * megabyte));
    // The upstream slot of a request is released after `max_execution` at the
    // latest, so the client waits for a late response for the same time.
    result.upstreams.drain_timeout = engine.max_execution;
    table.reject_unknown_keys();
}

void read_contracts(toml_table table, entry_daemon_settings& result)
{
    auto& slices = result.engine.slices;
    slices.lifetime =
        table.duration_or("slice_valid_ms", slices.lifetime, 200ms, 1h);
    slices.renew_interval =
        table.duration_or("slice_renew_ms", slices.renew_interval, 20ms, 10min);
    slices.max_share_permille = static_cast<std::uint32_t>(table.integer_or(
        "slice_cap_permille", slices.max_share_permille, 1, 1000));
    result.engine.slice_timeout = table.duration_or(
        "slice_patience_ms", result.engine.slice_timeout, 0ms, 10s);
    if (slices.renew_interval * 2 > slices.lifetime)
    {
        table.fail(result_code::inconsistent,
                   "slice_renew_ms",
                   "slice_valid_ms must be at least twice slice_renew_ms, or "
                   "one lost message stops the customer");
    }
    table.reject_unknown_keys();
}

void read_keys(toml_table table, entry_daemon_settings& result)
{
    auto& keys = result.engine.keys;
    keys.retention = table.duration_or("keep_ms", keys.retention, 1s, 24h);
    keys.max_keys = static_cast<std::size_t>(table.integer_or(
        "max_keys", static_cast<std::int64_t>(keys.max_keys), 1, 10'000'000));
    keys.max_bytes = static_cast<std::size_t>(
        table.integer_or("max_mb", 64, 1, 4096) * megabyte);
    result.engine.max_delivery_time = table.duration_or(
        "sending_bound_ms", result.engine.max_delivery_time, 100ms, 10min);
    if (result.engine.max_delivery_time > keys.retention)
    {
        table.fail(result_code::inconsistent,
                   "keep_ms",
                   "keep_ms must be at least sending_bound_ms, or the key of "
                   "a late delivery has been dropped already");
    }
    table.reject_unknown_keys();
}

void read_queue(toml_table table, entry_daemon_settings& result)
{
    auto& engine = result.engine;
    auto const caution = static_cast<std::uint32_t>(
        table.integer_or("caution_permille", 1000, 100, 10'000));
    auto const bound =
        static_cast<std::size_t>(table.integer_or("bound", 100, 0, 1'000'000));
    if (table.choice_or("admission", 0, {"deadline", "fixed_bound"}) == 0)
    {
        engine.admission = requests::deadline_admission{caution};
    }
    else
    {
        engine.admission = requests::fixed_bound_admission{bound};
    }
    engine.max_queued = static_cast<std::size_t>(
        table.integer_or("max_queued", 2'000, 1, 1'000'000));
    engine.max_open_requests = static_cast<std::size_t>(
        table.integer_or("max_open", 20'000, 1, 1'000'000));
    engine.max_open_bytes = static_cast<std::size_t>(
        table.integer_or("max_open_mb", 64, 1, 4096) * megabyte);
    table.reject_unknown_keys();
}

void read_retries(toml_table table, entry_daemon_settings& result)
{
    requests::retry_budget budget;
    budget.share_permille = static_cast<std::uint32_t>(
        table.integer_or("share_permille", budget.share_permille, 0, 1000));
    budget.max_saved = static_cast<std::uint32_t>(
        table.integer_or("most_saved", budget.max_saved, 0, 10'000));
    requests::fixed_retries fixed;
    fixed.max_retries = static_cast<std::uint32_t>(
        table.integer_or("fixed", fixed.max_retries, 0, 3));
    if (table.choice_or("policy", 0, {"budget", "fixed"}) == 0)
    {
        result.engine.retries = budget;
    }
    else
    {
        result.engine.retries = fixed;
    }
    table.reject_unknown_keys();
}

void read_stop(toml_table table, entry_daemon_settings& result)
{
    auto& engine = result.engine;
    engine.balancer_lag =
        table.duration_or("balancer_lag_ms", engine.balancer_lag, 0ms, 10min);
    engine.handover_stage_timeout = table.duration_or(
        "handover_patience_ms", engine.handover_stage_timeout, 10ms, 10min);
    engine.stop_timeout =
        table.duration_or("stop_patience_ms", engine.stop_timeout, 1s, 1h);
    table.reject_unknown_keys();
}

} // namespace

std::optional<entry_daemon_settings>
load_entry_settings(std::string const& path, core::common::failure& reason)
{
    auto const file = toml_file::open(path, reason);
    if (!file)
    {
        return std::nullopt;
    }
    return parse_entry_settings(*file, reason);
}

std::optional<entry_daemon_settings>
parse_entry_settings(toml_file& file, core::common::failure& reason)
{
    auto root = file.root();
    entry_daemon_settings result;
    result.daemon = read_daemon_settings(root, false);
    read_http(root.table("http"), result);
    read_upstreams(root.table("upstreams"), result);
    read_contracts(root.table("contracts"), result);
    read_keys(root.table("keys"), result);
    read_queue(root.table("queue"), result);
    read_retries(root.table("retries"), result);
    read_stop(root.table("stop"), result);
    root.reject_unknown_keys();
    if (!file.ok())
    {
        reason = file.reason();
        return std::nullopt;
    }
    result.engine.membership = result.daemon.membership;
    return result;
}

} // namespace fuchsia::adapters::settings
