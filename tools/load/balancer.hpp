#pragma once

#include "adapters/http/client.hpp"
#include "adapters/runtime/timer.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <vector>

namespace fuchsia::tools::load
{

/// Chooses among targets as the platform's balancer does: in turn among those
/// whose /readyz was 200 when it last looked, which it learns late.
class balancer
{
public:
    balancer(boost::asio::io_context& io,
             std::vector<ports::endpoint> targets,
             core::common::duration interval,
             core::common::duration lag);

    void start();
    void stop();
    /// Whether every target has been looked at once.
    bool checked_all() const noexcept;

    /// The next ready target, another than `not_this` where there is one; any
    /// target where none is ready. There must be a target.
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
