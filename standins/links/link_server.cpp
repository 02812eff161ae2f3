#include "standins/links/link_server.hpp"

#include <utility>

namespace fuchsia::standins::links
{

namespace
{

using core::common::json_reader;

constexpr std::uint16_t bad_request = 400;
constexpr std::uint16_t not_found = 404;
constexpr std::int64_t max_delay_ms = 60'000;

} // namespace

link_server::link_server(boost::asio::io_context& io,
                         link_server_settings const& settings)
    : control_endpoint_(settings.control),
      control_(io,
               {},
               [this](request const& http_request,
                      adapters::http::responder const& respond)
               {
                   respond(handle_control(http_request));
               })
{
    for (auto const& link : settings.links)
    {
        relays_.push_back(std::make_shared<relay>(io, link));
    }
}

std::optional<ports::endpoint>
link_server::listen(core::common::failure& reason)
{
    for (auto const& link : relays_)
    {
        auto const bound = link->listen(reason);
        if (!bound)
        {
            return std::nullopt;
        }
        endpoints_.push_back(*bound);
    }
    return control_.listen(control_endpoint_, reason);
}

std::vector<ports::endpoint> const& link_server::endpoints() const noexcept
{
    return endpoints_;
}

void link_server::stop()
{
    control_.close();
    for (auto const& link : relays_)
    {
        link->close();
    }
}

link_server::response link_server::handle_control(request const& http_request)
{
    auto const target = parse_target(http_request.target);
    if (!target)
    {
        return error_response(bad_request, "malformed target");
    }
    if (target->path == "/control/counts" && http_request.method == "GET")
    {
        return report_counters();
    }
    if (auto const name = target->after("/control/links/");
        name && http_request.method == "POST")
    {
        return set_link(*name, http_request.body);
    }
    return error_response(not_found, "unknown control path");
}

link_server::response link_server::set_link(std::string_view name,
                                            std::string const& body)
{
    core::common::failure reason;
    auto const json = core::common::parse_json_object(body, "link", reason);
    if (!json)
    {
        return error_response(bad_request, to_string(reason));
    }
    json_reader reader(*json, "link");
    reader.allow_only({"delay_ms", "cut", "reset"});
    auto const delay = reader.integer_or("delay_ms", 0, 0, max_delay_ms);
    auto const cut = cut_state_from(reader.text_or("cut", "none"));
    bool const reset = reader.flag_or("reset", false);
    if (!reader.ok() || !cut)
    {
        return error_response(bad_request,
                              cut ? to_string(reader.reason())
                                  : "cut is none, both, forward or backward");
    }
    bool found = false;
    for (auto const& link : relays_)
    {
        if (name != "*" && link->name() != name)
        {
            continue;
        }
        found = true;
        if (json->contains("delay_ms"))
        {
            link->set_delay(std::chrono::milliseconds(delay));
        }
        // The reset precedes the change of the cut, so that a call that resets
        // the link and ends a cut does not deliver bytes queued during the cut.
        if (reset)
        {
            link->reset();
        }
        if (json->contains("cut"))
        {
            link->set_cut(*cut);
        }
    }
    return found ? json_response(boost::json::object{{"set", true}})
                 : error_response(not_found, "no such link");
}

link_server::response link_server::report_counters() const
{
    link_counters total;
    for (auto const& link : relays_)
    {
        auto const& link_counts = link->counters();
        total.connections += link_counts.connections;
        total.bytes += link_counts.bytes;
        total.resets += link_counts.resets;
        total.refused += link_counts.refused;
    }
    return counters_response({{"connections", total.connections},
                              {"bytes", total.bytes},
                              {"resets", total.resets},
                              {"refused", total.refused}});
}

} // namespace fuchsia::standins::links
