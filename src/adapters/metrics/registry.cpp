#include "adapters/metrics/registry.hpp"

#include <algorithm>
#include <mutex>
#include <prometheus/text_serializer.h>

namespace fuchsia::adapters::metrics
{

namespace
{

prometheus::Histogram::BucketBoundaries const& latency_buckets()
{
    static prometheus::Histogram::BucketBoundaries const buckets{0.0005,
                                                                 0.001,
                                                                 0.002,
                                                                 0.005,
                                                                 0.01,
                                                                 0.02,
                                                                 0.05,
                                                                 0.1,
                                                                 0.2,
                                                                 0.5,
                                                                 1,
                                                                 2,
                                                                 5,
                                                                 10,
                                                                 30,
                                                                 60};
    return buckets;
}

} // namespace

labels registry::limit_label_sets(std::string const& name,
                                  labels const& label_set)
{
    std::lock_guard const lock(mutex_);
    auto& label_sets = label_sets_[name];
    if (std::find(label_sets.begin(), label_sets.end(), label_set) !=
        label_sets.end())
    {
        return label_set;
    }
    if (label_sets.size() < max_series)
    {
        label_sets.push_back(label_set);
        return label_set;
    }
    labels other = label_set;
    for (auto& [label, value] : other)
    {
        value = "other";
    }
    return other;
}

prometheus::Counter& registry::counter(std::string const& name,
                                       std::string const& help,
                                       labels const& label_set)
{
    auto& family =
        prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
    return family.Add(limit_label_sets(name, label_set));
}

prometheus::Gauge& registry::gauge(std::string const& name,
                                   std::string const& help,
                                   labels const& label_set)
{
    auto& family =
        prometheus::BuildGauge().Name(name).Help(help).Register(registry_);
    return family.Add(limit_label_sets(name, label_set));
}

prometheus::Histogram& registry::latency(std::string const& name,
                                         std::string const& help,
                                         labels const& label_set)
{
    auto& family =
        prometheus::BuildHistogram().Name(name).Help(help).Register(registry_);
    return family.Add(limit_label_sets(name, label_set), latency_buckets());
}

std::string registry::text() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

std::vector<std::string> registry::names() const
{
    std::vector<std::string> names;
    for (auto const& family : registry_.Collect())
    {
        names.push_back(family.name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace fuchsia::adapters::metrics
