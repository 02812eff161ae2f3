#pragma once

#include "adapters/peer/codec.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::adapters::peer
{

struct transport_settings
{
    ports::member_identity self;
    std::string token;
    /// Addresses that may connect, as IP numbers or prefixes such as
    /// "127.0.0.0/8".
    std::vector<std::string> allowed;
    core::common::duration connect_timeout = std::chrono::seconds(1);
    /// What waits for one peer beyond this is dropped with its connection; the
    /// sender's own time-outs answer for the loss, as for a lost packet.
    std::size_t queue_bytes = 8 * 1024 * 1024;
    std::uint32_t connections = 512;
};

struct transport_counts
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t dropped = 0;
    std::uint64_t refused = 0;
};

/// Framed FlatBuffers over TCP. Each member connects to each peer that it has
/// something for; answers come over the peer's own connection back. Messages
/// may be lost with a connection, never torn, repeated or reordered on one.
class transport
{
public:
    /// Calls back on `io`; false where the message could not be taken and its
    /// connection is to be closed.
    using handler = std::function<bool(ports::peer_receive)>;

    transport(boost::asio::io_context& io,
              transport_settings settings,
              handler handle);
    ~transport();

    std::optional<ports::endpoint> listen(ports::endpoint const& where,
                                          core::common::failure& reason);
    void send(ports::peer_send message);

    /// Closes every connection and drops what waits in its buffers: after a
    /// pause, frames of before it must be neither sent nor read.
    void reset();
    /// This process goes on as another incarnation; implies `reset`.
    void rename(ports::member_identity self);
    void close();

    transport_counts const& counts() const noexcept;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace fuchsia::adapters::peer
