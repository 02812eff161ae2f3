#pragma once

#include "adapters/runtime/acceptor.hpp"
#include "core/common/result_code.hpp"
#include "ports/identity.hpp"
#include "standins/upstreams/upstream_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace fuchsia::standins::upstreams
{

struct executor_settings
{
    ports::endpoint listen;
    std::uint32_t connections = 60; ///< Maximum number of open connections.
    std::uint32_t response_bytes = 256;
    std::uint32_t header_bytes = 32 * 1024;
    std::uint64_t body_bytes = 2 * 1024 * 1024;
};

/// HTTP server of one executor. Unlike a correct server, it can freeze in the
/// middle of a request and close the connection after half a response.
class executor : public std::enable_shared_from_this<executor>
{
public:
    /// `number` is the index of the executor in `pool`, which must outlive it.
    executor(boost::asio::io_context& io,
             upstream_pool& pool,
             std::size_t number,
             executor_settings settings);
    ~executor();

    std::optional<ports::endpoint> listen(core::common::failure& reason);
    /// Resumes the steps that were suspended while the executor was frozen.
    void thaw();
    void close();
    /// Returns the number of connections that were closed at once because
    /// `connections` were open already.
    std::uint64_t connections_refused() const noexcept;

private:
    class connection;

    void accept();
    /// Runs `step` now, or when the executor is no longer frozen. Each
    /// connection and each running request has at most one suspended step.
    void run_when_thawed(std::function<void()> step);
    void run(work_request const& request,
             std::function<void(work_outcome)> const& on_done);

    boost::asio::io_context& io_;
    upstream_pool& pool_;
    std::size_t number_;
    executor_settings settings_;
    adapters::runtime::acceptor acceptor_;
    std::vector<std::weak_ptr<connection>> connections_;
    std::vector<std::function<void()>> suspended_steps_;
    std::uint32_t open_connections_ = 0;
    std::uint64_t connections_refused_ = 0;
};

} // namespace fuchsia::standins::upstreams
