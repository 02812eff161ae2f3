#include "standins/settings.hpp"

#include <utility>

namespace fuchsia::standins
{

namespace
{

using namespace std::chrono_literals;
using adapters::settings::toml_table;
using core::common::result_code;

constexpr std::int64_t max_rate = 1'000'000;
constexpr std::int64_t max_keys = 10'000'000;
constexpr std::int64_t max_instances = 5'000;
constexpr std::int64_t max_seed = 1'000'000'000'000;
constexpr std::int64_t max_port = 65'535;

std::uint32_t read_count(toml_table& table,
                         std::string_view key,
                         std::uint32_t fallback,
                         std::int64_t min_value,
                         std::int64_t max_value)
{
    return static_cast<std::uint32_t>(
        table.integer_or(key, fallback, min_value, max_value));
}

std::optional<ports::endpoint> read_platform_address(toml_table& root)
{
    auto table = root.table("platform");
    std::optional<ports::endpoint> address;
    if (table.has("address"))
    {
        address = table.endpoint("address");
    }
    table.reject_unknown_keys();
    return address;
}

std::vector<platform::probe_target> read_probes(toml_table& root)
{
    std::vector<platform::probe_target> probes;
    for (auto& table : root.tables("probe"))
    {
        platform::probe_target probe;
        probe.id = table.text("id");
        probe.name = table.text("name");
        probe.endpoint = table.endpoint("address");
        probe.data_centre = table.text_or("data_centre", "");
        table.reject_unknown_keys();
        probes.push_back(std::move(probe));
    }
    return probes;
}

upstreams::service_time read_service_time(toml_table& root,
                                          std::string_view key,
                                          upstreams::service_time fallback)
{
    constexpr double longest_ms = 600'000;
    auto table = root.table(key);
    auto time = fallback;
    time.median_ms =
        table.number_or("median_ms", time.median_ms, 0.01, longest_ms);
    time.sigma = table.number_or("sigma", time.sigma, 0.0, 5.0);
    time.max_ms = table.number_or("max_ms", time.max_ms, 0.01, longest_ms);
    if (time.max_ms < time.median_ms)
    {
        table.fail(result_code::inconsistent,
                   "max_ms",
                   "max_ms is less than median_ms");
    }
    table.reject_unknown_keys();
    return time;
}

void read_pool(toml_table table, upstreams::upstream_server_settings& settings)
{
    auto& pool = settings.pool;
    settings.address = table.text_or("address", settings.address);
    settings.first_port = static_cast<std::uint16_t>(
        table.integer_or("first_port", settings.first_port, 0, max_port));
    pool.count = read_count(table, "count", pool.count, 1, max_instances);
    pool.slots = read_count(table, "slots", pool.slots, 1, 10'000);
    settings.executor.connections = read_count(
        table, "connections", settings.executor.connections, 1, 10'000);
    settings.executor.response_bytes = read_count(
        table, "answer_bytes", settings.executor.response_bytes, 0, 1'000'000);
    pool.data_centres = table.texts_or("data_centres", {});
    pool.per_machine =
        read_count(table, "per_machine", pool.per_machine, 1, 1'000);
    pool.interference =
        table.number_or("interference", pool.interference, 0.0, 100.0);
    pool.seed =
        static_cast<std::uint64_t>(table.integer_or("seed", 1, 0, max_seed));
    pool.leaving_grace =
        table.duration_or("leaving_grace_ms", pool.leaving_grace, 0ms, 600s);
    pool.keys = static_cast<std::size_t>(
        table.integer_or("keys", 1'000'000, 1, max_keys));
    settings.register_interval = table.duration_or(
        "register_interval_ms", settings.register_interval, 50ms, 60s);
    if (settings.first_port + pool.count > max_port + 1)
    {
        table.fail(
            result_code::inconsistent,
            "first_port",
            "not enough ports from first_port upwards for all executors");
    }
    table.reject_unknown_keys();
}

void read_worker_pool(toml_table table, workers::worker_pool_settings& pool)
{
    pool.count = read_count(table, "count", pool.count, 1, max_instances);
    pool.per_rack = read_count(table, "per_rack", pool.per_rack, 1, 1'000);
    pool.data_centres = table.texts_or("data_centres", {});
    pool.capacity.millicores =
        table.integer_or("millicores", pool.capacity.millicores, 1, 10'000'000);
    pool.capacity.memory_mb = table.integer_or(
        "memory_mb", pool.capacity.memory_mb, 1, 1'000'000'000);
    pool.accelerator_every = read_count(
        table, "accelerator_every", pool.accelerator_every, 0, 1'000);
    pool.accelerators =
        read_count(table, "accelerators", pool.accelerators, 0, 1'000);
    pool.report_interval = table.duration_or(
        "report_interval_ms", pool.report_interval, 100ms, 60s);
    pool.report_lag =
        table.duration_or("report_lag_ms", pool.report_lag, 0ms, 600s);
    pool.ended_retention =
        table.duration_or("ended_listed_ms", pool.ended_retention, 1s, 600s);
    pool.late_start_grace = table.duration_or(
        "late_start_grace_ms", pool.late_start_grace, 0ms, 600s);
    pool.clock_drift_ppm =
        read_count(table, "clock_drift_ppm", pool.clock_drift_ppm, 0, 50'000);
    pool.service_latency_us = static_cast<std::uint64_t>(
        table.integer_or("service_latency_us", 5'000, 1, 60'000'000));
    pool.failing_classes = table.texts_or("broken_classes", {});
    table.reject_unknown_keys();
}

void read_interference(toml_table table,
                       workers::interference_settings& settings)
{
    settings.seed =
        static_cast<std::uint64_t>(table.integer_or("seed", 1, 0, max_seed));
    settings.strength =
        table.number_or("strength", settings.strength, 0.0, 1'000.0);
    settings.noise = table.number_or("noise", settings.noise, 0.0, 1'000.0);
    settings.wave_period = table.duration_or(
        "wave_period_ms", settings.wave_period, 100ms, 3'600s);
    settings.size_error =
        table.number_or("size_error", settings.size_error, 1.0, 100.0);
    table.reject_unknown_keys();
}

} // namespace

ports::severity read_log_level(toml_table& root)
{
    auto table = root.table("log");
    auto const level =
        table.choice_or("level", 1, {"debug", "info", "warning", "error"});
    table.reject_unknown_keys();
    return static_cast<ports::severity>(level);
}

platform::platform_settings read_platform_settings(toml_table& root)
{
    platform::platform_settings settings;
    settings.listen = root.endpoint("listen");
    settings.probe_interval = root.duration_or(
        "probe_interval_ms", settings.probe_interval, 50ms, 60s);
    auto store = root.table("store");
    settings.store.writes_per_second = static_cast<double>(
        store.integer_or("writes_per_second", 500, 1, max_rate));
    settings.store.reads_per_second = static_cast<double>(
        store.integer_or("reads_per_second", 2'000, 1, max_rate));
    settings.store.limits.keys = static_cast<std::size_t>(
        store.integer_or("keys", 500'000, 1, max_keys));
    store.reject_unknown_keys();
    auto instances = root.table("instances");
    settings.instances.lifetime = instances.duration_or(
        "lifetime_ms", settings.instances.lifetime, 200ms, 600s);
    instances.reject_unknown_keys();
    settings.probes = read_probes(root);
    root.reject_unknown_keys();
    return settings;
}

upstreams::upstream_server_settings read_upstream_settings(toml_table& root)
{
    upstreams::upstream_server_settings settings;
    settings.control = root.endpoint("control");
    settings.platform = read_platform_address(root);
    read_pool(root.table("executors"), settings);
    settings.pool.latency_critical = read_service_time(
        root, "latency-critical", settings.pool.latency_critical);
    settings.pool.batch = read_service_time(root, "batch", settings.pool.batch);
    for (auto& table : root.tables("path"))
    {
        auto prefix = table.text("prefix");
        auto const factor = table.number_or("factor", 1.0, 0.001, 1'000.0);
        settings.pool.paths.push_back({std::move(prefix), factor});
        table.reject_unknown_keys();
    }
    root.reject_unknown_keys();
    return settings;
}

workers::worker_server_settings read_worker_settings(toml_table& root)
{
    workers::worker_server_settings settings;
    settings.listen = root.endpoint("listen");
    settings.platform = read_platform_address(root);
    read_worker_pool(root.table("workers"), settings.pool);
    read_interference(root.table("interference"), settings.pool.interference);
    root.reject_unknown_keys();
    return settings;
}

pool::pool_server_settings read_pool_settings(toml_table& root)
{
    pool::pool_server_settings settings;
    settings.store = root.endpoint("store");
    settings.first_worker_port = static_cast<std::uint16_t>(
        root.integer("first_worker_port", 1, max_port));
    settings.workers =
        read_count(root, "workers", settings.workers, 1, max_instances);
    settings.host = root.text_or("host", settings.host);
    settings.prefix = root.text_or("prefix", settings.prefix);
    root.reject_unknown_keys();
    return settings;
}

links::link_server_settings read_link_settings(toml_table& root)
{
    links::link_server_settings settings;
    settings.control = root.endpoint("control");
    for (auto& table : root.tables("link"))
    {
        links::link_settings link;
        link.name = table.text("name");
        link.listen = table.endpoint("listen");
        link.target = table.endpoint("target");
        link.delay = table.duration_or("delay_us", link.delay, 0ms, 60s);
        table.reject_unknown_keys();
        settings.links.push_back(std::move(link));
    }
    root.reject_unknown_keys();
    return settings;
}

} // namespace fuchsia::standins
