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

/// Listens at an address and hands over the connections made to it.
class acceptor
{
public:
    using handler = std::function<void(boost::asio::ip::tcp::socket)>;

    explicit acceptor(boost::asio::io_context& io);

    /// Binds an IP number and port; port 0 takes a free one. The address as
    /// bound; empty, with the reason, where it can't be had.
    std::optional<ports::endpoint> listen(ports::endpoint const& where,
                                          core::common::failure& reason);
    /// Calls `take` with the next connection; not after `close`. `take` keeps
    /// this object alive.
    void accept_next(handler take);
    void close();

private:
    boost::asio::ip::tcp::acceptor socket_;
    timer retry_;
    bool closed_ = false;
};

} // namespace fuchsia::adapters::runtime
