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
    ports::member_identity self; ///< Identity of this process.
    std::string token;           ///< Shared secret of the members.
    /// Addresses that may connect, as IP addresses or prefixes such as
    /// "127.0.0.0/8".
    std::vector<std::string> allowed;
    core::common::duration connect_timeout = std::chrono::seconds(1);
    /// Maximum size of the send queue of one peer. A message that would exceed
    /// it is dropped; the sender detects the loss by its own timeout, as it
    /// detects the loss of a message on the network.
    std::size_t queue_bytes = 8 * 1024 * 1024;
    std::uint32_t connections = 512; ///< Maximum number of inbound connections.
    /// Time after which an inbound connection without a complete first frame is
    /// refused. A peer sends that frame at once.
    core::common::duration first_frame_timeout = std::chrono::seconds(5);
};

struct transport_counts
{
    /// Frames sent, including the first frame of each connection, which carries
    /// the token and no message.
    std::uint64_t sent = 0;
    std::uint64_t received = 0; ///< Messages received, without first frames.
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    /// Outbound messages that were not sent, and inbound messages that the
    /// handler did not accept.
    std::uint64_t dropped = 0;
    /// Inbound connections that were refused or were closed because of an
    /// invalid frame or for lack of a first frame.
    std::uint64_t refused = 0;
};

/// Transport of FlatBuffers frames over TCP. Each member opens a connection to
/// each peer that it sends messages to; replies arrive on the connection that
/// the peer opens in the other direction. Messages may be lost when a
/// connection is closed, but a connection never truncates, duplicates or
/// reorders messages.
class transport
{
public:
    /// Called for each received message on the `io_context` given to the
    /// constructor. Returns false if the message could not be accepted and its
    /// connection must be closed.
    using handler = std::function<bool(ports::peer_receive)>;

    transport(boost::asio::io_context& io,
              transport_settings settings,
              handler handle);
    ~transport();

    /// Starts accepting connections and returns the bound address; port 0
    /// selects a free port. If the address cannot be bound, the result is empty
    /// and `reason` is set.
    std::optional<ports::endpoint> listen(ports::endpoint const& local_endpoint,
                                          core::common::failure& reason);
    void send(ports::peer_send message);

    /// Closes every connection and drops its buffered frames. After a pause of
    /// this process, frames from before the pause must be neither sent nor
    /// read.
    void reset();
    /// Continues as another incarnation of this process; implies `reset`.
    void rename(ports::member_identity self);
    void close();

    transport_counts const& counts() const noexcept;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace fuchsia::adapters::peer
