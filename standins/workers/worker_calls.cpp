#include "standins/workers/worker_calls.hpp"

#include "core/common/json.hpp"

#include <array>
#include <limits>

namespace fuchsia::standins::workers
{

namespace
{

using core::common::json_reader;
using core::common::result_code;
namespace json = boost::json;

constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t largest_attempt = 1'000'000'000;
constexpr std::int64_t whole_permille = 1'000;
constexpr std::size_t max_renewed = 4'096;

std::string_view name_of(ports::attempt_state state) noexcept
{
    constexpr std::array<std::string_view, 5> names{
        "running", "finished", "failed", "stopped", "lease_expired"};
    return names[static_cast<std::size_t>(state)];
}

std::uint64_t natural(json_reader& reader, std::string_view key)
{
    return static_cast<std::uint64_t>(reader.integer(key, 0, largest));
}

ports::task_attempt read_attempt(json_reader& reader)
{
    ports::task_attempt what;
    what.task = reader.text("task");
    what.attempt = static_cast<std::uint32_t>(
        reader.integer("attempt", 1, largest_attempt));
    return what;
}

ports::worker_start read_start(json_reader& reader)
{
    ports::worker_start start;
    start.attempt_id = read_attempt(reader);
    start.declared.millicores = reader.integer("millicores", 0, largest);
    start.declared.memory_mb = reader.integer("memory_mb", 0, largest);
    start.declared.accelerators = reader.integer("accelerators", 0, largest);
    start.task_class = reader.text("class");
    start.service = reader.flag_or("service", false);
    start.work_ms =
        static_cast<std::uint64_t>(reader.integer_or("work_ms", 0, 0, largest));
    start.checkpoint = reader.text_or("checkpoint", "");
    start.start_before_ms = natural(reader, "start_before_ms");
    start.lease_until_ms = natural(reader, "lease_until_ms");
    return start;
}

ports::worker_renew read_renew(json_reader& reader)
{
    ports::worker_renew renew;
    renew.lease_until_ms = natural(reader, "lease_until_ms");
    auto const* attempts = reader.array("attempts");
    if (attempts == nullptr || attempts->size() > max_renewed)
    {
        reader.fail(result_code::out_of_range,
                    "attempts",
                    "an array of at most 4096 attempts is expected");
        return renew;
    }
    for (auto const& each : *attempts)
    {
        if (!each.is_object())
        {
            reader.fail(
                result_code::wrong_type, "attempts", "an object is expected");
            return renew;
        }
        json_reader one(each.as_object(), "attempt");
        renew.attempts.push_back(read_attempt(one));
        if (!one.ok())
        {
            reader.fail(one.reason().code, "attempts", one.reason().why);
        }
    }
    return renew;
}

ports::worker_throttle read_throttle(json_reader& reader)
{
    auto what = read_attempt(reader);
    auto const permille = reader.integer("permille", 1, whole_permille);
    return {std::move(what), static_cast<std::uint32_t>(permille)};
}

std::optional<ports::worker_operation> read_call(std::string_view operation,
                                                 json_reader& reader)
{
    if (operation == "start")
    {
        return read_start(reader);
    }
    if (operation == "renew")
    {
        return read_renew(reader);
    }
    if (operation == "throttle")
    {
        return read_throttle(reader);
    }
    if (operation == "checkpoint")
    {
        return ports::worker_checkpoint{read_attempt(reader)};
    }
    if (operation == "stop")
    {
        return ports::worker_stop{read_attempt(reader)};
    }
    return std::nullopt;
}

json::object attempt_json(ports::task_attempt const& what)
{
    return {{"task", what.task}, {"attempt", what.attempt}};
}

} // namespace

std::optional<ports::worker_operation> parse_call(std::string_view operation,
                                                  std::string_view body,
                                                  core::common::failure& reason)
{
    auto const object =
        core::common::parse_json_object(body, std::string(operation), reason);
    if (!object)
    {
        return std::nullopt;
    }
    json_reader reader(*object, std::string(operation));
    auto call = read_call(operation, reader);
    if (!call || !reader.ok())
    {
        reason = call ? reader.reason()
                      : core::common::failure{result_code::unknown_path,
                                              std::string(operation),
                                              "no such call"};
        return std::nullopt;
    }
    return call;
}

json::object to_json(ports::worker_instance const& worker)
{
    bool const live = worker.state == ports::instance_state::live;
    return {{"id", worker.id},
            {"rack", worker.rack},
            {"data_centre", worker.data_centre},
            {"millicores", worker.capacity.millicores},
            {"memory_mb", worker.capacity.memory_mb},
            {"accelerators", worker.capacity.accelerators},
            {"state", live ? "live" : "leaving"}};
}

json::object to_json(ports::worker_report const& report)
{
    json::array attempts;
    for (auto const& each : report.attempts)
    {
        auto object = attempt_json(each.attempt_id);
        object["state"] = name_of(each.state);
        object["millicores"] = each.used.millicores;
        object["memory_mb"] = each.used.memory_mb;
        object["accelerators"] = each.used.accelerators;
        object["latency_p99_us"] = each.latency_p99_us;
        object["work_done_ms"] = each.work_done_ms;
        object["why"] = each.reason;
        attempts.push_back(std::move(object));
    }
    return {{"worker", report.worker},
            {"sequence", report.sequence},
            {"clock_ms", report.clock_ms},
            {"attempts", std::move(attempts)}};
}

json::object to_json(call_result const& result)
{
    if (!result.done)
    {
        return {{"why", result.why}};
    }
    json::object object;
    if (!result.checkpoint.empty())
    {
        object["checkpoint"] = result.checkpoint;
    }
    json::array gone;
    for (auto const& what : result.unknown_attempts)
    {
        gone.push_back(attempt_json(what));
    }
    object["gone"] = std::move(gone);
    return object;
}

} // namespace fuchsia::standins::workers
