#pragma once

#include "adapters/http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace fuchsia::adapters::http
{

struct client_settings
{
    /// Maximum number of connections to one endpoint, idle and busy together.
    std::uint32_t connections_per_endpoint = 60;
    core::common::duration connect_timeout = std::chrono::seconds(1);
    /// Maximum time to wait for a late response before its connection is
    /// closed.
    core::common::duration drain_timeout = std::chrono::seconds(30);
    /// Time after which an idle connection is closed.
    core::common::duration idle_timeout = std::chrono::seconds(30);
    /// Maximum size of a response header, and of all interim responses before
    /// it together. The larger of this and `read_bytes` also bounds what stands
    /// between two chunks of a body and the trailer fields behind the last one.
    std::uint32_t header_bytes = 16 * 1024;
    /// Maximum size of a response body.
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    /// Whether a call that times out also closes the idle connections to its
    /// endpoint that have received nothing since the call started. They may be
    /// as unresponsive as the connection of the call.
    bool close_idle_on_timeout = false;
    /// Minimum buffer size for reading a response.
    std::size_t read_bytes = 512;
};

struct client_call
{
    ports::endpoint remote_endpoint;
    request message;
    core::common::duration timeout = std::chrono::seconds(5);
    /// Whether a timed-out call keeps its connection until the late response
    /// has been drained, which a second call of the handler reports. Otherwise
    /// the connection is closed at once.
    bool drain = false;
    /// Approximate time for which a response that is still arriving at the
    /// timeout is read further.
    core::common::duration late_read_limit = std::chrono::seconds(1);
};

/// The open connections of a client.
struct client_connections
{
    std::size_t endpoints = 0; ///< Endpoints with a connection.
    std::size_t idle = 0;
    std::size_t busy = 0; ///< Connecting, or with a call.
    std::size_t most = 0; ///< Largest number to one endpoint.
};

/// HTTP/1.1 client with a pool of persistent connections per endpoint and one
/// request at a time on each connection. It sends every request at most once.
///
/// A request sent on a persistent connection that the server has closed would
/// be lost, and the client could not know whether it ran. Idle connections are
/// therefore watched: a connection on which anything arrives while it is idle
/// is removed from the pool before it is used again.
class client
{
public:
    using handler = std::function<void(ports::exchange_status, response)>;

    client(boost::asio::io_context& io, client_settings settings);
    /// Closes every connection without calling the handlers of pending calls.
    ~client();

    /// Calls `handle` on the client's `io_context`, never from within `send`.
    /// It is called once, or twice if the first status is `timed_out` and
    /// `client_call::drain` is set.
    void send(client_call call, handler handle);

    client_connections connections() const;

    /// Closes each connection as soon as it has no call. Later calls open new
    /// ones.
    void release();

    /// Closes every connection; pending calls end as `lost` or `not_sent`.
    void close();

private:
    class pool;
    std::shared_ptr<pool> pool_;
};

} // namespace fuchsia::adapters::http
