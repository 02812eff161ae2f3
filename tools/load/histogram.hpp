#pragma once

#include <cstdint>
#include <vector>

namespace fuchsia::tools::load
{

/// Counts of lengths of time in log-linear buckets: 64 to each power of two,
/// so that a quantile is exact to 1.6 percent, and memory is fixed.
class histogram
{
public:
    histogram();

    /// `value` in microseconds; negative ones count as 0.
    void record(std::int64_t value) noexcept;
    void add(histogram const& other) noexcept;
    void clear() noexcept;

    std::uint64_t count() const noexcept;
    /// The least bucket bound that at least `share` (0 to 1) of the values do
    /// not exceed, in microseconds; 0 where there is none.
    std::int64_t quantile(double share) const noexcept;
    std::int64_t largest() const noexcept;

private:
    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    std::int64_t largest_ = 0;
};

} // namespace fuchsia::tools::load
