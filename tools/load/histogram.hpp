#pragma once

#include <cstdint>
#include <vector>

namespace fuchsia::tools::load
{

/// Histogram of durations with log-linear buckets, 64 per power of two.
/// Quantiles are accurate to 1.6 percent and the memory use is fixed.
class histogram
{
public:
    histogram();

    /// Adds a value in microseconds. Negative values count as 0.
    void record(std::int64_t value) noexcept;
    void add(histogram const& other) noexcept;
    void clear() noexcept;

    std::uint64_t count() const noexcept;
    /// Returns the lowest bucket bound in microseconds that is not exceeded by
    /// at least `share` (0 to 1) of the values; 0 for an empty histogram.
    std::int64_t quantile(double share) const noexcept;
    std::int64_t largest() const noexcept;

private:
    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    std::int64_t largest_ = 0;
};

} // namespace fuchsia::tools::load
