#include "standins/pool/pool_codec.hpp"

#include "adapters/platform/base64.hpp"
#include "core/common/json.hpp"
#include "platform/order_codec.hpp"
#include "standins/common/http_messages.hpp"

#include <array>
#include <utility>

namespace fuchsia::standins::pool
{

namespace
{

namespace json = boost::json;
using adapters::platform::from_base64;
using adapters::platform::to_base64;

std::uint64_t unsigned_field(json::object const& object, char const* key)
{
    auto const* const found = object.if_contains(key);
    return found != nullptr && found->is_int64()
               ? static_cast<std::uint64_t>(found->as_int64())
               : 0;
}

std::string text_field(json::object const& object, char const* key)
{
    auto const* const found = object.if_contains(key);
    return found != nullptr && found->is_string()
               ? std::string(found->as_string())
               : std::string();
}

std::optional<json::object> body_of(adapters::http::request const& request)
{
    core::common::failure reason;
    return core::common::parse_json_object(
        request.body.empty() ? "{}" : request.body, "body", reason);
}

json::object to_object(ports::kv_item const& item)
{
    json::object object{{"key", item.key}, {"revision", item.revision}};
    if (item.erased)
    {
        object["deleted"] = true;
        return object;
    }
    object["value"] = to_base64(item.value);
    object["created"] = item.create_revision;
    object["leaseId"] = item.lease;
    return object;
}

json::array to_array(std::vector<ports::kv_item> const& items)
{
    json::array array;
    for (auto const& item : items)
    {
        array.push_back(to_object(item));
    }
    return array;
}

ports::kv_commit decode_commit(json::object const& body)
{
    ports::kv_commit commit;
    for (auto const& precondition : body.at("expectedRev").as_array())
    {
        commit.preconditions.push_back(
            {text_field(precondition.as_object(), "key"),
             unsigned_field(precondition.as_object(), "revision")});
    }
    for (auto const& element : body.at("puts").as_array())
    {
        auto const& put = element.as_object();
        commit.puts.push_back(
            {text_field(put, "key"),
             from_base64(text_field(put, "value")).value_or(""),
             unsigned_field(put, "leaseId")});
    }
    for (auto const& key : body.at("remove").as_array())
    {
        commit.erases.emplace_back(key.as_string());
    }
    return commit;
}

std::uint16_t status_of(ports::kv_status status)
{
    switch (status)
    {
    case ports::kv_status::done:
        return 200;
    case ports::kv_status::conflict:
        return 412;
    case ports::kv_status::missing:
        return 404;
    case ports::kv_status::compacted:
        return 410;
    case ports::kv_status::refused:
    case ports::kv_status::unclear:
        break;
    }
    return 503;
}

} // namespace

std::optional<ports::kv_operation>
decode_store_call(adapters::http::request const& request)
{
    auto const target = parse_target(request.target);
    auto const body = body_of(request);
    if (!target || !body)
    {
        return std::nullopt;
    }
    if (target->path == "/v1/kv-key")
    {
        return ports::kv_read{std::string(target->text("key")),
                              target->number("staleOk").value_or(0) == 1};
    }
    if (target->path == "/v1/kv-range")
    {
        return ports::kv_range{std::string(target->text("prefix")),
                               std::string(target->text("after"))};
    }
    if (target->path == "/v1/kv-watch")
    {
        return ports::kv_watch{
            std::string(target->text("prefix")),
            target->number("after").value_or(0),
            std::chrono::milliseconds(target->number("waitMs").value_or(0))};
    }
    if (target->path == "/v1/kv-txn")
    {
        return decode_commit(*body);
    }
    if (target->path == "/v1/kv-lease")
    {
        return ports::kv_lease_grant{
            std::chrono::milliseconds(unsigned_field(*body, "ttlMs"))};
    }
    if (auto const lease = target->after("/v1/kv-keep/"))
    {
        return ports::kv_lease_renew{parse_number(*lease).value_or(0)};
    }
    if (auto const lease = target->after("/v1/kv-lease-end/"))
    {
        return ports::kv_lease_revoke{parse_number(*lease).value_or(0)};
    }
    return std::nullopt;
}

adapters::http::response encode(ports::kv_operation const& operation,
                                ports::kv_reply const& reply)
{
    json::object body{{"atRevision", reply.revision}};
    bool const single_key = std::holds_alternative<ports::kv_read>(operation);
    if (single_key && !reply.items.empty())
    {
        body = to_object(reply.items.front());
        body["atRevision"] = reply.revision;
    }
    else if (std::holds_alternative<ports::kv_watch>(operation))
    {
        body["events"] = to_array(reply.items);
    }
    else if (std::holds_alternative<ports::kv_commit>(operation))
    {
        body = {{"revision", reply.revision}, {"items", to_array(reply.items)}};
    }
    else
    {
        body["items"] = to_array(reply.items);
        body["hasMore"] = reply.more;
        body["leaseId"] = reply.lease;
    }
    return adapters::http::json_response(status_of(reply.status),
                                         json::serialize(body));
}

std::optional<ports::pool_operation>
decode_order(adapters::http::request const& request)
{
    auto const body = body_of(request);
    if (!body)
    {
        return std::nullopt;
    }
    auto const fence = unsigned_field(*body, "fenceToken");
    if (request.target == "/v1/hold")
    {
        return ports::poll_order{
            fence,
            unsigned_field(*body, "lastSeen"),
            unsigned_field(*body, "untilMs"),
            std::chrono::milliseconds(unsigned_field(*body, "waitMs"))};
    }
    auto const name = platform::decode_task_name(text_field(*body, "task"));
    if (!name)
    {
        return std::nullopt;
    }
    ports::pool_attempt const attempt_id{
        *name, static_cast<std::uint32_t>(unsigned_field(*body, "attempt"))};
    if (request.target == "/v1/run-start")
    {
        return ports::start_order{fence,
                                  attempt_id,
                                  text_field(*body, "taskSpec"),
                                  unsigned_field(*body, "untilMs"),
                                  text_field(*body, "checkpoint"),
                                  text_field(*body, "ticket")};
    }
    if (request.target == "/v1/run-stop")
    {
        return ports::stop_order{fence, attempt_id};
    }
    if (request.target == "/v1/pace")
    {
        return ports::speed_limit_order{
            fence,
            attempt_id,
            static_cast<std::uint32_t>(unsigned_field(*body, "percent"))};
    }
    return std::nullopt;
}

adapters::http::response encode(ports::order_reply const& reply)
{
    using ports::order_status;
    json::object body{{"clockMs", reply.clock_ms}, {"born", reply.incarnation}};
    if (reply.status != order_status::done)
    {
        body["reason"] = reply.status == order_status::stale_fencing_token
                             ? "fence"
                         : reply.status == order_status::superseded    ? "old"
                         : reply.status == order_status::lease_expired ? "late"
                                                                       : "room";
        return adapters::http::json_response(409, json::serialize(body));
    }
    constexpr std::array<char const*, 6> kinds{
        "done", "failed", "stopped", "lapsed", "broken", "alone"};
    json::array running;
    for (auto const& attempt : reply.running)
    {
        running.push_back(json::array{platform::encode(attempt.attempt_id.task),
                                      attempt.attempt_id.attempt,
                                      attempt.checkpoint,
                                      attempt.progress_percent,
                                      attempt.measurement});
    }
    json::array ended;
    for (auto const& end : reply.ended)
    {
        ended.push_back(json::array{end.sequence,
                                    platform::encode(end.attempt_id.task),
                                    end.attempt_id.attempt,
                                    kinds[static_cast<std::size_t>(end.kind)],
                                    end.checkpoint});
    }
    body["running"] = std::move(running);
    body["ended"] = std::move(ended);
    return adapters::http::json_response(200, json::serialize(body));
}

std::string encode(ports::pool_worker const& worker)
{
    json::object const entry{
        {"service", worker.service},
        {"address", adapters::http::to_string(worker.remote_endpoint)},
        {"zone", worker.data_centre},
        {"version", "v1"},
        {"slots", 1},
        {"state", worker.draining ? "draining" : "ready"},
        {"coldRemainingMs", 0},
        {"seq", 1},
        {"capacity",
         json::object{{"cpu", worker.capacity.millicores},
                      {"memMb", worker.capacity.memory_mb},
                      {"gpu", worker.capacity.accelerators}}},
        {"labels", json::array{"a", worker.rack}},
        {"born", worker.incarnation}};
    return json::serialize(entry);
}

std::string encode_config(std::uint64_t version,
                          std::vector<queue_entry> const& queues)
{
    json::array routes;
    for (auto const& queue : queues)
    {
        routes.push_back(json::object{{"name", queue.name},
                                      {"host", queue.host},
                                      {"prefix", queue.prefix},
                                      {"service", "pool"},
                                      {"priority", queue.priority},
                                      {"attempts", 3},
                                      {"stretch", 1.5},
                                      {"targetDurationMs", 1000}});
    }
    json::object const service{{"name", "pool"}, {"enforcesCapacity", true}};
    return json::serialize(json::object{{"version", version},
                                        {"routes", std::move(routes)},
                                        {"services", json::array{service}}});
}

} // namespace fuchsia::standins::pool
