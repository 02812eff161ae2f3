#include "core/pool/worker_speed.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fuchsia::core::pool
{

namespace
{

// Weight of one sample. A single task says little about its worker, since its
// estimate may be far off.
constexpr double sample_weight = 0.2;
constexpr double max_speed = 2;    // multiple of the estimated speed
constexpr double decay_time_s = 8; // time constant of the decay towards 1

} // namespace

void worker_speed::observe(common::time_point now,
                           std::uint32_t percent,
                           common::duration estimate,
                           common::duration elapsed) noexcept
{
    if (elapsed.count() <= 0 || estimate.count() <= 0)
    {
        return;
    }
    double const work_done =
        percent / 100.0 * static_cast<double>(estimate.count());
    double const sample =
        std::min(work_done / static_cast<double>(elapsed.count()), max_speed);
    double const previous = value(now);
    speed_ = previous + sample_weight * (sample - previous);
    observed_at_ = now;
}

double worker_speed::value(common::time_point now) const noexcept
{
    double const age =
        std::chrono::duration<double>(now - observed_at_).count();
    return 1 + (speed_ - 1) * std::exp(-std::max(age, 0.0) / decay_time_s);
}

} // namespace fuchsia::core::pool
