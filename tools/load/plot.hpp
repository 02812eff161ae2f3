#pragma once

#include "tools/load/report.hpp"

#include <string>

namespace fuchsia::tools::load
{

/// An SVG picture: 99th percentile of the latency above, goodput and refusals
/// a second below, over the seconds of the run.
std::string to_svg(run_report const& report);

} // namespace fuchsia::tools::load
