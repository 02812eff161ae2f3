#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "ports/identity.hpp"

#include <optional>
#include <string>
#include <vector>

namespace fuchsia::programs::ctl
{

/// Settings of `fuchsiactl`; examples/ctl.toml documents each key.
struct ctl_settings
{
    std::vector<ports::endpoint> planners; ///< Addresses, tried in this order.
    std::vector<ports::endpoint> pools; ///< Metrics addresses of fuchsia-pool.
    std::string token;                  ///< Content of the token file.
    core::common::duration timeout = std::chrono::seconds(15); ///< Per call.
};

/// Reads and checks the settings; `reason` names file and line.
std::optional<ctl_settings> read_ctl_settings(std::string const& path,
                                              core::common::failure& reason);

} // namespace fuchsia::programs::ctl
