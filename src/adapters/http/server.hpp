#pragma once

#include "adapters/http/connection_budget.hpp"
#include "adapters/http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fuchsia::adapters::http
{

/// Limits of one server. A message above its size limit is answered with an
/// error, and its connection is closed.
struct server_limits
{
    /// Maximum size of a header, and of what stands between or behind the
    /// chunks of a body: a chunk's size with its extension, trailer fields.
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 1024 * 1024; ///< Maximum size of a body.
    /// Maximum number of connections of a server with a budget of its own.
    std::uint32_t connections = 4096;
    /// Maximum time to receive the next request, after which the connection is
    /// closed. The time that a request waits for its response does not count.
    core::common::duration idle = std::chrono::seconds(60);
    /// Maximum time to send a response, after which the connection is closed.
    core::common::duration write = std::chrono::seconds(30);
};

/// Sends the response to one request. It must be called once, on the
/// `io_context` of the server; further calls are ignored.
using responder = std::function<void(response)>;
using request_handler = std::function<void(request, responder)>;

/// HTTP/1.1 server with persistent connections and one request at a time on
/// each connection. Malformed or oversize messages are answered with a numbered
/// result code and never reach the handler.
class server
{
public:
    /// Servers of one process share `budget`; without it, the server has one of
    /// its own with the default limits.
    server(boost::asio::io_context& io,
           server_limits limits,
           request_handler handle,
           std::shared_ptr<connection_budget> budget = nullptr);
    ~server();

    /// Starts accepting connections and returns the bound address; port 0
    /// selects a free port. If the address cannot be bound, the result is empty
    /// and `reason` is set.
    std::optional<ports::endpoint> listen(ports::endpoint const& local_endpoint,
                                          core::common::failure& reason);

    /// Closes each connection after its next response; new connections are
    /// still accepted.
    void close_after_answers() noexcept;
    /// Stops accepting connections, closes the connections without a pending
    /// request, and closes the others after their response.
    void drain();
    /// Returns the number of requests that wait for their response.
    std::uint32_t waiting() const noexcept;
    /// Closes the listening socket and all connections at once.
    void close();

private:
    class listener;
    std::shared_ptr<listener> listener_;
};

} // namespace fuchsia::adapters::http
