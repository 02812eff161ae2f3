#pragma once

#include "adapters/runtime/timer.hpp"
#include "core/common/result_code.hpp"
#include "ports/identity.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>

namespace fuchsia::adapters::runtime
{

/// Listens on an address and passes the accepted connections to a handler.
class acceptor
{
public:
    using handler = std::function<void(boost::asio::ip::tcp::socket)>;

    explicit acceptor(boost::asio::io_context& io);

    /// Binds an IP address and port and returns the bound address; port 0
    /// selects a free port. If the address cannot be bound, the result is empty
    /// and `reason` is set. `receive_buffer_bytes` is asked of the system for
    /// each connection, which chooses the size itself if it is empty.
    std::optional<ports::endpoint>
    listen(ports::endpoint const& local_endpoint,
           core::common::failure& reason,
           std::optional<int> receive_buffer_bytes = std::nullopt);
    /// Calls `handle` with the next connection, but not after `close`. `handle`
    /// must keep this object alive.
    void accept_next(handler handle);
    void close();

private:
    boost::asio::ip::tcp::acceptor socket_;
    timer retry_;
    bool closed_ = false;
};

} // namespace fuchsia::adapters::runtime
