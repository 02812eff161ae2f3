#pragma once

#include "core/pool/colocation.hpp"
#include "core/pool/target_miss.hpp"

namespace fuchsia::core::pool
{

/// Limit on the speed of all best-effort tasks of one worker, set by what its
/// serving tasks measure and not by what was learned of pairs: cut at once if
/// one is over its target, raised in steps once all are well under it.
class best_effort_throttle
{
public:
    /// Takes the lowest headroom of the serving tasks from a report of the
    /// worker, and the miss that this report continues.
    void update(common::time_point now,
                double lowest_headroom,
                target_miss const& miss,
                colocation_settings const& settings);
    /// Share of full speed that best-effort tasks may have, from 0 to 1.
    double speed() const noexcept;

private:
    void set(common::time_point now, double speed) noexcept;

    double speed_ = 1;
    common::time_point changed_at_{};
};

} // namespace fuchsia::core::pool
