#pragma once

#include "tools/soak/plan.hpp"

// Series of losses of the owner in outages of the store, while workers are cut
// off for longer than a takeover and the pool is full: what a worker reports
// late must still count.
namespace fuchsia::tools::soak
{

/// Whether the kind is one of such a series.
bool is_of_owner_losses(fault_kind kind) noexcept;

/// Appends the faults of the series whose kinds are selected, and the jobs that
/// fill the pool, if any kind is. They are drawn on their own, so that the
/// other faults and jobs of a seed stay as they are.
void draw_owner_losses(plan_settings const& settings, plan& out);

} // namespace fuchsia::tools::soak
