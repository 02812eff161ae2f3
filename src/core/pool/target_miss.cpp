#include "core/pool/target_miss.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

// Headroom that ends a miss. Rough figures of a task that is still over its
// target reach 1 at times, but hardly this.
constexpr double headroom_after_miss = 1.2;

} // namespace

void target_miss::update(common::time_point now, double lowest_headroom)
{
    auto const gap = now - std::exchange(last_report, now);
    if (lowest_headroom >= headroom_after_miss)
    {
        since = {};
        return;
    }
    bool const over = lowest_headroom < 1;
    if (!active())
    {
        since = over ? now : since;
        unbroken_since = since;
        longest_gap = {};
        placed = 0;
        return;
    }
    longest_gap = std::max(longest_gap, gap);
    bool const was_over = unbroken_since != common::time_point{};
    unbroken_since = !over      ? common::time_point{}
                     : was_over ? unbroken_since
                                : now;
}

common::duration target_miss::length(common::time_point now) const noexcept
{
    return active() ? now - since : common::duration{};
}

common::duration target_miss::unbroken(common::time_point now) const noexcept
{
    return unbroken_since != common::time_point{} ? now - unbroken_since
                                                  : common::duration{};
}

} // namespace fuchsia::core::pool
