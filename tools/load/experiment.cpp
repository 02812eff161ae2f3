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

constexpr duration max_time = 24h;
constexpr double max_rate = 1'000'000;
constexpr std::int64_t max_amount = 1'000'000'000;

std::vector<ports::endpoint>
read_endpoints(toml_table& table,
               std::string_view key,
               std::vector<ports::endpoint> fallback)
{
    if (!table.has(key))
    {
        return fallback;
    }
    std::vector<ports::endpoint> endpoints;
    for (auto const& text : table.texts_or(key, {}))
    {
        auto const endpoint = adapters::http::parse_endpoint(text);
        if (!endpoint)
        {
            table.fail(result_code::out_of_range,
                       key,
                       "'" + text + "' is not an IP address and port");
            return endpoints;
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

std::optional<ports::endpoint>
read_optional(toml_table& table,
              std::string_view key,
              std::optional<ports::endpoint> fallback)
{
    return table.has(key) ? table.endpoint(key) : std::move(fallback);
}

std::vector<phase> read_phases(toml_table& root)
{
    std::vector<phase> phases;
    for (auto& table : root.tables("phase"))
    {
        phase current;
        current.name = table.text_or("name", "");
        current.length = table.duration_or("length_ms", 10s, 1ms, max_time);
        current.factor = table.number_or("factor", 1.0, 0.0, max_rate);
        current.factor_to =
            table.number_or("factor_to", current.factor, 0.0, max_rate);
        table.reject_unknown_keys();
        if (current.name.empty())
        {
            current.name = std::to_string(phases.size() + 1);
        }
        phases.push_back(std::move(current));
    }
    if (phases.empty())
    {
        root.fail(result_code::missing_key,
                  "phase",
                  "at least one phase is required");
    }
    return phases;
}

request_stream read_traffic(toml_table& table)
{
    request_stream stream;
    stream.customer = table.text("customer");
    stream.kind = static_cast<ports::request_class>(
        table.choice_or("class", 0, {"latency-critical", "batch"}));
    stream.label = table.text_or("label",
                                 stream.customer + "/" +
                                     std::string(ports::name_of(stream.kind)));
    auto const method =
        table.choice_or("method", 1, {"GET", "POST", "PUT", "DELETE"});
    constexpr std::array<std::string_view, 4> methods{
        "GET", "POST", "PUT", "DELETE"};
    stream.method = methods[method];
    stream.path = table.text("path");
    stream.rate = table.number_or("rate", 0.0, 0.0, max_rate);
    stream.deadline =
        table.duration_or("deadline_ms", stream.deadline, 1ms, 1h);
    stream.body_bytes = static_cast<std::uint32_t>(
        table.integer_or("body_bytes", stream.body_bytes, 0, 1'000'000));
    stream.sends_key = table.flag_or("key", stream.sends_key);
    stream.direct = table.flag_or("direct", stream.direct);
    stream.poisson = table.choice_or("arrivals", 0, {"poisson", "even"}) == 0;
    stream.from = table.duration_or("from_ms", stream.from, 0ms, max_time);
    stream.until = table.duration_or("until_ms", stream.until, 0ms, max_time);
    stream.burst_size = static_cast<std::uint32_t>(
        table.integer_or("burst_size", 0, 0, 100'000));
    stream.burst_every =
        table.duration_or("burst_every_ms", stream.burst_every, 1ms, 1h);
    if (!stream.path.starts_with('/'))
    {
        table.fail(result_code::out_of_range,
                   "path",
                   "a path must begin with a slash");
    }
    table.reject_unknown_keys();
    return stream;
}

job_stream read_job(toml_table& table)
{
    job_stream stream;
    boost::json::object job;
    job["customer"] = table.text("customer");
    auto const kind = table.choice_or("kind", 1, {"service", "batch"});
    job["kind"] = kind == 0 ? "service" : "batch";
    auto const task_class = table.text("class");
    job["class"] = task_class;
    stream.label = table.text_or("label", task_class);
    job["millicores"] = table.integer("millicores", 0, max_amount);
    job["memory_mb"] = table.integer("memory_mb", 0, max_amount);
    job["accelerators"] = table.integer_or("accelerators", 0, 0, max_amount);
    job["tasks"] = table.integer_or("tasks", 1, 1, 100'000);
    job["work_ms"] = table.integer_or("work_ms", 0, 0, max_amount);
    job["checkpointable"] = table.flag_or("checkpointable", true);
    job["urgent"] = table.flag_or("urgent", false);
    job["data_centre"] = table.text_or("data_centre", "");
    stream.per_minute = table.number_or("per_minute", 0.0, 0.0, max_rate);
    stream.from = table.duration_or("from_ms", stream.from, 0ms, max_time);
    stream.until = table.duration_or("until_ms", stream.until, 0ms, max_time);
    table.reject_unknown_keys();
    stream.body = boost::json::serialize(job);
    return stream;
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
    timed_event event;
    event.at = table.duration_or("at_ms", 0ms, 0ms, max_time);
    auto const to = table.choice_or(
        "to", 0, {"address", "platform", "upstreams", "workers", "planner"});
    auto const endpoint = event_target(table, to, targets);
    event.planner = to == to_planner;
    if (!endpoint)
    {
        table.fail(result_code::missing_key,
                   "to",
                   "[targets] does not define this target");
    }
    event.endpoint = endpoint.value_or(ports::endpoint{});
    event.method = table.text_or("method", event.method);
    event.path = table.text("path");
    event.body = table.text_or("body", "");
    event.with_token = table.flag_or("token", false);
    table.reject_unknown_keys();
    return event;
}

retry_settings read_retries(toml_table table)
{
    retry_settings settings;
    settings.max_attempts =
        static_cast<std::uint32_t>(table.integer_or("tries", 1, 1, 100));
    settings.honour_retry_after =
        table.flag_or("honour_retry_after", settings.honour_retry_after);
    settings.retry_unknown = table.flag_or("unknown", settings.retry_unknown);
    settings.retry_lost = table.flag_or("lost", settings.retry_lost);
    table.reject_unknown_keys();
    return settings;
}

} // namespace

duration experiment::length() const noexcept
{
    duration sum{};
    for (auto const& p : phases)
    {
        sum += p.length;
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
    for (auto& p : phases)
    {
        scale(p.length);
    }
    for (auto& stream : streams)
    {
        scale(stream.from);
        scale(stream.until);
    }
    for (auto& stream : jobs)
    {
        scale(stream.from);
        scale(stream.until);
    }
    for (auto& event : events)
    {
        scale(event.at);
    }
}

target_settings read_targets(toml_table& root, target_settings fallback)
{
    auto table = root.table("targets");
    auto targets = std::move(fallback);
    targets.entries = read_endpoints(table, "entries", targets.entries);
    targets.planners = read_endpoints(table, "planners", targets.planners);
    targets.platform = read_optional(table, "platform", targets.platform);
    targets.upstreams = read_optional(table, "upstreams", targets.upstreams);
    targets.workers = read_optional(table, "workers", targets.workers);
    auto const token_file = table.text_or("token_file", "");
    if (!token_file.empty())
    {
        core::common::failure reason;
        auto const token = adapters::settings::read_file(token_file, reason);
        if (!token)
        {
            table.fail(reason.code, "token_file", reason.why);
        }
        targets.token = token.value_or("");
    }
    targets.check_interval = table.duration_or(
        "check_interval_ms", targets.check_interval, 10ms, 60s);
    targets.check_lag =
        table.duration_or("check_lag_ms", targets.check_lag, 0ms, 60s);
    table.reject_unknown_keys();
    return targets;
}

experiment read_experiment(toml_table& root, target_settings const& targets)
{
    experiment spec;
    spec.name = root.text("name");
    spec.seed = static_cast<std::uint64_t>(
        root.integer_or("seed", 1, 0, 1'000'000'000'000));
    spec.answer_timeout =
        root.duration_or("answer_bound_ms", spec.answer_timeout, 1ms, 600s);
    spec.drain_time = root.duration_or("settle_ms", spec.drain_time, 0ms, 600s);
    spec.max_in_flight = static_cast<std::uint32_t>(
        root.integer_or("max_in_flight", spec.max_in_flight, 1, 60'000));
    spec.targets = read_targets(root, targets);
    spec.retries = read_retries(root.table("retries"));
    spec.phases = read_phases(root);
    for (auto& table : root.tables("traffic"))
    {
        spec.streams.push_back(read_traffic(table));
    }
    for (auto& table : root.tables("job"))
    {
        spec.jobs.push_back(read_job(table));
    }
    for (auto& table : root.tables("event"))
    {
        spec.events.push_back(read_event(table, spec.targets));
    }
    root.reject_unknown_keys();
    return spec;
}

} // namespace fuchsia::tools::load
