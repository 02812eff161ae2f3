#pragma once

#include "programs/ctl/command_line.hpp"
#include "programs/ctl/ctl_settings.hpp"

#include <iosfwd>

namespace fuchsia::programs::ctl
{

/// Asks the instances of the pool: each of them for `pool status`, the owner
/// for everything else. Instances that give no answer are named.
exit_status run_pool_query(command_line const& line,
                     pool_query const& query,
                     ctl_settings const& settings,
                     std::ostream& out,
                     std::ostream& error);

} // namespace fuchsia::programs::ctl
