#include "adapters/platform/store_client.hpp"

#include "adapters/platform/base64.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace fuchsia::adapters::platform
{

namespace
{

namespace json = boost::json;
using ports::exchange_status;
using ports::store_status;

constexpr std::uint32_t store_connections = 16;
constexpr std::uint64_t max_answer_bytes = 64 * 1024 * 1024;
// Maximum time to read a response after its call has timed out: one response
// with all contracts takes this long over a slow link.
constexpr core::common::duration late_read_timeout = std::chrono::seconds(8);
// Time beyond a watch's wait until the watch times out. The store answers at
// the end of the wait, and the response takes time to arrive.
constexpr core::common::duration watch_margin = std::chrono::seconds(2);

http::client_settings connection_settings(store_settings const& settings)
{
    http::client_settings result;
    result.connections_per_endpoint = store_connections;
    result.connect_timeout = settings.timeout;
    result.body_bytes = max_answer_bytes;
    return result;
}

// Percent-encodes a key. Letters, digits and -_./ stay, since the project's own
// keys consist of them.
std::string escaped(std::string_view key)
{
    constexpr std::string_view hex = "0123456789ABCDEF";
    std::string text;
    for (char const character : key)
    {
        bool const is_unreserved =
            (character >= 'a' && character <= 'z') ||
            (character >= 'A' && character <= 'Z') ||
            (character >= '0' && character <= '9') ||
            std::string_view("-_./").find(character) != std::string_view::npos;
        if (is_unreserved)
        {
            text += character;
            continue;
        }
        auto const byte = static_cast<unsigned char>(character);
        text += '%';
        text += hex[byte / 16];
        text += hex[byte % 16];
    }
    return text;
}

std::string transaction(json::object operation)
{
    json::array const list{json::object{{"KV", std::move(operation)}}};
    return json::serialize(list);
}

struct request_writer
{
    http::request operator()(ports::store_read const& read) const
    {
        return {"GET", "/v1/kv/" + escaped(read.key), {}, {}, {}};
    }
    http::request operator()(ports::store_list const& list) const
    {
        return {
            "GET", "/v1/kv/" + escaped(list.prefix) + "?recurse", {}, {}, {}};
    }
    http::request operator()(ports::store_write const& write) const
    {
        return {"PUT",
                "/v1/txn",
                {},
                transaction({{"Verb", "cas"},
                             {"Key", write.key},
                             {"Value", to_base64(write.value)},
                             {"Index", write.expected_version}}),
                {}};
    }
    http::request operator()(ports::store_erase const& erase) const
    {
        return {"PUT",
                "/v1/txn",
                {},
                transaction({{"Verb", "delete-cas"},
                             {"Key", erase.key},
                             {"Index", erase.expected_version}}),
                {}};
    }
    http::request operator()(ports::store_watch const& watch) const
    {
        return {"GET",
                "/v1/kv/" + escaped(watch.prefix) +
                    "?recurse&index=" + std::to_string(watch.index) + "&wait=" +
                    std::to_string(core::common::to_milliseconds(watch.wait)) +
                    "ms",
                {},
                {},
                {}};
    }
};

std::uint64_t index_of(http::response const& answer)
{
    std::uint64_t index = 0;
    auto const header = answer.header("X-Consul-Index").value_or("0");
    std::from_chars(header.data(), header.data() + header.size(), index);
    return index;
}

std::uint64_t number_in(json::object const& object, std::string_view key)
{
    auto const* const value = object.if_contains(key);
    json::error_code error;
    return value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
}

bool read_entry(json::value const& item, ports::store_entry& entry)
{
    auto const* const object = item.if_object();
    auto const* const key =
        object == nullptr ? nullptr : object->if_contains("Key");
    auto const* const value =
        object == nullptr ? nullptr : object->if_contains("Value");
    if (key == nullptr || !key->is_string() || value == nullptr)
    {
        return false;
    }
    entry.key = std::string(key->as_string());
    entry.version = number_in(*object, "ModifyIndex");
    if (value->is_null())
    {
        return true;
    }
    auto bytes = value->is_string() ? from_base64(value->as_string())
                                    : std::optional<std::string>();
    if (!bytes)
    {
        return false;
    }
    entry.value = std::move(*bytes);
    return true;
}

void read_entries(http::response const& answer, ports::store_reply& reply)
{
    reply.index = index_of(answer);
    reply.status = store_status::done;
    if (answer.status == 404)
    {
        return;
    }
    json::error_code error;
    auto const body = json::parse(answer.body, error);
    auto const* const list = error ? nullptr : body.if_array();
    reply.status = list == nullptr ? store_status::unclear : store_status::done;
    for (std::size_t index = 0; list != nullptr && index < list->size();
         ++index)
    {
        ports::store_entry entry;
        if (!read_entry((*list)[index], entry))
        {
            reply.status = store_status::unclear;
            return;
        }
        reply.entries.push_back(std::move(entry));
    }
}

void read_transaction(http::response const& answer, ports::store_reply& reply)
{
    json::error_code error;
    auto const body = json::parse(answer.body, error);
    auto const* const object = error ? nullptr : body.if_object();
    if (object == nullptr)
    {
        reply.status = store_status::unclear;
        return;
    }
    reply.status = store_status::done;
    auto const* const results = object->if_contains("Results");
    auto const* const list = results == nullptr ? nullptr : results->if_array();
    if (list == nullptr || list->empty())
    {
        return;
    }
    auto const* const item = list->front().if_object();
    auto const* const kv = item == nullptr ? nullptr : item->if_contains("KV");
    if (kv != nullptr && kv->is_object())
    {
        reply.index = number_in(kv->as_object(), "ModifyIndex");
    }
}

bool is_write(ports::store_operation const& operation) noexcept
{
    return std::holds_alternative<ports::store_write>(operation) ||
           std::holds_alternative<ports::store_erase>(operation);
}

ports::store_reply read_reply(ports::call_id id,
                              bool write,
                              exchange_status status,
                              http::response const& answer)
{
    ports::store_reply reply{id, store_status::unclear, {}, 0};
    bool const is_throttled = answer.status == 429;
    if (status == exchange_status::not_sent ||
        (status == exchange_status::answered && is_throttled))
    {
        reply.status = store_status::unavailable;
        return reply;
    }
    if (status != exchange_status::answered)
    {
        // A read without a response is safe to report as not done, since it
        // changes nothing.
        reply.status =
            write ? store_status::unclear : store_status::unavailable;
        return reply;
    }
    if (answer.status == 409)
    {
        reply.status = store_status::conflict;
        return reply;
    }
    if (answer.status == 200 || (answer.status == 404 && !write))
    {
        write ? read_transaction(answer, reply) : read_entries(answer, reply);
    }
    return reply;
}

} // namespace

call_budget::call_budget(std::uint32_t per_second)
    : per_second_(per_second), tokens_(per_second)
{
}

bool call_budget::take(core::common::time_point now) noexcept
{
    double const elapsed_seconds =
        std::chrono::duration<double>(now - last_).count();
    tokens_ = std::min(per_second_, tokens_ + elapsed_seconds * per_second_);
    last_ = now;
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

store_client::store_client(boost::asio::io_context& io,
                           store_settings settings,
                           handler on_reply)
    : io_(io), settings_(std::move(settings)), on_reply_(std::move(on_reply)),
      client_(io, connection_settings(settings_)),
      watch_client_(io, connection_settings(settings_)),
      read_budget_(settings_.reads_per_second),
      write_budget_(settings_.writes_per_second)
{
}

void store_client::send(ports::store_call call, std::uint64_t tag)
{
    if (!within_budget(call.operation))
    {
        ++counts_.over_budget;
        boost::asio::post(
            io_,
            [this, id = call.id, tag]
            {
                finish(tag, {id, store_status::unavailable, {}, 0});
            });
        return;
    }
    ++counts_.calls[call.operation.index()];
    http::client_call message;
    message.remote_endpoint = settings_.remote_endpoint;
    message.message = std::visit(request_writer{}, call.operation);
    message.timeout = settings_.timeout;
    message.late_read_limit = late_read_timeout;
    auto const* const watch = std::get_if<ports::store_watch>(&call.operation);
    if (watch != nullptr)
    {
        message.timeout = watch->wait + watch_margin;
    }
    bool const write = is_write(call.operation);
    // Watches have a separate connection pool: pending watches would otherwise
    // use up the connections and delay a heartbeat.
    auto& client = watch != nullptr ? watch_client_ : client_;
    client.send(std::move(message),
                [this, id = call.id, write, tag](exchange_status status,
                                                 http::response const& answer)
                {
                    finish(tag, read_reply(id, write, status, answer));
                });
}

store_counts const& store_client::counts() const noexcept
{
    return counts_;
}

bool store_client::within_budget(ports::store_operation const& operation)
{
    auto const now = core::common::clock::now();
    return is_write(operation) ? write_budget_.take(now)
                               : read_budget_.take(now);
}

void store_client::finish(std::uint64_t tag, ports::store_reply reply)
{
    ++counts_.ends[static_cast<std::size_t>(reply.status)];
    on_reply_(tag, std::move(reply));
}

} // namespace fuchsia::adapters::platform
