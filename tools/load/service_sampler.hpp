#pragma once

#include "adapters/http/client.hpp"
#include "adapters/runtime/timer.hpp"
#include "tools/load/histogram.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

namespace fuchsia::tools::load
{

/// Reads the workers' reports every second and keeps what the services' tails
/// were: how much their neighbours disturb them. As old as the reports are.
class service_sampler
{
public:
    using tail_latencies = std::map<std::string, histogram, std::less<>>;

    /// `phase` names the row that a sample belongs to.
    service_sampler(boost::asio::io_context& io,
                    ports::endpoint workers,
                    std::function<std::string()> phase);

    void start();
    /// One 99th percentile a service and second, in microseconds, by phase.
    tail_latencies const& by_phase() const noexcept;

private:
    void record_reports(adapters::http::response const& answer);

    ports::endpoint workers_;
    std::function<std::string()> phase_;
    adapters::http::client client_;
    adapters::runtime::timer timer_;
    tail_latencies by_phase_;
};

} // namespace fuchsia::tools::load
