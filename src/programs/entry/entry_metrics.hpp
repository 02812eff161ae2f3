#pragma once

#include "adapters/metrics/registry.hpp"
#include "core/requests/entry_engine.hpp"
#include "ports/requests.hpp"

#include <map>
#include <string>
#include <tuple>

namespace fuchsia::programs::entry
{

/// Metrics of one entry process (docs/METRICS.md).
class entry_metrics
{
public:
    explicit entry_metrics(adapters::metrics::registry& registry);

    /// Records one answer to a caller. A customer without a contract is counted
    /// as "unknown", since callers can send any name.
    void on_answer(std::string const& customer,
                   ports::request_class kind,
                   ports::caller_answer const& answer,
                   core::common::duration elapsed);
    /// Copies the state and the counters of the engine to the metrics.
    void sample(core::requests::entry_status const& status,
                core::requests::entry_counts const& counts);

private:
    void gauge(std::string const& name, std::string const& help, double value);
    void
    counter(std::string const& name, std::string const& help, double total);

    adapters::metrics::registry& registry_;
    // Pointers to metrics of the registry, which save a label lookup per
    // request.
    std::map<std::pair<std::string, ports::request_class>,
             prometheus::Histogram*>
        latencies_;
    std::map<std::tuple<ports::request_class,
                        core::common::outcome,
                        core::common::result_code>,
             prometheus::Counter*>
        answers_;
};

} // namespace fuchsia::programs::entry
