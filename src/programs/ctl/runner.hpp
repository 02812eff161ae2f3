#pragma once

#include "programs/ctl/command_line.hpp"

#include <iosfwd>

namespace fuchsia::programs::ctl
{

/// Runs one command; writes results to `out`, errors and warnings to `error`.
exit_status
run(command_line const& line, std::ostream& out, std::ostream& error);

} // namespace fuchsia::programs::ctl
