#pragma once

#include "tools/load/report.hpp"

#include <string>

namespace fuchsia::tools::load
{

/// Returns an SVG plot over the seconds of the run. The upper panel shows the
/// median and 99th percentile of the latency, the lower one the goodput and the
/// refusals per second.
std::string to_svg(run_report const& report);

} // namespace fuchsia::tools::load
