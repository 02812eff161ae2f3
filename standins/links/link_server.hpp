#pragma once

#include "adapters/http/server.hpp"
#include "standins/common/http_messages.hpp"
#include "standins/links/relay.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace fuchsia::standins::links
{

struct link_server_settings
{
    ports::endpoint control{"127.0.0.1", 20300};
    std::vector<link_settings> links;
};

/// Runs all relays and an HTTP control port that delays, cuts and resets them.
class link_server
{
public:
    link_server(boost::asio::io_context& io,
                link_server_settings const& settings);

    /// Starts listening and returns the control endpoint.
    std::optional<ports::endpoint> listen(core::common::failure& reason);
    /// Returns the listening endpoint of each link, in the order of the
    /// settings.
    std::vector<ports::endpoint> const& endpoints() const noexcept;
    void stop();

private:
    using request = adapters::http::request;
    using response = adapters::http::response;

    response handle_control(request const& http_request);
    response set_link(std::string_view name, std::string const& body);
    response report_counters() const;

    std::vector<std::shared_ptr<relay>> relays_;
    std::vector<ports::endpoint> endpoints_;
    ports::endpoint control_endpoint_;
    adapters::http::server control_;
};

} // namespace fuchsia::standins::links
