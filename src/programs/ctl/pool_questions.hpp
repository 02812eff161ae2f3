#pragma once

#include "programs/ctl/command_line.hpp"
#include "programs/ctl/ctl_settings.hpp"

#include <iosfwd>

namespace fuchsia::programs::ctl
{

/// Queries the pool: every instance for `pool status`, the owner for everything
/// else. Instances that don't answer `pool status` are listed in `error`.
exit_status run_pool_query(command_line const& line,
                           pool_query const& query,
                           ctl_settings const& settings,
                           std::ostream& out,
                           std::ostream& error);

} // namespace fuchsia::programs::ctl
