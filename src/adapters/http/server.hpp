#pragma once

#include "adapters/http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fuchsia::adapters::http
{

/// Bounds of one server; what exceeds them is answered and closed.
struct server_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 1024 * 1024;
    std::uint32_t connections = 4096;
    /// A connection on which nothing moves for this long is closed. Time that
    /// a request waits for its answer does not count.
    core::common::duration idle = std::chrono::seconds(60);
};

/// Sends the answer of one request; to be called once, on the server's own
/// `io_context`. A further call is ignored.
using responder = std::function<void(response)>;
using request_handler = std::function<void(request, responder)>;

/// HTTP/1.1 server with kept connections, one request at a time on each.
/// Malformed or oversize messages are answered with a numbered code and never
/// reach the handler.
class server
{
public:
    server(boost::asio::io_context& io,
           server_limits limits,
           request_handler handle);
    ~server();

    /// Starts to accept; port 0 takes a free one. Empty, with the reason, where
    /// the address can't be bound.
    std::optional<ports::endpoint> listen(ports::endpoint const& where,
                                          core::common::failure& reason);

    /// From now on every answer closes its connection; new ones are still
    /// taken.
    void close_after_answers() noexcept;
    /// Takes no new connection, closes those without a request, and closes
    /// each other after its answer.
    void drain();
    /// Requests that wait for their answer.
    std::uint32_t waiting() const noexcept;
    /// Closes everything at once.
    void close();

private:
    class listener;
    std::shared_ptr<listener> listener_;
};

} // namespace fuchsia::adapters::http
