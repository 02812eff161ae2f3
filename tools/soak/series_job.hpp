#pragma once

#include "tools/soak/plan.hpp"
#include "tools/soak/random_source.hpp"

#include <cstdint>

namespace fuchsia::tools::soak
{

/// Draws a job with one step of four tasks, each of which works for `work_ms`.
/// Names of different numbers differ.
planned_job draw_series_job(std::uint32_t number,
                            core::common::duration at,
                            std::uint32_t work_ms,
                            random_source& random);

} // namespace fuchsia::tools::soak
