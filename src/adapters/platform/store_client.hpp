#pragma once

#include "adapters/http/client.hpp"
#include "ports/store.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>

namespace fuchsia::adapters::platform
{

/// Calls a second, with bursts of one second's worth.
class call_budget
{
public:
    explicit call_budget(std::uint32_t per_second);
    /// Takes one call; false where the budget is used up.
    bool take(core::common::time_point now) noexcept;

private:
    double per_second_;
    double tokens_;
    core::common::time_point last_{};
};

struct store_settings
{
    ports::endpoint where;
    core::common::duration timeout = std::chrono::seconds(1);
    std::uint32_t reads_per_second = 20;
    std::uint32_t writes_per_second = 20;
};

/// How many calls of each kind went out, by the index of `store_operation`,
/// and how each ended, by `store_status`.
struct store_counts
{
    std::array<std::uint64_t, 5> calls{};
    std::array<std::uint64_t, 4> ends{};
    std::uint64_t over_budget = 0;
};

/// The platform's key-value service over HTTP (docs/API.md).
class store_client
{
public:
    using handler = std::function<void(std::uint64_t, ports::store_reply)>;

    store_client(boost::asio::io_context& io,
                 store_settings settings,
                 handler handle);

    /// Answers through the handler exactly once, never from within `send`,
    /// with `tag` beside the reply.
    void send(ports::store_call call, std::uint64_t tag = 0);

    store_counts const& counts() const noexcept;

private:
    bool within_budget(ports::store_operation const& operation);
    void finish(std::uint64_t tag, ports::store_reply reply);

    boost::asio::io_context& io_;
    store_settings settings_;
    handler handle_;
    http::client client_;
    http::client watches_;
    call_budget reads_;
    call_budget writes_;
    store_counts counts_;
};

} // namespace fuchsia::adapters::platform
