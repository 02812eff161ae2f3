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
    : where_(settings.control),
      control_(
          io,
          {},
          [this](request const& asked, adapters::http::responder const& answer)
          {
              answer(handle_control(asked));
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
    for (auto const& each : relays_)
    {
        auto const where = each->listen(reason);
        if (!where)
        {
            return std::nullopt;
        }
        endpoints_.push_back(*where);
    }
    return control_.listen(where_, reason);
}

std::vector<ports::endpoint> const& link_server::endpoints() const noexcept
{
    return endpoints_;
}

void link_server::stop()
{
    control_.close();
    for (auto const& each : relays_)
    {
        each->close();
    }
}

link_server::response link_server::handle_control(request const& asked)
{
    auto const target = parse_target(asked.target);
    if (!target)
    {
        return error_response(bad_request, "malformed target");
    }
    if (target->path == "/control/counts" && asked.method == "GET")
    {
        return books();
    }
    if (auto const name = target->after("/control/links/");
        name && asked.method == "POST")
    {
        return set_link(*name, asked.body);
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
    for (auto const& each : relays_)
    {
        if (name != "*" && each->name() != name)
        {
            continue;
        }
        found = true;
        if (json->contains("delay_ms"))
        {
            each->set_delay(std::chrono::milliseconds(delay));
        }
        // A reset goes first: what waited in a cut is never delivered.
        if (reset)
        {
            each->reset();
        }
        if (json->contains("cut"))
        {
            each->set_cut(*cut);
        }
    }
    return found ? json_response(boost::json::object{{"set", true}})
                 : error_response(not_found, "no such link");
}

link_server::response link_server::books() const
{
    link_counters sum;
    for (auto const& each : relays_)
    {
        auto const& books = each->counters();
        sum.connections += books.connections;
        sum.bytes += books.bytes;
        sum.resets += books.resets;
        sum.refused += books.refused;
    }
    return counters_response({{"connections", sum.connections},
                              {"bytes", sum.bytes},
                              {"resets", sum.resets},
                              {"refused", sum.refused}});
}

} // namespace fuchsia::standins::links
