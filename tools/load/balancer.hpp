#pragma once

#include "adapters/http/client.hpp"
#include "adapters/runtime/timer.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <vector>

namespace fuchsia::tools::load
{

/// Models the platform's load balancer: round robin over the targets whose last
/// /readyz check returned 200. A changed result takes effect only after `lag`.
class balancer
{
public:
    balancer(boost::asio::io_context& io,
             std::vector<ports::endpoint> targets,
             core::common::duration interval,
             core::common::duration lag);

    void start();
    void stop();
    /// Whether every target has been checked at least once.
    bool checked_all() const noexcept;

    /// Returns the index of the next ready target other than `excluded`, or of
    /// the next target in order if there is none. Requires at least one target.
    std::size_t pick(std::optional<std::size_t> excluded);
    ports::endpoint const& at(std::size_t target) const;
    std::size_t size() const noexcept;
    std::size_t ready() const noexcept;

private:
    struct target
    {
        ports::endpoint address;
        bool ready = false;
        bool checked = false;
    };

    void check_all();
    void record_check(std::size_t index, bool ready);

    boost::asio::io_context& io_;
    std::vector<target> targets_;
    core::common::duration interval_;
    core::common::duration lag_;
    adapters::http::client client_;
    adapters::runtime::timer timer_;
    std::size_t last_picked_ = 0;
};

} // namespace fuchsia::tools::load
