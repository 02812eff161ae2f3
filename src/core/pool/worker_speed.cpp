#include "core/pool/worker_speed.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fuchsia::core::pool
{

namespace
{

// A single task says little: its estimate may be far off.
constexpr double share_of_sample = 0.2;
constexpr double fastest = 2;
constexpr double memory_s = 8;

} // namespace

void worker_speed::observe(common::time_point now,
                           std::uint32_t percent,
                           common::duration estimate,
                           common::duration took) noexcept
{
    if (took.count() <= 0 || estimate.count() <= 0)
    {
        return;
    }
    double const worked =
        percent / 100.0 * static_cast<double>(estimate.count());
    double const sample =
        std::min(worked / static_cast<double>(took.count()), fastest);
    double const before = value(now);
    seen_ = before + share_of_sample * (sample - before);
    when_ = now;
}

double worker_speed::value(common::time_point now) const noexcept
{
    double const age = std::chrono::duration<double>(now - when_).count();
    return 1 + (seen_ - 1) * std::exp(-std::max(age, 0.0) / memory_s);
}

} // namespace fuchsia::core::pool
