#include "adapters/platform/worker_client.hpp"

#include "adapters/logging/logger.hpp"
#include "adapters/platform/listed_objects.hpp"
#include "core/common/json.hpp"

#include <array>
#include <limits>
#include <utility>

namespace fuchsia::adapters::platform
{

namespace
{

namespace json = boost::json;
using core::common::json_reader;
using ports::exchange_status;
using ports::worker_status;

constexpr core::common::duration call_timeout = std::chrono::seconds(2);
constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();

constexpr std::array<std::string_view, 5> attempt_state_names{
    "running", "finished", "failed", "stopped", "lease_expired"};

std::optional<ports::attempt_state> attempt_state_from(std::string_view name)
{
    for (std::size_t index = 0; index < attempt_state_names.size(); ++index)
    {
        if (attempt_state_names[index] == name)
        {
            return static_cast<ports::attempt_state>(index);
        }
    }
    return std::nullopt;
}

ports::resources read_resources(json_reader& reader)
{
    return {reader.integer("millicores", 0, max_integer),
            reader.integer("memory_mb", 0, max_integer),
            reader.integer_or("accelerators", 0, 0, max_integer)};
}

ports::task_attempt read_attempt(json_reader& reader)
{
    return {reader.text("task"),
            static_cast<std::uint32_t>(reader.integer(
                "attempt", 0, std::numeric_limits<std::uint32_t>::max()))};
}

// Parses each object of a JSON array with `read`; empty if any element is
// malformed.
template<class T, class Read>
std::optional<std::vector<T>> read_all(json::array const& list, Read read)
{
    std::vector<T> result;
    for (auto const& item : list)
    {
        auto const* const object = item.if_object();
        if (object == nullptr)
        {
            return std::nullopt;
        }
        json_reader reader(*object, "item");
        result.push_back(read(reader));
        if (!reader.ok())
        {
            return std::nullopt;
        }
    }
    return result;
}

// Parses each object of the list in `body` with `read`, which records errors in
// its reader, and leaves out those with an error.
template<class T, class Read>
std::optional<std::vector<T>> read_body(std::string_view body,
                                        std::string const& where,
                                        Read read,
                                        core::common::failure& ignored)
{
    auto const read_object = [&where, read](json::object const& object,
                                            core::common::failure& reason)
    {
        json_reader reader(object, where);
        std::optional<T> result = read(reader);
        if (!reader.ok())
        {
            reason = reader.reason();
            result.reset();
        }
        return result;
    };
    return parse_objects<T>(body, where, read_object, ignored);
}

ports::worker_instance read_worker(json_reader& reader)
{
    ports::worker_instance result;
    result.id = reader.text("id");
    result.rack = reader.text("rack");
    result.data_centre = reader.text("data_centre");
    result.capacity = read_resources(reader);
    result.state = reader.text_or("state", "live") == "leaving"
                       ? ports::instance_state::leaving
                       : ports::instance_state::live;
    return result;
}

ports::attempt_report read_attempt_report(json_reader& reader)
{
    ports::attempt_report result;
    result.attempt_id = read_attempt(reader);
    auto const state = attempt_state_from(reader.text("state"));
    if (!state)
    {
        reader.fail(core::common::result_code::out_of_range,
                    "state",
                    "unknown attempt state");
    }
    result.state = state.value_or(ports::attempt_state::running);
    result.used = read_resources(reader);
    result.latency_p99_us = static_cast<std::uint64_t>(
        reader.integer_or("latency_p99_us", 0, 0, max_integer));
    result.work_done_ms = static_cast<std::uint64_t>(
        reader.integer_or("work_done_ms", 0, 0, max_integer));
    result.reason = reader.text_or("why", "");
    return result;
}

ports::worker_report read_report(json_reader& reader)
{
    ports::worker_report result;
    result.worker = reader.text("worker");
    result.sequence =
        static_cast<std::uint64_t>(reader.integer("sequence", 0, max_integer));
    result.clock_ms =
        static_cast<std::uint64_t>(reader.integer("clock_ms", 0, max_integer));
    auto const* const attempts = reader.array("attempts");
    if (attempts != nullptr)
    {
        auto list =
            read_all<ports::attempt_report>(*attempts, read_attempt_report);
        if (!list)
        {
            reader.fail(core::common::result_code::malformed_json,
                        "attempts",
                        "an attempt is malformed");
        }
        result.attempts =
            std::move(list).value_or(std::vector<ports::attempt_report>());
    }
    return result;
}

json::object attempt_json(ports::task_attempt const& id)
{
    return {{"task", id.task}, {"attempt", id.attempt}};
}

struct call_body
{
    std::string path;
    json::object body;
};

struct call_writer
{
    call_body operator()(ports::worker_start const& start) const
    {
        auto body = attempt_json(start.attempt_id);
        body["millicores"] = start.declared.millicores;
        body["memory_mb"] = start.declared.memory_mb;
        body["accelerators"] = start.declared.accelerators;
        body["class"] = start.task_class;
        body["service"] = start.service;
        body["work_ms"] = start.work_ms;
        body["checkpoint"] = start.checkpoint;
        body["start_before_ms"] = start.start_before_ms;
        body["lease_until_ms"] = start.lease_until_ms;
        return {"start", std::move(body)};
    }
    call_body operator()(ports::worker_renew const& renew) const
    {
        json::array attempts;
        for (auto const& id : renew.attempts)
        {
            attempts.push_back(attempt_json(id));
        }
        return {"renew",
                {{"attempts", std::move(attempts)},
                 {"lease_until_ms", renew.lease_until_ms}}};
    }
    call_body operator()(ports::worker_throttle const& throttle) const
    {
        auto body = attempt_json(throttle.attempt_id);
        body["permille"] = throttle.permille;
        return {"throttle", std::move(body)};
    }
    call_body operator()(ports::worker_checkpoint const& checkpoint) const
    {
        return {"checkpoint", attempt_json(checkpoint.attempt_id)};
    }
    call_body operator()(ports::worker_stop const& stop) const
    {
        return {"stop", attempt_json(stop.attempt_id)};
    }
};

ports::worker_reply read_reply(std::uint64_t id,
                               exchange_status status,
                               http::response const& answer)
{
    ports::worker_reply reply;
    reply.id = id;
    if (status != exchange_status::answered)
    {
        reply.status = status == exchange_status::not_sent
                           ? worker_status::unreachable
                           : worker_status::unclear;
        return reply;
    }
    core::common::failure reason;
    auto const object =
        core::common::parse_json_object(answer.body, "answer", reason);
    if (!object || (answer.status != 200 && answer.status != 409))
    {
        reply.status = worker_status::unclear;
        return reply;
    }
    json_reader reader(*object, "answer");
    reply.status =
        answer.status == 200 ? worker_status::done : worker_status::refused;
    reply.checkpoint = reader.text_or("checkpoint", "");
    reply.reason = reader.text_or("why", "");
    if (auto const* const unknown = reader.array("gone"))
    {
        reply.unknown_attempts =
            read_all<ports::task_attempt>(*unknown, read_attempt)
                .value_or(std::vector<ports::task_attempt>());
    }
    return reply;
}

} // namespace

std::optional<std::vector<ports::worker_instance>>
parse_workers(std::string_view body, core::common::failure& ignored)
{
    return read_body<ports::worker_instance>(
        body, "worker", read_worker, ignored);
}

std::optional<std::vector<ports::worker_report>>
parse_reports(std::string_view body, core::common::failure& ignored)
{
    return read_body<ports::worker_report>(
        body, "report", read_report, ignored);
}

worker_client::worker_client(boost::asio::io_context& io,
                             ports::endpoint platform_endpoint,
                             core::common::duration interval,
                             worker_handlers handlers)
    : platform_endpoint_(std::move(platform_endpoint)), interval_(interval),
      handlers_(std::move(handlers)), client_(io, {}), timer_(io)
{
}

void worker_client::start()
{
    poll();
}

void worker_client::set_racks(std::vector<std::string> racks)
{
    racks_ = std::move(racks);
}

void worker_client::send(ports::worker_call call)
{
    auto encoded = std::visit(call_writer{}, call.operation);
    http::client_call message;
    message.remote_endpoint = platform_endpoint_;
    message.message.method = "POST";
    message.message.target = "/v1/workers/" + call.worker + "/" + encoded.path;
    message.message.body = json::serialize(encoded.body);
    message.timeout = call_timeout;
    client_.send(std::move(message),
                 [this, id = call.id](exchange_status status,
                                      http::response const& answer)
                 {
                     handlers_.on_reply(read_reply(id, status, answer));
                 });
}

void worker_client::poll()
{
    timer_.expires_after(interval_);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                poll();
            }
        });
    http::client_call call;
    call.remote_endpoint = platform_endpoint_;
    call.message.method = "GET";
    call.message.target = "/v1/workers";
    call.timeout = call_timeout;
    client_.send(
        std::move(call),
        [this](exchange_status status, http::response const& answer)
        {
            core::common::failure ignored;
            auto workers =
                status == exchange_status::answered
                    ? parse_workers(answer.body, ignored)
                    : std::optional<std::vector<ports::worker_instance>>();
            log_ignored("workers", ignored);
            if (workers)
            {
                handlers_.on_workers(
                    {std::move(*workers), core::common::clock::now()});
            }
        });
    for (auto const& rack : racks_)
    {
        poll_reports(rack);
    }
}

void worker_client::log_ignored(std::string const& list,
                                core::common::failure const& ignored)
{
    if (ignored.code != core::common::result_code::ok &&
        seen_failures_.is_new(list, ignored))
    {
        logging::write(
            ports::severity::warning,
            "worker_ignored",
            {{"list", list}, {"why", core::common::to_string(ignored)}});
    }
}

void worker_client::poll_reports(std::string const& rack)
{
    http::client_call call;
    call.remote_endpoint = platform_endpoint_;
    call.message.method = "GET";
    call.message.target = "/v1/reports?rack=" + rack;
    call.timeout = call_timeout;
    client_.send(
        std::move(call),
        [this, rack](exchange_status status, http::response const& answer)
        {
            core::common::failure ignored;
            auto reports =
                status == exchange_status::answered
                    ? parse_reports(answer.body, ignored)
                    : std::optional<std::vector<ports::worker_report>>();
            log_ignored("reports of " + rack, ignored);
            if (!reports)
            {
                return;
            }
            for (auto& report : *reports)
            {
                handlers_.on_report(std::move(report));
            }
        });
}

} // namespace fuchsia::adapters::platform
