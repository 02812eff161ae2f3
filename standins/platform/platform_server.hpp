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

/// One instance that the platform itself finds alive by connecting to it.
struct probe_target
{
    std::string id;
    std::string name; ///< Of its service.
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

/// The platform's store, instance list and faults behind one HTTP port.
class platform_server
{
public:
    platform_server(boost::asio::io_context& io, platform_settings settings);

    std::optional<ports::endpoint> listen(core::common::failure& reason);
    /// Answers what is held and closes.
    void stop();

private:
    using request = adapters::http::request;
    using response = adapters::http::response;
    using responder = adapters::http::responder;

    void handle(request asked, responder answer);
    void handle_platform(request_target const& target,
                         request const& asked,
                         responder const& answer);
    void handle_slowly(request asked, request_target target, responder answer);
    response handle_control(request_target const& target, request const& asked);
    response handle_catalog(request_target const& target, request const& asked);
    response register_instance(std::string const& body);
    response list_instances(std::string_view name);
    response set_faults(std::string const& body);
    response set_instance(std::string_view id, std::string const& body);
    response books() const;
    void answer_due();
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
    std::map<std::uint64_t, responder> held_;
    std::uint64_t catalog_lists_ = 0;
    std::uint64_t registrations_ = 0;
};

} // namespace fuchsia::standins::platform
