#pragma once

#include "adapters/http/server.hpp"
#include "standins/common/http_messages.hpp"
#include "standins/common/registrar.hpp"
#include "standins/upstreams/executor.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace fuchsia::standins::upstreams
{

struct upstream_server_settings
{
    ports::endpoint control{"127.0.0.1", 20100};
    /// Platform to register with; if absent, executors are not registered.
    std::optional<ports::endpoint> platform;
    core::common::duration register_interval = std::chrono::seconds(1);
    /// Executors listen on consecutive ports from `first_port`, or on free
    /// ports if it is 0.
    std::string address = "127.0.0.1";
    std::uint16_t first_port = 20101;
    upstream_pool_settings pool;
    executor_settings executor;
};

/// Runs all executors, with their registration, injected faults and counters.
class upstream_server
{
public:
    upstream_server(boost::asio::io_context& io,
                    upstream_server_settings settings);

    /// Starts listening and returns the control endpoint.
    std::optional<ports::endpoint> listen(core::common::failure& reason);
    std::vector<ports::endpoint> const& executors() const noexcept;
    void stop();

private:
    using request = adapters::http::request;
    using response = adapters::http::response;

    bool listen_executors(core::common::failure& reason);
    response handle_control(request const& http_request);
    response set_faults(std::string const& body);
    response report_counters() const;
    instance_registration describe(std::size_t number) const;

    boost::asio::io_context& io_;
    upstream_server_settings settings_;
    upstream_pool pool_;
    std::vector<std::shared_ptr<executor>> executors_;
    std::vector<ports::endpoint> endpoints_;
    adapters::http::server control_;
    std::optional<registrar> registrar_;
};

} // namespace fuchsia::standins::upstreams
