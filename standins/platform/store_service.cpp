#include "standins/platform/store_service.hpp"

#include "adapters/platform/base64.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace fuchsia::standins::platform
{

namespace
{

constexpr std::uint16_t ok = 200;
constexpr std::uint16_t bad_request = 400;
constexpr std::uint16_t not_found = 404;
constexpr std::uint16_t bad_method = 405;
constexpr std::uint16_t conflict = 409;
constexpr std::uint16_t too_large = 413;
constexpr std::uint16_t too_many = 429;
constexpr std::string_view kv_path = "/v1/kv/";
constexpr std::string_view txn_path = "/v1/txn";
constexpr std::string_view session_path = "/v1/session/";
constexpr core::common::duration max_wait = std::chrono::minutes(10);
constexpr core::common::duration default_wait = std::chrono::minutes(5);

/// Parses a duration such as "10s", "500ms" or "2m".
std::optional<core::common::duration> parse_wait(std::string_view text)
{
    auto const unit_start = text.find_first_not_of("0123456789");
    auto const number = parse_number(text.substr(0, unit_start));
    auto const unit =
        unit_start == std::string_view::npos ? "" : text.substr(unit_start);
    constexpr std::uint64_t max_count = 86'400'000; // One day in ms.
    if (!number || *number > max_count)
    {
        return std::nullopt;
    }
    auto const count = static_cast<std::int64_t>(*number);
    if (unit == "ms")
    {
        return std::chrono::milliseconds(count);
    }
    if (unit == "s")
    {
        return std::chrono::seconds(count);
    }
    if (unit == "m")
    {
        return std::chrono::minutes(count);
    }
    return std::nullopt;
}

boost::json::object entry_json(std::string_view key, stored_value const& entry)
{
    boost::json::object json{{"Key", key},
                             {"Flags", 0},
                             {"CreateIndex", entry.create_index},
                             {"ModifyIndex", entry.modify_index},
                             {"LockIndex", entry.lock_index}};
    if (!entry.session.empty())
    {
        json["Session"] = entry.session;
    }
    return json;
}

boost::json::object full_entry_json(std::string_view key,
                                    stored_value const& entry)
{
    auto json = entry_json(key, entry);
    json["Value"] = adapters::platform::to_base64(entry.value);
    return json;
}

/// The only operation of a transaction.
struct operation
{
    std::string verb;
    std::string key;
    std::string value;
    std::uint64_t expected = 0;
};

std::optional<operation> parse_operation(boost::json::object const& object)
{
    core::common::json_reader reader(object, "KV");
    operation parsed;
    parsed.verb = reader.text("Verb");
    parsed.key = reader.text("Key");
    auto const value =
        adapters::platform::from_base64(reader.text_or("Value", ""));
    parsed.expected = static_cast<std::uint64_t>(reader.integer_or(
        "Index", 0, 0, std::numeric_limits<std::int64_t>::max()));
    bool const is_supported =
        parsed.verb == "cas" || parsed.verb == "delete-cas";
    if (!reader.ok() || !value || !is_supported)
    {
        return std::nullopt;
    }
    parsed.value = *value;
    return parsed;
}

std::optional<operation> parse_transaction(std::string const& body)
{
    boost::json::error_code error;
    auto const json = boost::json::parse(body, error);
    if (error || !json.is_array() || json.as_array().size() != 1 ||
        !json.as_array()[0].is_object())
    {
        return std::nullopt;
    }
    auto const* kv = json.as_array()[0].as_object().if_contains("KV");
    if (kv == nullptr || !kv->is_object())
    {
        return std::nullopt;
    }
    return parse_operation(kv->as_object());
}

} // namespace

store_service::store_service(store_service_settings settings)
    : settings_(settings), state_(settings.limits),
      read_rate_(settings.reads_per_second),
      write_rate_(settings.writes_per_second)
{
}

bool store_service::serves(std::string_view path) noexcept
{
    return path.starts_with(kv_path) || path == txn_path ||
           path.starts_with(session_path);
}

store_response store_service::handle(core::common::time_point now,
                                     request_target const& target,
                                     adapters::http::request const& request)
{
    if (target.path == txn_path && request.method == "PUT")
    {
        return transact(now, request.body);
    }
    if (target.path.starts_with(session_path) && request.method == "PUT")
    {
        return session(now, target, request.body);
    }
    if (!target.path.starts_with(kv_path))
    {
        return error_response(bad_method, "use PUT");
    }
    if (request.method == "GET")
    {
        return read(now, target);
    }
    if (request.method == "PUT")
    {
        return put(now, target, request.body);
    }
    if (request.method == "DELETE")
    {
        return erase(now, target);
    }
    return error_response(bad_method, "use GET, PUT or DELETE");
}

bool store_service::admit_read(core::common::time_point now)
{
    bool const admitted = read_rate_.admit(now);
    counters_.rate_limited += admitted ? 0 : 1;
    return admitted;
}

bool store_service::admit_write(core::common::time_point now)
{
    bool const admitted = write_rate_.admit(now);
    counters_.rate_limited += admitted ? 0 : 1;
    return admitted;
}

store_response store_service::read(core::common::time_point now,
                                   request_target const& target)
{
    bool const recurse = target.has("recurse");
    bool const watch = target.has("index");
    auto& counter = watch     ? counters_.watches
                    : recurse ? counters_.lists
                              : counters_.reads;
    ++counter;
    if (!admit_read(now))
    {
        return plain_response(too_many, "over the bound on reads");
    }
    auto const key = *target.after(kv_path);
    if (!watch)
    {
        return entries_response(key, recurse);
    }
    auto const index = target.number("index");
    auto const wait =
        target.has("wait") ? parse_wait(target.text("wait")) : default_wait;
    if (!index || !wait)
    {
        return plain_response(bad_request, "malformed index or wait");
    }
    held_query query{++last_query_number_,
                     std::string(key),
                     recurse,
                     *index,
                     now + std::min(*wait, max_wait)};
    if (state_.hold(query))
    {
        return deferred_response{std::move(query)};
    }
    return entries_response(key, recurse);
}

adapters::http::response store_service::entries_response(std::string_view key,
                                                         bool recurse) const
{
    boost::json::array found;
    if (recurse)
    {
        auto const [first, last] = state_.below(key);
        for (auto entry = first; entry != last; ++entry)
        {
            found.push_back(full_entry_json(entry->first, entry->second));
        }
    }
    else if (auto const* entry = state_.find(key))
    {
        found.push_back(full_entry_json(key, *entry));
    }
    auto message =
        found.empty() ? plain_response(not_found, "") : json_response(found);
    message.headers.push_back(
        {"X-Consul-Index", std::to_string(state_.index())});
    return message;
}

adapters::http::response
store_service::respond_to_held(held_query const& query) const
{
    return entries_response(query.key, query.recurse);
}

store_response store_service::put(core::common::time_point now,
                                  request_target const& target,
                                  std::string const& body)
{
    ++counters_.writes;
    if (!admit_write(now))
    {
        return plain_response(too_many, "over the bound on writes");
    }
    auto const key = *target.after(kv_path);
    if (target.has("acquire"))
    {
        return plain_result(key,
                            state_.acquire(key, body, target.text("acquire")));
    }
    if (target.has("release"))
    {
        return plain_result(key,
                            state_.release(key, body, target.text("release")));
    }
    if (target.has("cas") && !target.number("cas"))
    {
        return plain_response(bad_request, "malformed cas");
    }
    return plain_result(key, state_.write(key, body, target.number("cas")));
}

store_response store_service::erase(core::common::time_point now,
                                    request_target const& target)
{
    ++counters_.erases;
    if (!admit_write(now))
    {
        return plain_response(too_many, "over the bound on writes");
    }
    if (target.has("cas") && !target.number("cas"))
    {
        return plain_response(bad_request, "malformed cas");
    }
    auto const key = *target.after(kv_path);
    return plain_result(key, state_.erase(key, target.number("cas")));
}

store_response store_service::transact(core::common::time_point now,
                                       std::string const& body)
{
    auto const parsed = parse_transaction(body);
    bool const deletes = parsed && parsed->verb == "delete-cas";
    ++(deletes ? counters_.erases : counters_.writes);
    if (!admit_write(now))
    {
        return plain_response(too_many, "over the bound on writes");
    }
    if (!parsed)
    {
        return plain_response(bad_request,
                              "one KV operation cas or delete-cas is expected");
    }
    auto const result =
        deletes ? state_.erase(parsed->key, parsed->expected)
                : state_.write(parsed->key, parsed->value, parsed->expected);
    return txn_result(parsed->key, result);
}

store_response store_service::plain_result(std::string_view key,
                                           change_result result)
{
    if (result.status == change_status::too_large)
    {
        return plain_response(too_large,
                              "the key, value or store is too large");
    }
    bool const done = result.status == change_status::done;
    counters_.conflicts += done ? 0 : 1;
    return respond_after_change(
        key, adapters::http::json_response(ok, done ? "true" : "false"));
}

store_response store_service::txn_result(std::string_view key,
                                         change_result result)
{
    if (result.status == change_status::too_large)
    {
        return plain_response(too_large,
                              "the key, value or store is too large");
    }
    boost::json::object body{{"Results", nullptr}, {"Errors", nullptr}};
    if (result.status == change_status::conflict)
    {
        ++counters_.conflicts;
        boost::json::object const error{
            {"OpIndex", 0},
            {"What",
             "failed to set key \"" + std::string(key) + "\", index is stale"}};
        body["Errors"] = boost::json::array{error};
        return respond_after_change(
            key,
            adapters::http::json_response(conflict,
                                          boost::json::serialize(body)));
    }
    auto const* entry = state_.find(key);
    boost::json::object kv =
        entry != nullptr
            ? entry_json(key, *entry)
            : boost::json::object{{"Key", key}, {"ModifyIndex", result.index}};
    body["Results"] =
        boost::json::array{boost::json::object{{"KV", std::move(kv)}}};
    return respond_after_change(key, json_response(body));
}

// Drops the response if the fault applies to the key: the change has been made,
// but the caller cannot tell whether it has.
store_response store_service::respond_after_change(std::string_view key,
                                                   response message)
{
    if (faults_.drop_responses == 0 ||
        !key.starts_with(faults_.drop_responses_prefix))
    {
        return message;
    }
    if (faults_.drop_responses > 0)
    {
        --faults_.drop_responses;
    }
    ++counters_.dropped_responses;
    return dropped_response{};
}

store_response store_service::session(core::common::time_point now,
                                      request_target const& target,
                                      std::string const& body)
{
    ++counters_.sessions;
    if (!admit_write(now))
    {
        return plain_response(too_many, "over the bound on writes");
    }
    if (target.path == "/v1/session/create")
    {
        return open_session(now, body);
    }
    if (auto const id = target.after("/v1/session/renew/"))
    {
        bool const renewed = state_.renew_session(now, *id);
        return renewed ? json_response(boost::json::array{
                             boost::json::object{{"ID", std::string(*id)}}})
                       : plain_response(not_found, "the session has ended");
    }
    if (auto const id = target.after("/v1/session/destroy/"))
    {
        state_.end_session(*id);
        return json_response(true);
    }
    return plain_response(not_found, "unknown path");
}

adapters::http::response
store_service::open_session(core::common::time_point now,
                            std::string const& body)
{
    core::common::failure reason;
    auto const json = core::common::parse_json_object(
        body.empty() ? "{}" : body, "session", reason);
    if (!json)
    {
        return plain_response(bad_request, to_string(reason));
    }
    core::common::json_reader reader(*json, "session");
    auto const ttl = parse_wait(reader.text_or("TTL", "15s"));
    if (!reader.ok() || !ttl)
    {
        return plain_response(bad_request, "malformed TTL");
    }
    auto const id = state_.open_session(now, *ttl);
    if (!id)
    {
        return plain_response(too_many, "too many sessions");
    }
    return json_response(boost::json::object{{"ID", *id}});
}

std::vector<held_query> store_service::take_due(core::common::time_point now)
{
    return state_.take_due(now);
}

void store_service::drop_query(std::uint64_t number)
{
    state_.drop(number);
}

bool store_service::expire_session(std::string_view id)
{
    return state_.end_session(id);
}

store_faults& store_service::faults() noexcept
{
    return faults_;
}

store_counters const& store_service::counters() const noexcept
{
    return counters_;
}

} // namespace fuchsia::standins::platform
