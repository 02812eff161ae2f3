#pragma once

#include "adapters/http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace fuchsia::adapters::http
{

struct client_settings
{
    /// Kept and busy connections to one endpoint together.
    std::uint32_t connections_per_endpoint = 60;
    core::common::duration connect_timeout = std::chrono::seconds(1);
    /// A late answer is waited for this long before its connection is closed.
    core::common::duration drain_timeout = std::chrono::seconds(30);
    /// An unused connection is closed after this long.
    core::common::duration idle_timeout = std::chrono::seconds(30);
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    /// A call that times out closes the unused connections to its endpoint that
    /// have brought nothing since it began: they may be as silent as its own.
    bool close_idle_on_timeout = false;
    /// Answers are read in pieces of this size, at least.
    std::size_t read_bytes = 512;
};

struct client_call
{
    ports::endpoint remote_endpoint;
    request message;
    core::common::duration timeout = std::chrono::seconds(5);
    /// After a time-out: keep the connection until the late answer was drained
    /// (a second call of the handler says so), or close it at once.
    bool drain = false;
    /// An answer that keeps arriving when the time limit passes is read on for
    /// about this long.
    core::common::duration late_read_limit = std::chrono::seconds(1);
};

/// HTTP/1.1 client with a pool of kept connections per endpoint; one request
/// at a time on each. It sends every request at most once.
///
/// A kept connection that its server has closed would lose the next request
/// without a trace of whether it ran. An idle connection is therefore watched:
/// one on which anything arrives is dropped from the pool before it is used.
class client
{
public:
    using handler = std::function<void(ports::exchange_status, response)>;

    client(boost::asio::io_context& io, client_settings settings);
    /// Closes every connection; handlers of open calls are not called.
    ~client();

    /// `handle` is called on the client's `io_context`: once, or twice where
    /// the first status is `timed_out` and the call asked to drain. Never from
    /// within `send`.
    void send(client_call call, handler handle);

    /// Closes every connection; open calls end as `lost` or `not_sent`.
    void close();

private:
    class pool;
    std::shared_ptr<pool> pool_;
};

} // namespace fuchsia::adapters::http
