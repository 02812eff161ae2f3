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
    std::uint32_t connections = 60;
    std::uint32_t answer_bytes = 256;
    std::uint32_t header_bytes = 32 * 1024;
    std::uint64_t body_bytes = 2 * 1024 * 1024;
};

/// One executor's HTTP port. It can do what no decent server does: freeze in
/// the middle, and close after half an answer.
class executor : public std::enable_shared_from_this<executor>
{
public:
    /// `number` is its place in `pool`, which outlives it.
    executor(boost::asio::io_context& io,
             upstream_pool& pool,
             std::size_t number,
             executor_settings settings);
    ~executor();

    std::optional<ports::endpoint> listen(core::common::failure& reason);
    /// Goes on with what froze.
    void thaw();
    void close();
    /// Connections closed at once since `connections` were open.
    std::uint64_t connections_refused() const noexcept;

private:
    class connection;

    void accept();
    /// Runs `step` now, or when the executor is thawed. Each connection and
    /// each running request parks one step at most.
    void when_thawed(std::function<void()> step);
    void run(work_request const& what,
             std::function<void(work_outcome)> const& done);

    boost::asio::io_context& io_;
    upstream_pool& pool_;
    std::size_t number_;
    executor_settings settings_;
    adapters::runtime::acceptor acceptor_;
    std::vector<std::weak_ptr<connection>> connections_;
    std::vector<std::function<void()>> parked_;
    std::uint32_t open_ = 0;
    std::uint64_t connections_refused_ = 0;
};

} // namespace fuchsia::standins::upstreams
