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

/// A planned stop ends this long before the process would be killed.
constexpr core::common::duration stop_reserve = 1500ms;
/// Final states are kept this long beyond what submitters were promised.
constexpr core::common::duration final_reserve = 60s;
// Counts may be 2 s older than other answers; half of that is left for their
// way.
constexpr core::common::duration count_slack = 1s;
/// What was heard is taken for old this long before it must have effect: an
/// order by it takes time to arrive.
constexpr core::common::duration order_reserve = 400ms;
/// A list of workers is read often enough to be given up after this part of the
/// time in which a leaving worker must be spared.
constexpr int drain_parts = 8;
constexpr int list_parts = 5;
/// A watch goes on from what lies this part of the store's history back.
constexpr int history_parts = 5;
constexpr int overlap_parts = 3;
/// The same of an answer to a caller.
constexpr core::common::duration answer_reserve = 50ms;

// The platform's bounds narrow the defaults; they never widen them.
void read_bounds(toml_table bounds, core::pool::pool_settings& out)
{
    auto const shortest =
        bounds.duration_or("shortest_lease_ms", 1000ms, 1ms, 60s);
    out.claim.ttl = std::max(out.claim.ttl, shortest);
    auto const longest =
        bounds.duration_or("longest_hold_ms", 10s, 500ms, 600s);
    auto& lease = out.owner.workers.lease;
    lease = std::min(lease, longest);
    auto const grace =
        std::chrono::seconds(bounds.integer_or("stop_limit_s", 6, 1, 600));
    out.stop_limit =
        std::min(out.stop_limit,
                 std::max<core::common::duration>(grace - stop_reserve, 100ms));
    auto const kept =
        std::chrono::seconds(bounds.integer_or("states_kept_s", 120, 1, 86400));
    out.owner.final_state_retention = kept + final_reserve;
    auto const harm = bounds.duration_or("harm_ms", 4s, 100ms, 600s);
    auto& stop_after = out.owner.colocation.stop_after;
    stop_after = std::min<core::common::duration>(stop_after, harm / 2);
    auto const visible = bounds.duration_or("visible_ms", 3s, 100ms, 600s);
    auto& limit = out.request_handler.count_age_limit;
    limit = std::min<core::common::duration>(limit, visible + count_slack);
    auto const drain = bounds.duration_or("drain_ms", 2s, 500ms, 600s);
    out.owner.list_age_limit = drain * list_parts / drain_parts;
    auto const change = bounds.duration_or("config_ms", 2s, 1200ms, 600s);
    out.request_handler.configuration_age_limit = change - answer_reserve;
    out.owner.configuration_age_limit = change - answer_reserve;
    auto const history = std::chrono::duration_cast<core::common::duration>(
        std::chrono::duration<double>(
            bounds.number_or("history_s", 20, 0.1, 86400)));
    auto& overlap = out.operators.watch_overlap;
    overlap = std::min(overlap, history * overlap_parts / history_parts);
    auto const cancel = bounds.duration_or("cancel_ms", 3s, 1200ms, 600s);
    out.owner.jobs_age_limit = cancel - order_reserve;
    bounds.reject_unknown_keys();
}

void read_sharing(toml_table table, core::pool::colocation_settings& out)
{
    out.min_headroom = table.number_or("keep", out.min_headroom, 0, 100);
    out.placement_headroom =
        table.number_or("place_above", out.placement_headroom, 0, 100);
    out.residual_carryover =
        table.number_or("carry", out.residual_carryover, 0, 1);
    out.harmless_weight =
        table.number_or("harmless", out.harmless_weight, 0, 100);
    out.prior_weight = table.number_or("prior", out.prior_weight, 0, 100);
    out.evict_after =
        table.duration_or("evict_after_ms", out.evict_after, 0ms, 60s);
    out.stop_after =
        table.duration_or("stop_after_ms", out.stop_after, 0ms, 60s);
    table.reject_unknown_keys();
}

void read_regroup(toml_table table, core::pool::rebalance_settings& out)
{
    out.enabled = table.flag_or("enabled", out.enabled);
    out.interval = table.duration_or("interval_ms", out.interval, 25ms, 60s);
    out.min_wait = table.duration_or("patience_ms", out.min_wait, 0ms, 60s);
    out.min_stay = table.duration_or("least_stay_ms", out.min_stay, 0ms, 600s);
    out.clear_period =
        table.duration_or("kept_clear_ms", out.clear_period, 0ms, 600s);
    out.max_moved_tasks = static_cast<std::size_t>(table.integer_or(
        "most_tasks", static_cast<std::int64_t>(out.max_moved_tasks), 1, 1000));
    out.benefit_horizon =
        table.number_or("horizon_s", out.benefit_horizon, 0, 600);
    out.move_cost = table.number_or("move_cost_s", out.move_cost, 0, 600);
    table.reject_unknown_keys();
}

void read_guaranteed(toml_table table,
                     core::pool::short_job_reserve_settings& out)
{
    out.enabled = table.flag_or("enabled", out.enabled);
    out.window = table.duration_or("window_ms", out.window, 1s, 600s);
    out.covered_fraction =
        table.number_or("enough", out.covered_fraction, 0, 1);
    table.reject_unknown_keys();
}

// What one owner of 350 workers and 1,000 starts a second needs.
constexpr double cores_of_size_one = 0.5;
constexpr double mbps_of_size_one = 200;

void read_machine(toml_table table, core::pool::claim_settings& out)
{
    auto const cores =
        table.number_or("cores", cores_of_size_one, 0.001, 10'000);
    auto const link = table.number_or("link_mbps", mbps_of_size_one, 0.1, 1e7);
    out.size = std::min(cores / cores_of_size_one, link / mbps_of_size_one);
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
    pool_daemon_settings made;
    made.name = root.text("name");
    made.data_centre = root.text("data_centre");
    made.submissions = root.endpoint("submissions");
    made.readiness = root.endpoint("readiness");
    made.readiness_path = root.text_or("readiness_path", "/readyz");
    made.metrics = root.endpoint("metrics");
    made.store = root.endpoint("store");
    if (!root.text_or("advice", "").empty())
    {
        made.policy = root.endpoint("advice");
    }
    made.log_level = static_cast<ports::severity>(
        root.choice_or("log_level", 1, {"debug", "info", "warning", "error"}));
    read_sharing(root.table("sharing"), made.pool.owner.colocation);
    read_regroup(root.table("regroup"), made.pool.owner.rebalance);
    read_guaranteed(root.table("guaranteed_room"),
                    made.pool.owner.short_job_reserve);
    read_machine(root.table("machine"), made.pool.claim);
    read_bounds(root.table("bounds"), made.pool);
    root.reject_unknown_keys();
    if (!file->ok())
    {
        reason = file->reason();
        return std::nullopt;
    }
    return made;
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
