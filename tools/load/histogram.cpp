#include "tools/load/histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace fuchsia::tools::load
{

namespace
{

constexpr unsigned sub_bits = 6;
constexpr std::uint64_t sub_count = 1U << sub_bits;
constexpr unsigned value_bits = 40; // 2^40 microseconds are 12 days.
constexpr std::uint64_t max_value = (std::uint64_t{1} << value_bits) - 1;
constexpr std::size_t bucket_count = (value_bits - sub_bits + 1) * sub_count;

// Values below `sub_count` have one bucket each. The bucket of a larger value
// is chosen by its leading bits.
std::size_t bucket_of(std::uint64_t value) noexcept
{
    if (value < sub_count)
    {
        return value;
    }
    auto const shift =
        static_cast<unsigned>(std::bit_width(value)) - sub_bits - 1;
    auto const leading_bits = (value >> shift) - sub_count;
    return (shift + 1) * sub_count + leading_bits;
}

std::uint64_t upper_bound_of(std::size_t bucket) noexcept
{
    if (bucket < sub_count)
    {
        return bucket;
    }
    auto const shift = bucket / sub_count - 1;
    auto const leading_bits = bucket % sub_count + sub_count;
    return ((leading_bits + 1) << shift) - 1;
}

} // namespace

histogram::histogram() : buckets_(bucket_count)
{
}

void histogram::record(std::int64_t value) noexcept
{
    auto const clamped =
        std::min(max_value,
                 static_cast<std::uint64_t>(std::max<std::int64_t>(0, value)));
    ++buckets_[bucket_of(clamped)];
    ++count_;
    largest_ = std::max(largest_, static_cast<std::int64_t>(clamped));
}

void histogram::add(histogram const& other) noexcept
{
    for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket)
    {
        buckets_[bucket] += other.buckets_[bucket];
    }
    count_ += other.count_;
    largest_ = std::max(largest_, other.largest_);
}

void histogram::clear() noexcept
{
    std::fill(buckets_.begin(), buckets_.end(), 0);
    count_ = 0;
    largest_ = 0;
}

std::uint64_t histogram::count() const noexcept
{
    return count_;
}

std::int64_t histogram::quantile(double share) const noexcept
{
    if (count_ == 0)
    {
        return 0;
    }
    auto const rank =
        std::max<std::uint64_t>(1,
                                static_cast<std::uint64_t>(std::ceil(
                                    share * static_cast<double>(count_))));
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket)
    {
        cumulative += buckets_[bucket];
        if (cumulative >= rank)
        {
            return std::min(largest_,
                            static_cast<std::int64_t>(upper_bound_of(bucket)));
        }
    }
    return largest_;
}

std::int64_t histogram::largest() const noexcept
{
    return largest_;
}

} // namespace fuchsia::tools::load
