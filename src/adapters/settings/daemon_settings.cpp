#include "adapters/settings/daemon_settings.hpp"

#include <utility>

namespace fuchsia::adapters::settings
{

namespace
{

using namespace std::chrono_literals;
using core::common::result_code;

// Maximum clock drift between two instances. `hold_ms` and `bury_ms` are
// measured on different clocks.
constexpr std::int64_t max_drift_percent = 3;
constexpr std::size_t min_token_bytes = 16;

void read_self(toml_table table, daemon_settings& result)
{
    result.name = table.text("name");
    result.data_centre = table.text("data_centre");
    result.http_listen = table.endpoint("http_listen");
    result.peer_listen = table.endpoint("peer_listen");
    if (result.name.empty() || result.name.find('/') != std::string::npos)
    {
        table.fail(result_code::out_of_range,
                   "name",
                   "the name must not be empty or contain a slash");
    }
    table.reject_unknown_keys();
}

void read_platform(toml_table table, daemon_settings& result, bool with_workers)
{
    result.store = table.endpoint("store");
    if (with_workers)
    {
        result.workers = table.endpoint("workers");
    }
    result.store_reads = static_cast<std::uint32_t>(
        table.integer_or("store_reads_per_second", 20, 4, 1000));
    result.store_writes = static_cast<std::uint32_t>(
        table.integer_or("store_writes_per_second", 20, 4, 1000));
    result.store_timeout =
        table.duration_or("store_timeout_ms", 1000ms, 50ms, 60s);
    result.list_interval =
        table.duration_or("list_interval_ms", 1000ms, 100ms, 60s);
    table.reject_unknown_keys();
}

void read_security(toml_table table, daemon_settings& result)
{
    auto const path = table.text("token_file");
    result.allowed_addresses =
        table.texts_or("allowed_addresses", {"127.0.0.0/8"});
    if (!path.empty())
    {
        core::common::failure reason;
        auto const token = read_file(path, reason);
        if (!token)
        {
            table.fail(
                reason.code, "token_file", reason.where + " " + reason.why);
        }
        else if (token->size() < min_token_bytes)
        {
            table.fail(result_code::out_of_range,
                       "token_file",
                       "the token has fewer than 16 characters");
        }
        result.token = token.value_or("");
    }
    table.reject_unknown_keys();
}

void read_membership(toml_table table, daemon_settings& result)
{
    auto& timing = result.membership;
    timing.heartbeat_interval = table.duration_or(
        "beat_interval_ms", timing.heartbeat_interval, 50ms, 10s);
    timing.proof_lifetime =
        table.duration_or("hold_ms", timing.proof_lifetime, 200ms, 60s);
    timing.fencing_delay =
        table.duration_or("bury_ms", timing.fencing_delay, 300ms, 120s);
    timing.pause_limit =
        table.duration_or("pause_limit_ms", timing.pause_limit, 50ms, 60s);
    timing.witness_count = static_cast<std::uint32_t>(
        table.integer_or("witness_count", timing.witness_count, 1, 15));
    timing.platform_list_replaces_consent =
        table.flag_or("list_stands_in", timing.platform_list_replaces_consent);
    if (timing.heartbeat_interval * 2 > timing.proof_lifetime)
    {
        table.fail(result_code::inconsistent,
                   "hold_ms",
                   "hold_ms must be at least twice beat_interval_ms, or one "
                   "lost heartbeat stops the member");
    }
    if (timing.proof_lifetime * (100 + 2 * max_drift_percent) / 100 >=
        timing.fencing_delay)
    {
        table.fail(result_code::inconsistent,
                   "bury_ms",
                   "bury_ms must exceed hold_ms by more than 6 percent, or a "
                   "member may act after it has been fenced");
    }
    if (timing.pause_limit >= timing.proof_lifetime)
    {
        table.fail(result_code::inconsistent,
                   "pause_limit_ms",
                   "pause_limit_ms must be below hold_ms");
    }
    table.reject_unknown_keys();
}

void read_log(toml_table table, daemon_settings& result)
{
    result.log_level = static_cast<ports::severity>(
        table.choice_or("level", 1, {"debug", "info", "warning", "error"}));
    table.reject_unknown_keys();
}

} // namespace

daemon_settings read_daemon_settings(toml_table& root, bool with_workers)
{
    daemon_settings result;
    read_self(root.table("self"), result);
    read_platform(root.table("platform"), result, with_workers);
    read_security(root.table("security"), result);
    read_membership(root.table("membership"), result);
    read_log(root.table("log"), result);
    return result;
}

} // namespace fuchsia::adapters::settings
