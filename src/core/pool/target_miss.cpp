#include "core/pool/target_miss.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

// Time that a figure covers.
constexpr common::duration recovery_time = std::chrono::milliseconds(500);

} // namespace

void target_miss::update(common::time_point now, double lowest_headroom)
{
    auto const gap = now - std::exchange(last_report, now);
    if (lowest_headroom >= recovered_headroom)
    {
        recovered_since =
            recovered_since == common::time_point{} ? now : recovered_since;
        since = now - recovered_since >= recovery_time ? common::time_point{}
                                                       : since;
        unbroken_since = {};
        return;
    }
    recovered_since = {};
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
