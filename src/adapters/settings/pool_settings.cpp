#include "adapters/settings/pool_settings.hpp"

#include "adapters/settings/toml_reader.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace fuchsia::adapters::settings
{

namespace
{

using namespace std::chrono_literals;

/// Time between the end of a planned stop and the kill of the process by the
/// platform.
constexpr core::common::duration stop_margin = 1500ms;
/// Time for which final states are kept beyond the promised retention.
constexpr core::common::duration retention_margin = 60s;
// Counts may be 2 s older than other answers. Half of that time is reserved for
// their delivery.
constexpr core::common::duration count_delay = 1s;
/// Time by which state counts as outdated before its deadline, since an order
/// that is based on it takes time to arrive.
constexpr core::common::duration order_margin = 400ms;
/// A list of workers counts as outdated after 5/8 of the time within which a
/// leaving worker must get no more tasks. It is read often enough for that.
constexpr int list_age_divisor = 8;
constexpr int list_age_multiplier = 5;
/// A watch resumes from a revision that lies 3/5 of the store's history back.
constexpr int overlap_divisor = 5;
constexpr int overlap_multiplier = 3;
/// Time by which the configuration counts as outdated before its deadline,
/// since an answer to a caller takes time to arrive.
constexpr core::common::duration answer_margin = 50ms;

// Applies the platform's bounds. They tighten the default values and never
// relax them.
void read_bounds(toml_table bounds, core::pool::pool_settings& result)
{
    auto const shortest_ttl =
        bounds.duration_or("shortest_lease_ms", 1000ms, 1ms, 60s);
    result.claim.ttl = std::max(result.claim.ttl, shortest_ttl);
    auto const longest_lease =
        bounds.duration_or("longest_hold_ms", 10s, 500ms, 600s);
    auto& lease = result.owner.workers.lease;
    lease = std::min(lease, longest_lease);
    result.owner.workers.max_lease = longest_lease;
    auto const grace =
        std::chrono::seconds(bounds.integer_or("stop_limit_s", 6, 1, 600));
    result.stop_limit =
        std::min(result.stop_limit,
                 std::max<core::common::duration>(grace - stop_margin, 100ms));
    auto const kept_states =
        std::chrono::seconds(bounds.integer_or("states_kept_s", 120, 1, 86400));
    result.owner.final_state_retention = kept_states + retention_margin;
    auto const harm_limit = bounds.duration_or("harm_ms", 4s, 100ms, 600s);
    auto& stop_after = result.owner.colocation.stop_after;
    stop_after = std::min<core::common::duration>(stop_after, harm_limit / 2);
    auto const visibility_limit =
        bounds.duration_or("visible_ms", 3s, 100ms, 600s);
    auto& max_count_age = result.request_handler.count_age_limit;
    max_count_age = std::min<core::common::duration>(
        max_count_age, visibility_limit + count_delay);
    auto const drain_time = bounds.duration_or("drain_ms", 2s, 500ms, 600s);
    result.owner.list_age_limit =
        drain_time * list_age_multiplier / list_age_divisor;
    auto const change_limit = bounds.duration_or("config_ms", 2s, 1200ms, 600s);
    result.request_handler.configuration_age_limit =
        change_limit - answer_margin;
    result.owner.configuration_age_limit = change_limit - answer_margin;
    auto const history = std::chrono::duration_cast<core::common::duration>(
        std::chrono::duration<double>(
            bounds.number_or("history_s", 20, 0.1, 86400)));
    auto& overlap = result.operators.watch_overlap;
    overlap = std::min(overlap, history * overlap_multiplier / overlap_divisor);
    auto const cancel_limit = bounds.duration_or("cancel_ms", 3s, 1200ms, 600s);
    result.owner.jobs_age_limit = cancel_limit - order_margin;
    bounds.reject_unknown_keys();
}

void read_sharing(toml_table table, core::pool::colocation_settings& result)
{
    result.min_headroom = table.number_or("keep", result.min_headroom, 0, 100);
    result.placement_headroom =
        table.number_or("place_above", result.placement_headroom, 0, 100);
    result.residual_carryover =
        table.number_or("carry", result.residual_carryover, 0, 1);
    result.harmless_weight =
        table.number_or("harmless", result.harmless_weight, 0, 100);
    result.prior_weight = table.number_or("prior", result.prior_weight, 0, 100);
    result.evict_after =
        table.duration_or("evict_after_ms", result.evict_after, 0ms, 60s);
    result.stop_after =
        table.duration_or("stop_after_ms", result.stop_after, 0ms, 60s);
    table.reject_unknown_keys();
}

void read_rebalance(toml_table table, core::pool::rebalance_settings& result)
{
    result.enabled = table.flag_or("enabled", result.enabled);
    result.interval =
        table.duration_or("interval_ms", result.interval, 25ms, 60s);
    result.min_wait =
        table.duration_or("patience_ms", result.min_wait, 0ms, 60s);
    result.min_stay =
        table.duration_or("least_stay_ms", result.min_stay, 0ms, 600s);
    result.clear_period =
        table.duration_or("kept_clear_ms", result.clear_period, 0ms, 600s);
    result.max_moved_tasks = static_cast<std::size_t>(
        table.integer_or("most_tasks",
                         static_cast<std::int64_t>(result.max_moved_tasks),
                         1,
                         1000));
    result.benefit_horizon =
        table.number_or("horizon_s", result.benefit_horizon, 0, 600);
    result.move_cost = table.number_or("move_cost_s", result.move_cost, 0, 600);
    table.reject_unknown_keys();
}

void read_short_job_reserve(toml_table table,
                            core::pool::short_job_reserve_settings& result)
{
    result.enabled = table.flag_or("enabled", result.enabled);
    result.window = table.duration_or("window_ms", result.window, 1s, 600s);
    result.covered_fraction =
        table.number_or("enough", result.covered_fraction, 0, 1);
    table.reject_unknown_keys();
}

// Resources of a machine of size 1: those that one owner needs for 350 workers
// and 1,000 starts per second.
constexpr double reference_cores = 0.5;
constexpr double reference_mbps = 200;
constexpr double max_memory_mb = 1e7;
constexpr double max_descriptors = 1e7;

void read_machine(toml_table table, pool_daemon_settings& result)
{
    result.machine_memory_mb = static_cast<std::uint64_t>(
        table.number_or("memory_mb", 0, 0, max_memory_mb));
    result.machine_descriptors = static_cast<std::uint32_t>(
        table.number_or("descriptors", 0, 0, max_descriptors));
    auto const cores = table.number_or("cores", reference_cores, 0.001, 10'000);
    auto const link = table.number_or("link_mbps", reference_mbps, 0.1, 1e7);
    result.pool.claim.size =
        std::min(cores / reference_cores, link / reference_mbps);
    table.reject_unknown_keys();
}

std::optional<pool_daemon_settings>
parse(std::shared_ptr<toml_file> const& file, core::common::failure& reason)
{
    if (!file)
    {
        return std::nullopt;
    }
    auto root = file->root();
    pool_daemon_settings result;
    result.name = root.text("name");
    result.data_centre = root.text("data_centre");
    result.submissions = root.endpoint("submissions");
    result.readiness = root.endpoint("readiness");
    result.readiness_path = root.text_or("readiness_path", "/readyz");
    result.metrics = root.endpoint("metrics");
    result.store = root.endpoint("store");
    if (!root.text_or("advice", "").empty())
    {
        result.policy = root.endpoint("advice");
    }
    result.log_level = static_cast<ports::severity>(
        root.choice_or("log_level", 1, {"debug", "info", "warning", "error"}));
    read_sharing(root.table("sharing"), result.pool.owner.colocation);
    read_rebalance(root.table("regroup"), result.pool.owner.rebalance);
    read_short_job_reserve(root.table("guaranteed_room"),
                           result.pool.owner.short_job_reserve);
    read_machine(root.table("machine"), result);
    read_bounds(root.table("bounds"), result.pool);
    root.reject_unknown_keys();
    if (!file->ok())
    {
        reason = file->reason();
        return std::nullopt;
    }
    return result;
}

} // namespace

std::optional<pool_daemon_settings>
load_pool_settings(std::string const& path, core::common::failure& reason)
{
    return parse(toml_file::open(path, reason), reason);
}

std::optional<pool_daemon_settings>
parse_pool_settings(std::string_view text,
                    std::string const& name,
                    core::common::failure& reason)
{
    return parse(toml_file::parse(text, name, reason), reason);
}

} // namespace fuchsia::adapters::settings
