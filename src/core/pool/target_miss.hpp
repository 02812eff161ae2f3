#pragma once

#include "core/common/time.hpp"

#include <cstdint>

namespace fuchsia::core::pool
{

/// Headroom (latency target / tail latency) at which a serving task counts as
/// well under its target. Rough figures of a task that is still over its target
/// reach 1 at times, but hardly this.
constexpr double recovered_headroom = 1.2;

/// What the owner has seen of a worker while a serving task there was over its
/// latency target. Only reports well under the target over a whole measuring
/// window end it, since each figure is rough.
struct target_miss
{
    /// Time of the first report over the target; zero: none.
    common::time_point since{};
    /// Time of the first of the latest reports that were all over the target;
    /// zero: the last one was not.
    common::time_point unbroken_since{};
    /// Time of the first of the latest reports that were all well under the
    /// target; zero: the last one was not.
    common::time_point recovered_since{};
    common::time_point last_report{};
    common::duration longest_gap{}; ///< Longest time between two reports.
    std::uint32_t placed = 0; ///< Best-effort tasks placed here since then.
    common::time_point next_log{};

    bool active() const noexcept
    {
        return since != common::time_point{};
    }
    /// Records a report with the lowest headroom of the worker's serving tasks.
    void update(common::time_point now, double lowest_headroom);
    common::duration length(common::time_point now) const noexcept;
    common::duration unbroken(common::time_point now) const noexcept;
};

} // namespace fuchsia::core::pool
