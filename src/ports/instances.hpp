#pragma once

#include "core/common/time.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <string>
#include <vector>

// The platform's list of instances, which lags behind their actual state.
namespace fuchsia::ports
{

enum class instance_state : std::uint8_t
{
    live,
    leaving,
};

/// One upstream, as listed by the platform.
struct upstream_instance
{
    std::string id;
    endpoint remote_endpoint;
    std::string data_centre;
    instance_state state = instance_state::live;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// Number of requests that the upstream was running at its last report.
    std::uint32_t slots_in_use = 0;
    /// Age of the upstream's last report when the platform answered.
    core::common::duration report_age{};
};

/// The complete list, as stale as the platform delivers it. `members` does not
/// contain instances of this system that have ended.
struct instance_list
{
    std::vector<upstream_instance> upstreams;
    std::vector<std::string> members; ///< Names of this system's instances.
    core::common::time_point received;
};

} // namespace fuchsia::ports
