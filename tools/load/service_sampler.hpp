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

/// Reads the workers' reports every second and records the tail latencies of
/// the services, which show the interference by other tasks on the same worker.
/// The samples are as old as the reports.
class service_sampler
{
public:
    using tail_latencies = std::map<std::string, histogram, std::less<>>;

    /// `phase` returns the name of the current phase.
    service_sampler(boost::asio::io_context& io,
                    ports::endpoint workers,
                    std::function<std::string()> phase);

    void start();
    /// Returns the sampled 99th percentiles by phase, in microseconds; one
    /// sample per service and second.
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
