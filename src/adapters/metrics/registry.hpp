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

/// Label set of a time series: label names with their values.
using labels = std::map<std::string, std::string>;

/// Metrics of one process by name (docs/METRICS.md). Thread-safe.
///
/// Each metric has at most `max_series` label sets. Further ones are counted in
/// a label set whose values are all "other", since a label set lasts for the
/// life of the process and callers choose some of the values.
class registry
{
public:
    static constexpr std::size_t max_series = 200;

    prometheus::Counter& counter(std::string const& name,
                                 std::string const& help,
                                 labels const& label_set = {});
    prometheus::Gauge& gauge(std::string const& name,
                             std::string const& help,
                             labels const& label_set = {});
    /// Returns a histogram of seconds, with buckets from 0.5 ms to 60 s.
    prometheus::Histogram& latency(std::string const& name,
                                   std::string const& help,
                                   labels const& label_set = {});

    /// Returns all metrics in the text format of Prometheus.
    std::string text() const;
    /// Returns the sorted names of all metrics.
    std::vector<std::string> names() const;

private:
    /// Returns `label_set`, or the label set "other" if the metric has too
    /// many.
    labels limit_label_sets(std::string const& name, labels const& label_set);

    prometheus::Registry registry_;
    std::mutex mutex_;
    std::map<std::string, std::vector<labels>> label_sets_;
};

inline double seconds(core::common::duration length) noexcept
{
    return std::chrono::duration<double>(length).count();
}

} // namespace fuchsia::adapters::metrics
