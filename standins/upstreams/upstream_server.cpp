#include "standins/upstreams/upstream_server.hpp"

#include <utility>

namespace fuchsia::standins::upstreams
{

namespace
{

using core::common::json_reader;

constexpr std::uint16_t bad_request = 400;
constexpr std::uint16_t not_found = 404;
constexpr std::int64_t permille_base = 1'000;
constexpr double max_slow_factor = 10'000;

std::optional<bool>
flag(json_reader& reader, boost::json::object const& json, std::string_view key)
{
    bool const value = reader.flag_or(key, false);
    return json.contains(key) ? std::optional<bool>(value) : std::nullopt;
}

std::optional<std::uint32_t> permille(json_reader& reader,
                                      boost::json::object const& json,
                                      std::string_view key)
{
    auto const value = reader.integer_or(key, 0, 0, permille_base);
    return json.contains(key)
               ? std::optional<std::uint32_t>(static_cast<std::uint32_t>(value))
               : std::nullopt;
}

} // namespace

upstream_server::upstream_server(boost::asio::io_context& io,
                                 upstream_server_settings settings)
    : io_(io), settings_(std::move(settings)), pool_(settings_.pool),
      control_(io,
               {},
               [this](request const& http_request,
                      adapters::http::responder const& respond)
               {
                   respond(handle_control(http_request));
               })
{
}

std::optional<ports::endpoint>
upstream_server::listen(core::common::failure& reason)
{
    if (!listen_executors(reason))
    {
        return std::nullopt;
    }
    auto bound = control_.listen(settings_.control, reason);
    if (bound && settings_.platform)
    {
        registrar_.emplace(io_,
                           *settings_.platform,
                           settings_.register_interval,
                           pool_.size(),
                           [this](std::size_t number)
                           {
                               return describe(number);
                           });
        registrar_->start();
    }
    return bound;
}

bool upstream_server::listen_executors(core::common::failure& reason)
{
    for (std::size_t number = 0; number < pool_.size(); ++number)
    {
        auto settings = settings_.executor;
        auto const port =
            settings_.first_port == 0 ? 0 : settings_.first_port + number;
        settings.listen = {settings_.address, static_cast<std::uint16_t>(port)};
        auto const opened =
            std::make_shared<executor>(io_, pool_, number, settings);
        auto const bound = opened->listen(reason);
        if (!bound)
        {
            return false;
        }
        executors_.push_back(opened);
        endpoints_.push_back(*bound);
    }
    return true;
}

std::vector<ports::endpoint> const& upstream_server::executors() const noexcept
{
    return endpoints_;
}

void upstream_server::stop()
{
    if (registrar_)
    {
        registrar_->stop();
    }
    control_.close();
    for (auto const& current : executors_)
    {
        current->close();
    }
}

instance_registration upstream_server::describe(std::size_t number) const
{
    return {pool_.id(number),
            "upstream",
            endpoints_[number],
            pool_.data_centre(number),
            {{"state", pool_.leaving(number) ? "leaving" : "live"},
             {"slots", std::to_string(settings_.pool.slots)},
             {"connections", std::to_string(settings_.executor.connections)},
             {"slots_in_use", std::to_string(pool_.running(number))},
             {"report_age_ms", "0"}}};
}

upstream_server::response
upstream_server::handle_control(request const& http_request)
{
    if (http_request.target == "/control/counts" &&
        http_request.method == "GET")
    {
        return report_counters();
    }
    if (http_request.target == "/control/faults" &&
        http_request.method == "POST")
    {
        return set_faults(http_request.body);
    }
    return error_response(not_found, "unknown control path");
}

upstream_server::response upstream_server::set_faults(std::string const& body)
{
    core::common::failure reason;
    auto const json = core::common::parse_json_object(body, "faults", reason);
    if (!json)
    {
        return error_response(bad_request, to_string(reason));
    }
    json_reader reader(*json, "faults");
    reader.allow_only({"upstream",
                       "freeze",
                       "refuse_permille",
                       "fail_permille",
                       "partial_permille",
                       "slow_factor",
                       "leaving"});
    auto const id = reader.text("upstream");
    upstream_faults faults;
    faults.freeze = flag(reader, *json, "freeze");
    faults.leaving = flag(reader, *json, "leaving");
    faults.refuse_permille = permille(reader, *json, "refuse_permille");
    faults.fail_permille = permille(reader, *json, "fail_permille");
    faults.partial_permille = permille(reader, *json, "partial_permille");
    auto const slow =
        reader.number_or("slow_factor", 1.0, 0.01, max_slow_factor);
    if (json->contains("slow_factor"))
    {
        faults.slow_factor = slow;
    }
    if (!reader.ok())
    {
        return error_response(bad_request, to_string(reader.reason()));
    }
    if (!pool_.set_faults(core::common::clock::now(), id, faults))
    {
        return error_response(not_found, "no such upstream");
    }
    for (auto const& current : executors_)
    {
        current->thaw();
    }
    return json_response(boost::json::object{{"set", true}});
}

upstream_server::response upstream_server::report_counters() const
{
    auto const& counters = pool_.counters();
    std::uint64_t connections_refused = 0;
    for (auto const& current : executors_)
    {
        connections_refused += current->connections_refused();
    }
    return counters_response({{"received", counters.received},
                              {"answered", counters.answered},
                              {"refused", counters.refused},
                              {"failed", counters.failed},
                              {"partial", counters.partial},
                              {"overfilled", counters.over_capacity},
                              {"doubled", counters.duplicate_runs},
                              {"running", counters.running},
                              {"after_leaving", counters.started_after_leaving},
                              {"connections_refused", connections_refused}});
}

} // namespace fuchsia::standins::upstreams
