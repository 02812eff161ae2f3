#include "standins/platform/platform_server.hpp"

#include <utility>

namespace fuchsia::standins::platform
{

namespace
{

namespace asio = boost::asio;
using core::common::clock;
using core::common::json_reader;

constexpr std::uint16_t bad_request = 400;
constexpr std::uint16_t not_found = 404;
constexpr std::uint16_t too_many = 429;
constexpr core::common::duration tick_interval = std::chrono::milliseconds(50);
constexpr core::common::duration probe_timeout = std::chrono::milliseconds(500);
constexpr std::int64_t max_slow_ms = 120'000;
constexpr std::int64_t max_port = 65'535;
constexpr std::string_view service_path = "/v1/catalog/service/";
constexpr std::string_view deregister_path = "/v1/agent/service/deregister/";

adapters::http::server_limits limits()
{
    adapters::http::server_limits limits;
    // Fits a transaction with a value of 1 MiB in base64.
    limits.body_bytes = 2 * 1024 * 1024;
    limits.connections = 10'000;
    return limits;
}

} // namespace

platform_server::platform_server(asio::io_context& io,
                                 platform_settings settings)
    : io_(io), settings_(std::move(settings)), store_(settings_.store),
      catalog_(settings_.instances),
      server_(io,
              limits(),
              [this](request http_request, responder respond)
              {
                  handle(std::move(http_request), std::move(respond));
              }),
      tick_timer_(io), probe_timer_(io)
{
}

std::optional<ports::endpoint>
platform_server::listen(core::common::failure& reason)
{
    auto bound = server_.listen(settings_.listen, reason);
    if (bound)
    {
        tick();
        probe_all();
    }
    return bound;
}

void platform_server::stop()
{
    tick_timer_.cancel();
    probe_timer_.cancel();
    held_responders_.clear();
    server_.close();
}

void platform_server::handle(request http_request, responder respond)
{
    auto target = parse_target(http_request.target);
    if (!target)
    {
        respond(error_response(bad_request, "malformed target"));
        return;
    }
    if (target->path.starts_with("/control/"))
    {
        respond(handle_control(*target, http_request));
        return;
    }
    auto const& faults = store_.faults();
    if (faults.down)
    {
        return; // Destroying the responder closes the connection.
    }
    if (faults.slow_ms > 0)
    {
        handle_slowly(
            std::move(http_request), std::move(*target), std::move(respond));
        return;
    }
    handle_platform(*target, http_request, respond);
}

// Half of the delay precedes the change and half follows it, so a caller whose
// call timed out cannot tell whether the change was made.
void platform_server::handle_slowly(request http_request,
                                    request_target target,
                                    responder respond)
{
    core::common::duration const half =
        std::chrono::milliseconds(store_.faults().slow_ms) / 2;
    auto const delay_timer =
        std::make_shared<adapters::runtime::timer>(io_, half);
    auto late_responder =
        [this, delay_timer, half, respond = std::move(respond)](
            response message)
    {
        delay_timer->expires_after(half);
        delay_timer->async_wait(
            [this, delay_timer, respond, message = std::move(message)](
                auto error)
            {
                if (!error && !store_.faults().down)
                {
                    respond(message);
                }
            });
    };
    delay_timer->async_wait(
        [this,
         delay_timer,
         http_request = std::move(http_request),
         target = std::move(target),
         late_responder](auto error)
        {
            if (!error && !store_.faults().down)
            {
                handle_platform(target, http_request, late_responder);
            }
        });
}

void platform_server::handle_platform(request_target const& target,
                                      request const& http_request,
                                      responder const& respond)
{
    if (!store_service::serves(target.path))
    {
        respond(handle_catalog(target, http_request));
        return;
    }
    auto result = store_.handle(clock::now(), target, http_request);
    if (auto* deferred = std::get_if<deferred_response>(&result))
    {
        held_responders_.emplace(deferred->query.number, respond);
    }
    else if (auto* now = std::get_if<response>(&result))
    {
        respond(std::move(*now));
    }
    answer_due_queries();
}

void platform_server::answer_due_queries()
{
    for (auto const& query : store_.take_due(clock::now()))
    {
        auto const found = held_responders_.find(query.number);
        if (found != held_responders_.end())
        {
            auto const respond = std::move(found->second);
            held_responders_.erase(found);
            respond(store_.respond_to_held(query));
        }
    }
}

platform_server::response
platform_server::handle_catalog(request_target const& target,
                                request const& http_request)
{
    if (auto const name = target.after(service_path);
        name && http_request.method == "GET")
    {
        return list_instances(*name);
    }
    if (target.path == "/v1/agent/service/register" &&
        http_request.method == "PUT")
    {
        return register_instance(http_request.body);
    }
    if (auto const id = target.after(deregister_path);
        id && http_request.method == "PUT")
    {
        catalog_.deregister(*id);
        return json_response(true);
    }
    return error_response(not_found, "unknown path");
}

platform_server::response
platform_server::register_instance(std::string const& body)
{
    ++registrations_;
    core::common::failure reason;
    auto const json = core::common::parse_json_object(body, "service", reason);
    if (!json)
    {
        return error_response(bad_request, to_string(reason));
    }
    json_reader reader(*json, "service");
    catalog_entry entry;
    entry.id = reader.text("ID");
    entry.name = reader.text("Name");
    entry.address = reader.text("Address");
    entry.port =
        static_cast<std::uint16_t>(reader.integer("Port", 1, max_port));
    entry.data_centre = reader.text_or("Datacenter", "");
    if (auto const* meta = reader.object("Meta"))
    {
        json_reader values(*meta, "service.Meta");
        for (auto const& pair : *meta)
        {
            entry.meta[std::string(pair.key())] = values.text(pair.key());
        }
        if (!values.ok())
        {
            return error_response(bad_request, to_string(values.reason()));
        }
    }
    if (!reader.ok())
    {
        return error_response(bad_request, to_string(reader.reason()));
    }
    if (!catalog_.register_entry(clock::now(), std::move(entry)))
    {
        return error_response(too_many, "the catalog is full");
    }
    return json_response(true);
}

platform_server::response platform_server::list_instances(std::string_view name)
{
    ++catalog_lists_;
    boost::json::array listed;
    for (auto const& entry : catalog_.list(clock::now(), name))
    {
        boost::json::object meta;
        for (auto const& [key, value] : entry.meta)
        {
            meta[key] = value;
        }
        listed.push_back({{"ServiceID", entry.id},
                          {"ServiceName", entry.name},
                          {"ServiceAddress", entry.address},
                          {"ServicePort", entry.port},
                          {"Datacenter", entry.data_centre},
                          {"ServiceMeta", std::move(meta)}});
    }
    return json_response(listed);
}

platform_server::response
platform_server::handle_control(request_target const& target,
                                request const& http_request)
{
    if (target.path == "/control/counts" && http_request.method == "GET")
    {
        return report_counters();
    }
    if (http_request.method != "POST")
    {
        return error_response(not_found, "unknown control path");
    }
    if (target.path == "/control/faults")
    {
        return set_faults(http_request.body);
    }
    if (auto const id = target.after("/control/instances/"))
    {
        return set_instance(*id, http_request.body);
    }
    constexpr std::string_view expire = "/expire";
    auto session = target.after("/control/sessions/");
    if (session && session->ends_with(expire))
    {
        session->remove_suffix(expire.size());
        bool const ended = store_.expire_session(*session);
        answer_due_queries();
        return ended ? json_response(boost::json::object{{"expired", true}})
                     : error_response(not_found, "no such session");
    }
    return error_response(not_found, "unknown control path");
}

platform_server::response platform_server::set_faults(std::string const& body)
{
    core::common::failure reason;
    auto const json = core::common::parse_json_object(body, "faults", reason);
    if (!json)
    {
        return error_response(bad_request, to_string(reason));
    }
    json_reader reader(*json, "faults");
    reader.allow_only({"down",
                       "slow_ms",
                       "lose_answers",
                       "lose_prefix",
                       "list_lag_ms",
                       "list_frozen"});
    auto faults = store_.faults();
    faults.down = reader.flag_or("down", faults.down);
    faults.slow_ms = static_cast<std::uint32_t>(
        reader.integer_or("slow_ms", faults.slow_ms, 0, max_slow_ms));
    faults.drop_responses = reader.integer_or(
        "lose_answers", faults.drop_responses, -1, 1'000'000'000);
    faults.drop_responses_prefix =
        reader.text_or("lose_prefix", faults.drop_responses_prefix);
    auto const lag = reader.integer_or(
        "list_lag_ms", -1, 0, core::common::to_milliseconds(catalog::max_lag));
    bool const freeze = reader.flag_or("list_frozen", false);
    if (!reader.ok())
    {
        return error_response(bad_request, to_string(reader.reason()));
    }
    store_.faults() = faults;
    if (lag >= 0)
    {
        catalog_.set_lag(std::chrono::milliseconds(lag));
    }
    if (json->contains("list_frozen"))
    {
        catalog_.set_frozen(freeze);
    }
    if (faults.down)
    {
        for (auto const& [number, respond] : held_responders_)
        {
            store_.drop_query(number);
        }
        held_responders_.clear();
    }
    return json_response(boost::json::object{{"set", true}});
}

platform_server::response platform_server::set_instance(std::string_view id,
                                                        std::string const& body)
{
    core::common::failure reason;
    auto const json = core::common::parse_json_object(body, "instance", reason);
    if (!json)
    {
        return error_response(bad_request, to_string(reason));
    }
    json_reader reader(*json, "instance");
    reader.allow_only({"state"});
    auto const state = listed_state_from(reader.text("state"));
    if (!reader.ok() || !state)
    {
        return error_response(bad_request, "state is live, leaving or gone");
    }
    catalog_.override_state(std::string(id), *state);
    return json_response(boost::json::object{{"set", true}});
}

platform_server::response platform_server::report_counters() const
{
    auto const& counters = store_.counters();
    return counters_response({{"reads", counters.reads},
                              {"lists", counters.lists},
                              {"writes", counters.writes},
                              {"erases", counters.erases},
                              {"watches", counters.watches},
                              {"conflicts", counters.conflicts},
                              {"over_bound", counters.rate_limited},
                              {"lost_answers", counters.dropped_responses},
                              {"sessions", counters.sessions},
                              {"catalog_lists", catalog_lists_},
                              {"registrations", registrations_}});
}

void platform_server::tick()
{
    catalog_.tick(clock::now());
    answer_due_queries();
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this](auto error)
        {
            if (!error)
            {
                tick();
            }
        });
}

