#pragma once

#include "adapters/http/server.hpp"
#include "adapters/runtime/timer.hpp"
#include "standins/platform/catalog.hpp"
#include "standins/platform/store_service.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fuchsia::standins::platform
{

/// Instance that the platform itself checks by connecting to it.
struct probe_target
{
    std::string id;
    std::string name; ///< Name of the service.
    ports::endpoint endpoint;
    std::string data_centre;
};

struct platform_settings
{
    ports::endpoint listen{"127.0.0.1", 20000};
    store_service_settings store;
    catalog_settings instances;
    std::vector<probe_target> probes;
    core::common::duration probe_interval = std::chrono::seconds(1);
};

/// Serves the platform's store, its catalog of instances and the control of
/// injected faults on one HTTP port.
class platform_server
{
public:
    platform_server(boost::asio::io_context& io, platform_settings settings);

    std::optional<ports::endpoint> listen(core::common::failure& reason);
    /// Drops the blocking queries that wait, and closes the server.
    void stop();

private:
    using request = adapters::http::request;
    using response = adapters::http::response;
    using responder = adapters::http::responder;

    void handle(request http_request, responder respond);
    void handle_platform(request_target const& target,
                         request const& http_request,
                         responder const& respond);
    void handle_slowly(request http_request,
                       request_target target,
                       responder respond);
    response handle_control(request_target const& target,
                            request const& http_request);
    response handle_catalog(request_target const& target,
                            request const& http_request);
    response register_instance(std::string const& body);
    response list_instances(std::string_view name);
    response set_faults(std::string const& body);
    response set_instance(std::string_view id, std::string const& body);
    response report_counters() const;
    void answer_due_queries();
    void tick();
    void probe_all();
    void probe(probe_target const& target);

    boost::asio::io_context& io_;
    platform_settings settings_;
    store_service store_;
    catalog catalog_;
    adapters::http::server server_;
    adapters::runtime::timer tick_timer_;
    adapters::runtime::timer probe_timer_;
    /// Responders of blocking queries, by the number of the query.
    std::map<std::uint64_t, responder> held_responders_;
    std::uint64_t catalog_lists_ = 0;
    std::uint64_t registrations_ = 0;
};

} // namespace fuchsia::standins::platform
