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

constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t max_attempt = 1'000'000'000;
constexpr std::int64_t max_permille = 1'000;
constexpr std::size_t max_renewed = 4'096;

std::string_view name_of(ports::attempt_state state) noexcept
{
    constexpr std::array<std::string_view, 5> names{
        "running", "finished", "failed", "stopped", "lease_expired"};
    return names[static_cast<std::size_t>(state)];
}

std::uint64_t read_unsigned(json_reader& reader, std::string_view key)
{
    return static_cast<std::uint64_t>(reader.integer(key, 0, max_integer));
}

ports::task_attempt read_attempt(json_reader& reader)
{
    ports::task_attempt attempt;
    attempt.task = reader.text("task");
    attempt.attempt =
        static_cast<std::uint32_t>(reader.integer("attempt", 1, max_attempt));
    return attempt;
}

ports::worker_start read_start(json_reader& reader)
{
    ports::worker_start start;
    start.attempt_id = read_attempt(reader);
    start.declared.millicores = reader.integer("millicores", 0, max_integer);
    start.declared.memory_mb = reader.integer("memory_mb", 0, max_integer);
    start.declared.accelerators =
        reader.integer("accelerators", 0, max_integer);
    start.task_class = reader.text("class");
    start.service = reader.flag_or("service", false);
    start.work_ms = static_cast<std::uint64_t>(
        reader.integer_or("work_ms", 0, 0, max_integer));
    start.checkpoint = reader.text_or("checkpoint", "");
    start.start_before_ms = read_unsigned(reader, "start_before_ms");
    start.lease_until_ms = read_unsigned(reader, "lease_until_ms");
    return start;
}

ports::worker_renew read_renew(json_reader& reader)
{
    ports::worker_renew renew;
    renew.lease_until_ms = read_unsigned(reader, "lease_until_ms");
    auto const* attempts = reader.array("attempts");
    if (attempts == nullptr || attempts->size() > max_renewed)
    {
        reader.fail(result_code::out_of_range,
                    "attempts",
                    "an array of at most 4096 attempts is expected");
        return renew;
    }
    for (auto const& element : *attempts)
    {
        if (!element.is_object())
        {
            reader.fail(
                result_code::wrong_type, "attempts", "an object is expected");
            return renew;
        }
        json_reader element_reader(element.as_object(), "attempt");
        renew.attempts.push_back(read_attempt(element_reader));
        if (!element_reader.ok())
        {
            reader.fail(element_reader.reason().code,
                        "attempts",
                        element_reader.reason().why);
        }
    }
    return renew;
}

ports::worker_throttle read_throttle(json_reader& reader)
{
    auto attempt_id = read_attempt(reader);
    auto const permille = reader.integer("permille", 1, max_permille);
    return {std::move(attempt_id), static_cast<std::uint32_t>(permille)};
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

json::object attempt_json(ports::task_attempt const& attempt)
{
    return {{"task", attempt.task}, {"attempt", attempt.attempt}};
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
                                              "unknown worker call"};
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
    for (auto const& attempt : report.attempts)
    {
        auto object = attempt_json(attempt.attempt_id);
        object["state"] = name_of(attempt.state);
        object["millicores"] = attempt.used.millicores;
        object["memory_mb"] = attempt.used.memory_mb;
        object["accelerators"] = attempt.used.accelerators;
        object["latency_p99_us"] = attempt.latency_p99_us;
        object["work_done_ms"] = attempt.work_done_ms;
        object["why"] = attempt.reason;
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
    json::array unknown_attempts;
    for (auto const& attempt : result.unknown_attempts)
    {
        unknown_attempts.push_back(attempt_json(attempt));
    }
    object["gone"] = std::move(unknown_attempts);
    return object;
}

} // namespace fuchsia::standins::workers
