#include "core/pool/best_effort_throttle.hpp"

#include <algorithm>

namespace fuchsia::core::pool
{

// A stop doesn't wait for the effect of the last cut: after `stop_after` the
// cuts so far were not enough.
void best_effort_throttle::update(common::time_point now,
                                  double lowest_headroom,
                                  target_miss const& miss,
                                  colocation_settings const& settings)
{
    bool const over = lowest_headroom < 1;
    if (over && miss.length(now) >= settings.stop_after)
    {
        set(now, 0);
        return;
    }
    if (now - changed_at_ < settings.settle_time)
    {
        return;
    }
    if (over)
    {
        set(now, speed_ * lowest_headroom / recovered_headroom);
    }
    else if (!miss.active() && speed_ < 1)
    {
        set(now, std::min(1.0, speed_ + settings.speed_growth));
    }
}

double best_effort_throttle::speed() const noexcept
{
    return speed_;
}

void best_effort_throttle::set(common::time_point now, double speed) noexcept
{
    changed_at_ = speed == speed_ ? changed_at_ : now;
    speed_ = speed;
}

} // namespace fuchsia::core::pool
