#pragma once

#include "adapters/runtime/acceptor.hpp"
#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "ports/identity.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::standins::links
{

/// Directions in which a link passes no bytes. `forward` is the direction from
/// the side that opened the connection.
enum class cut_state : std::uint8_t
{
    none,
    both,
    forward,
    backward,
};

std::optional<cut_state> cut_state_from(std::string_view name) noexcept;

struct link_settings
{
    std::string name;
    ports::endpoint listen;
    ports::endpoint target;
    core::common::duration delay{}; ///< Added latency in each direction.
    /// Maximum number of queued bytes per direction of a connection. When the
    /// queue is full, the relay stops reading from the sender.
    std::size_t buffer_bytes = 256 * 1024;
    std::uint32_t connections = 2'000; ///< Maximum number of open connections.
};

struct link_counters
{
    std::uint64_t connections = 0;
    std::uint64_t bytes = 0;
    std::uint64_t resets = 0;
    std::uint64_t refused = 0; ///< Connections beyond the maximum.
};

/// Forwards TCP connections to `target`, with a delay or not at all.
///
/// To both ends a cut looks like a network partition: connections stay open and
/// bytes are queued. A reset closes all connections and discards the bytes
/// queued in them.
class relay : public std::enable_shared_from_this<relay>
{
public:
    relay(boost::asio::io_context& io, link_settings settings);
    ~relay();

    std::optional<ports::endpoint> listen(core::common::failure& reason);
    void set_delay(core::common::duration delay);
    void set_cut(cut_state cut);
    void reset();
    void close();

    std::string const& name() const noexcept;
    link_counters const& counters() const noexcept;

private:
    class direction;
    class connection;

    void accept();

    boost::asio::io_context& io_;
    link_settings settings_;
    cut_state cut_ = cut_state::none;
    adapters::runtime::acceptor acceptor_;
    std::vector<std::weak_ptr<connection>> connections_;
    link_counters counters_;
    std::uint32_t open_connections_ = 0;
};

} // namespace fuchsia::standins::links
