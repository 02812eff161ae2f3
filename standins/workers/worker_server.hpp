#pragma once

#include "adapters/http/server.hpp"
#include "adapters/runtime/timer.hpp"
#include "standins/common/http_messages.hpp"
#include "standins/common/registrar.hpp"
#include "standins/workers/worker_pool.hpp"

#include <deque>
#include <optional>

namespace fuchsia::standins::workers
{

struct worker_server_settings
{
    ports::endpoint listen{"127.0.0.1", 20200};
    /// Platform at which the agent registers; absent: it does not register.
    std::optional<ports::endpoint> platform;
    worker_pool_settings pool;
};

/// HTTP server of the workers' agent, with its fault injection and counters.
class worker_server
{
public:
    worker_server(boost::asio::io_context& io, worker_server_settings settings);

    std::optional<ports::endpoint> listen(core::common::failure& reason);
    void stop();

private:
    using request = adapters::http::request;
    using response = adapters::http::response;
    using responder = adapters::http::responder;

    /// Call to a frozen worker. It is handled when the worker is unfrozen.
    struct parked_call
    {
        std::size_t worker = 0;
        std::string operation;
        std::string body;
        responder respond;
    };

    void handle(request const& message, responder const& respond);
    void handle_worker(std::string_view path,
                       request const& message,
                       responder const& respond);
    response call(std::size_t worker,
                  std::string_view operation,
                  std::string const& body);
    response handle_control(request_target const& target,
                            request const& message);
    response set_faults(std::string const& body);
    response set_data_centre(std::string_view name, std::string const& body);
    response list() const;
    response reports(std::string_view rack) const;
    response counters_answer() const;
    /// Handles the parked calls whose workers are no longer frozen.
    void answer_parked();
    void tick();

    boost::asio::io_context& io_;
    worker_server_settings settings_;
    worker_pool pool_;
    adapters::http::server server_;
    adapters::runtime::timer timer_;
    std::deque<parked_call> parked_;
    std::optional<registrar> registrar_;
    ports::endpoint bound_endpoint_;
};

} // namespace fuchsia::standins::workers
