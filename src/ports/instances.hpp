#pragma once

#include "core/common/time.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <string>
#include <vector>

// The platform's lagging list of instances.
namespace fuchsia::ports
{

enum class instance_state : std::uint8_t
{
    live,
    leaving,
};

/// One upstream as the platform lists it.
struct upstream_instance
{
    std::string id;
    endpoint remote_endpoint;
    std::string data_centre;
    instance_state state = instance_state::live;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// Requests it was running when it last reported its use.
    std::uint32_t slots_in_use = 0;
    /// Age of that report when the platform answered.
    core::common::duration report_age{};
};

/// The whole list, as old as the platform makes it. An instance of our own
/// that ended is absent from `members`.
struct instance_list
{
    std::vector<upstream_instance> upstreams;
    std::vector<std::string> members; ///< Names of our own instances.
    core::common::time_point received;
};

} // namespace fuchsia::ports
