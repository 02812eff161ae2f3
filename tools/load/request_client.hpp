#pragma once

#include "adapters/http/client.hpp"
#include "tools/load/balancer.hpp"
#include "tools/load/experiment.hpp"
#include "tools/load/request_statistics.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fuchsia::tools::load
{

/// Sends the requests of an experiment, retries them according to its retry
/// settings and records every result in the statistics.
class request_client
{
public:
    /// `run_id` makes keys and tokens unique to the run. The objects passed by
    /// reference must outlive the client.
    request_client(boost::asio::io_context& io,
                   experiment const& spec,
                   balancer& entries,
                   request_statistics& statistics,
                   std::string run_id);

    /// Sets the targets of the requests of `direct` streams.
    void set_direct_targets(std::vector<ports::endpoint> targets);
    void begin(core::common::time_point start);
    /// Sends one request of `stream` that was scheduled for `due`.
    void send(std::size_t stream, core::common::time_point due);

    std::size_t in_flight() const noexcept;
    std::uint64_t sent() const noexcept;
    void close();

private:
    struct pending;
    using pending_ptr = std::shared_ptr<pending>;

    void attempt(pending_ptr const& request);
    ports::endpoint const& choose_endpoint(pending& request);
    adapters::http::request
    make_message(pending const& request,
                 core::common::duration remaining) const;
    void on_end(pending_ptr const& request,
                ports::exchange_status status,
                adapters::http::response const& answer);
    bool retry(pending_ptr const& request,
               request_result result,
               adapters::http::response const& answer);
    void
    finish(pending const& request, request_result result, std::uint16_t status);

    boost::asio::io_context& io_;
    experiment const& experiment_;
    balancer& entries_;
    request_statistics& statistics_;
    std::string run_id_;
    adapters::http::client client_;
    std::vector<ports::endpoint> direct_targets_;
    std::size_t direct_index_ = 0;
    core::common::time_point start_{};
    std::uint64_t sent_ = 0;
    std::size_t in_flight_ = 0;
};

} // namespace fuchsia::tools::load
