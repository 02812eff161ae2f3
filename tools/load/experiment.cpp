#include "tools/load/experiment.hpp"

#include "adapters/http/message.hpp"

#include <boost/json.hpp>
#include <utility>

namespace fuchsia::tools::load
{

namespace
{

using namespace std::chrono_literals;
using adapters::settings::toml_table;
using core::common::duration;
using core::common::result_code;

constexpr duration longest = 24h;
constexpr double max_rate = 1'000'000;
constexpr std::int64_t max_amount = 1'000'000'000;

std::vector<ports::endpoint> read_endpoints(toml_table& table,
                                            std::string_view key,
                                            std::vector<ports::endpoint> old)
{
    if (!table.has(key))
    {
        return old;
    }
    std::vector<ports::endpoint> read;
    for (auto const& text : table.texts_or(key, {}))
    {
        auto const where = adapters::http::parse_endpoint(text);
        if (!where)
        {
            table.fail(result_code::out_of_range,
                       key,
                       "'" + text + "' is no IP number and port");
            return read;
        }
        read.push_back(*where);
    }
    return read;
}

std::optional<ports::endpoint> read_optional(toml_table& table,
                                             std::string_view key,
                                             std::optional<ports::endpoint> old)
{
    return table.has(key) ? table.endpoint(key) : std::move(old);
}

std::vector<phase> read_phases(toml_table& root)
{
    std::vector<phase> phases;
    for (auto& table : root.tables("phase"))
    {
        phase read;
        read.name = table.text_or("name", "");
        read.length = table.duration_or("length_ms", 10s, 1ms, longest);
        read.factor = table.number_or("factor", 1.0, 0.0, max_rate);
        read.factor_to =
            table.number_or("factor_to", read.factor, 0.0, max_rate);
        table.reject_unknown_keys();
        if (read.name.empty())
        {
            read.name = std::to_string(phases.size() + 1);
        }
        phases.push_back(std::move(read));
    }
    if (phases.empty())
    {
        root.fail(result_code::missing_key, "phase", "one phase is needed");
    }
    return phases;
}

request_stream read_traffic(toml_table& table)
{
    request_stream read;
    read.customer = table.text("customer");
    read.kind = static_cast<ports::request_class>(
        table.choice_or("class", 0, {"latency-critical", "batch"}));
    read.label = table.text_or(
        "label", read.customer + "/" + std::string(ports::name_of(read.kind)));
    auto const method =
        table.choice_or("method", 1, {"GET", "POST", "PUT", "DELETE"});
    constexpr std::array<std::string_view, 4> methods{
        "GET", "POST", "PUT", "DELETE"};
    read.method = methods[method];
    read.path = table.text("path");
    read.rate = table.number_or("rate", 0.0, 0.0, max_rate);
    read.deadline = table.duration_or("deadline_ms", read.deadline, 1ms, 1h);
    read.body_bytes = static_cast<std::uint32_t>(
        table.integer_or("body_bytes", read.body_bytes, 0, 1'000'000));
    read.sends_key = table.flag_or("key", read.sends_key);
    read.direct = table.flag_or("direct", read.direct);
    read.poisson = table.choice_or("arrivals", 0, {"poisson", "even"}) == 0;
    read.from = table.duration_or("from_ms", read.from, 0ms, longest);
    read.until = table.duration_or("until_ms", read.until, 0ms, longest);
    read.burst_size = static_cast<std::uint32_t>(
        table.integer_or("burst_size", 0, 0, 100'000));
    read.burst_every =
        table.duration_or("burst_every_ms", read.burst_every, 1ms, 1h);
    if (!read.path.starts_with('/'))
    {
        table.fail(
            result_code::out_of_range, "path", "a path begins with a slash");
    }
    table.reject_unknown_keys();
    return read;
}

job_stream read_job(toml_table& table)
{
    job_stream read;
    boost::json::object job;
    job["customer"] = table.text("customer");
    auto const kind = table.choice_or("kind", 1, {"service", "batch"});
    job["kind"] = kind == 0 ? "service" : "batch";
    auto const task_class = table.text("class");
    job["class"] = task_class;
    read.label = table.text_or("label", task_class);
    job["millicores"] = table.integer("millicores", 0, max_amount);
    job["memory_mb"] = table.integer("memory_mb", 0, max_amount);
    job["accelerators"] = table.integer_or("accelerators", 0, 0, max_amount);
    job["tasks"] = table.integer_or("tasks", 1, 1, 100'000);
    job["work_ms"] = table.integer_or("work_ms", 0, 0, max_amount);
    job["checkpointable"] = table.flag_or("checkpointable", true);
    job["urgent"] = table.flag_or("urgent", false);
    job["data_centre"] = table.text_or("data_centre", "");
    read.per_minute = table.number_or("per_minute", 0.0, 0.0, max_rate);
    read.from = table.duration_or("from_ms", read.from, 0ms, longest);
    read.until = table.duration_or("until_ms", read.until, 0ms, longest);
    table.reject_unknown_keys();
    read.body = boost::json::serialize(job);
    return read;
}

constexpr std::size_t to_planner = 4;

std::optional<ports::endpoint>
event_target(toml_table& table, std::size_t to, target_settings const& targets)
{
    switch (to)
    {
    case 1:
        return targets.platform;
    case 2:
        return targets.upstreams;
    case 3:
        return targets.workers;
    case to_planner:
        return targets.planners.empty()
                   ? std::nullopt
                   : std::optional<ports::endpoint>(targets.planners.front());
    default:
        return table.endpoint("address");
    }
}

timed_event read_event(toml_table& table, target_settings const& targets)
{
    timed_event read;
    read.at = table.duration_or("at_ms", 0ms, 0ms, longest);
    auto const to = table.choice_or(
        "to", 0, {"address", "platform", "upstreams", "workers", "planner"});
    auto const where = event_target(table, to, targets);
    read.planner = to == to_planner;
    if (!where)
    {
        table.fail(result_code::missing_key, "to", "[targets] doesn't name it");
    }
    read.where = where.value_or(ports::endpoint{});
    read.method = table.text_or("method", read.method);
    read.path = table.text("path");
    read.body = table.text_or("body", "");
    read.with_token = table.flag_or("token", false);
    table.reject_unknown_keys();
    return read;
}

retry_settings read_retries(toml_table table)
{
    retry_settings read;
    read.max_attempts =
        static_cast<std::uint32_t>(table.integer_or("tries", 1, 1, 100));
    read.honour_retry_after =
        table.flag_or("honour_retry_after", read.honour_retry_after);
    read.retry_unknown = table.flag_or("unknown", read.retry_unknown);
    read.retry_lost = table.flag_or("lost", read.retry_lost);
    table.reject_unknown_keys();
    return read;
}

} // namespace

duration experiment::length() const noexcept
{
    duration sum{};
    for (auto const& each : phases)
    {
        sum += each.length;
    }
    return sum;
}

std::size_t experiment::phase_at(duration at) const noexcept
{
    std::size_t number = 0;
    while (number + 1 < phases.size() && at >= phases[number].length)
    {
        at -= phases[number].length;
        ++number;
    }
    return number;
}

void experiment::scale_to(duration wanted)
{
    double const factor = std::chrono::duration<double>(wanted) /
                          std::chrono::duration<double>(length());
    auto const scale = [factor](duration& value)
    {
        value = duration(static_cast<std::int64_t>(
            static_cast<double>(value.count()) * factor));
    };
    for (auto& each : phases)
    {
        scale(each.length);
    }
    for (auto& each : streams)
    {
        scale(each.from);
        scale(each.until);
    }
    for (auto& each : jobs)
    {
        scale(each.from);
        scale(each.until);
    }
    for (auto& each : events)
    {
        scale(each.at);
    }
}

target_settings read_targets(toml_table& root, target_settings fallback)
{
    auto table = root.table("targets");
    auto read = std::move(fallback);
    read.entries = read_endpoints(table, "entries", read.entries);
    read.planners = read_endpoints(table, "planners", read.planners);
    read.platform = read_optional(table, "platform", read.platform);
    read.upstreams = read_optional(table, "upstreams", read.upstreams);
    read.workers = read_optional(table, "workers", read.workers);
    auto const token_file = table.text_or("token_file", "");
    if (!token_file.empty())
    {
        core::common::failure reason;
        auto const token = adapters::settings::read_file(token_file, reason);
        if (!token)
        {
            table.fail(reason.code, "token_file", reason.why);
        }
        read.token = token.value_or("");
    }
    read.check_interval =
        table.duration_or("check_interval_ms", read.check_interval, 10ms, 60s);
    read.check_lag =
        table.duration_or("check_lag_ms", read.check_lag, 0ms, 60s);
    table.reject_unknown_keys();
    return read;
}

experiment read_experiment(toml_table& root, target_settings const& targets)
{
    experiment read;
    read.name = root.text("name");
    read.seed = static_cast<std::uint64_t>(
        root.integer_or("seed", 1, 0, 1'000'000'000'000));
    read.answer_timeout =
        root.duration_or("answer_bound_ms", read.answer_timeout, 1ms, 600s);
    read.drain_time = root.duration_or("settle_ms", read.drain_time, 0ms, 600s);
    read.max_in_flight = static_cast<std::uint32_t>(
        root.integer_or("max_in_flight", read.max_in_flight, 1, 60'000));
    read.targets = read_targets(root, targets);
    read.retries = read_retries(root.table("retries"));
    read.phases = read_phases(root);
    for (auto& table : root.tables("traffic"))
    {
        read.streams.push_back(read_traffic(table));
    }
    for (auto& table : root.tables("job"))
    {
        read.jobs.push_back(read_job(table));
    }
    for (auto& table : root.tables("event"))
    {
        read.events.push_back(read_event(table, read.targets));
    }
    root.reject_unknown_keys();
    return read;
}

} // namespace fuchsia::tools::load
