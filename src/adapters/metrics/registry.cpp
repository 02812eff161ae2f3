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

labels registry::bounded(std::string const& name, labels const& with)
{
    std::lock_guard const lock(mutex_);
    auto& known = series_[name];
    if (std::find(known.begin(), known.end(), with) != known.end())
    {
        return with;
    }
    if (known.size() < max_series)
    {
        known.push_back(with);
        return with;
    }
    labels other = with;
    for (auto& [label, value] : other)
    {
        value = "other";
    }
    return other;
}

prometheus::Counter& registry::counter(std::string const& name,
                                       std::string const& help,
                                       labels const& with)
{
    auto& family =
        prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
    return family.Add(bounded(name, with));
}

prometheus::Gauge& registry::gauge(std::string const& name,
                                   std::string const& help,
                                   labels const& with)
{
    auto& family =
        prometheus::BuildGauge().Name(name).Help(help).Register(registry_);
    return family.Add(bounded(name, with));
}

prometheus::Histogram& registry::latency(std::string const& name,
                                         std::string const& help,
                                         labels const& with)
{
    auto& family =
        prometheus::BuildHistogram().Name(name).Help(help).Register(registry_);
    return family.Add(bounded(name, with), latency_buckets());
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
