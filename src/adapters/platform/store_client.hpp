#pragma once

#include "adapters/http/client.hpp"
#include "ports/store.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>

namespace fuchsia::adapters::platform
{

/// Token bucket that limits the calls per second; its burst is the number of
/// calls of one second.
class call_budget
{
public:
    explicit call_budget(std::uint32_t per_second);
    /// Takes one token; false if none is available.
    bool take(core::common::time_point now) noexcept;

private:
    double per_second_;
    double tokens_;
    core::common::time_point last_{};
};

struct store_settings
{
    ports::endpoint remote_endpoint;
    core::common::duration timeout = std::chrono::seconds(1);
    std::uint32_t reads_per_second = 20;
    std::uint32_t writes_per_second = 20;
};

/// Numbers of calls sent and of replies.
struct store_counts
{
    std::array<std::uint64_t, 5> calls{}; ///< By index of `store_operation`.
    std::array<std::uint64_t, 4> ends{};  ///< Replies by `store_status`.
    /// Calls not sent because the budget was used up.
    std::uint64_t over_budget = 0;
};

/// Client of the platform's key-value service over HTTP (docs/API.md).
class store_client
{
public:
    using handler = std::function<void(std::uint64_t, ports::store_reply)>;

    store_client(boost::asio::io_context& io,
                 store_settings settings,
                 handler on_reply);

    /// Sends `call`. The handler is called exactly once, with `tag` and the
    /// reply, and never from within `send`.
    void send(ports::store_call call, std::uint64_t tag = 0);

    store_counts const& counts() const noexcept;

private:
    bool within_budget(ports::store_operation const& operation);
    void finish(std::uint64_t tag, ports::store_reply reply);

    boost::asio::io_context& io_;
    store_settings settings_;
    handler on_reply_;
    http::client client_;
    http::client watch_client_;
    call_budget read_budget_;
    call_budget write_budget_;
    store_counts counts_;
};

} // namespace fuchsia::adapters::platform
