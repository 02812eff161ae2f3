#pragma once

#include "core/common/time.hpp"

#include <cstddef>
#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace fuchsia::adapters::metrics
{

using labels = std::map<std::string, std::string>;

/// The metrics of one process, by name (docs/METRICS.md). Thread-safe.
///
/// Each name holds at most `max_series` label sets; what comes after is counted
/// under the value "other" for every label, since a label set lasts for the
/// life of the process and callers choose some of the values.
class registry
{
public:
    static constexpr std::size_t max_series = 200;

    prometheus::Counter& counter(std::string const& name,
                                 std::string const& help,
                                 labels const& with = {});
    prometheus::Gauge& gauge(std::string const& name,
                             std::string const& help,
                             labels const& with = {});
    /// Seconds, in buckets from 0.5 ms to 60 s.
    prometheus::Histogram& latency(std::string const& name,
                                   std::string const& help,
                                   labels const& with = {});

    /// All metrics in Prometheus' text format.
    std::string text() const;
    /// Sorted names of all families.
    std::vector<std::string> names() const;

private:
    labels bounded(std::string const& name, labels const& with);

    prometheus::Registry registry_;
    std::mutex mutex_;
    std::map<std::string, std::vector<labels>> series_;
};

inline double seconds(core::common::duration length) noexcept
{
    return std::chrono::duration<double>(length).count();
}

} // namespace fuchsia::adapters::metrics
