#pragma once

#include "tools/soak/plan.hpp"

// Series of workers that carry out orders seconds late and restart under their
// ids meanwhile, beside many short tasks: an order that was meant for an
// earlier incarnation must have no effect.
namespace fuchsia::tools::soak
{

/// Whether the kind is one of such a series.
bool is_of_late_orders(fault_kind kind) noexcept;

/// Appends the faults of the series whose kinds are selected, and their jobs,
/// if any kind is. They are drawn on their own, so that the other faults and
/// jobs of a seed stay as they are.
void draw_late_orders(plan_settings const& settings, plan& out);

} // namespace fuchsia::tools::soak