void platform_server::probe_all()
{
    for (auto const& target : settings_.probes)
    {
        probe(target);
    }
    probe_timer_.expires_after(settings_.probe_interval);
    probe_timer_.async_wait(
        [this](auto error)
        {
            if (!error)
            {
                probe_all();
            }
        });
}

void platform_server::probe(probe_target const& target)
{
    struct attempt
    {
        asio::ip::tcp::socket socket;
        adapters::runtime::timer timeout;
    };
    auto const current = std::make_shared<attempt>(
        attempt{asio::ip::tcp::socket(io_),
                adapters::runtime::timer(io_, probe_timeout)});
    current->timeout.async_wait(
        [current](auto error)
        {
            boost::system::error_code ignored;
            if (!error)
            {
                current->socket.close(ignored);
            }
        });
    boost::system::error_code malformed;
    auto const address =
        asio::ip::make_address(target.endpoint.address, malformed);
    current->socket.async_connect({address, target.endpoint.port},
                                  [this, current, &target](auto error)
                                  {
                                      current->timeout.cancel();
                                      if (!error)
                                      {
                                          catalog_.register_entry(
                                              clock::now(),
                                              {target.id,
                                               target.name,
                                               target.endpoint.address,
                                               target.endpoint.port,
                                               target.data_centre,
                                               {{"state", "live"}},
                                               {}});
                                      }
                                  });
}

} // namespace fuchsia::standins::platform
