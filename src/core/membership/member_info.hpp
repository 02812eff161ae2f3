#pragma once

#include "ports/identity.hpp"

#include <cstdint>
#include <string>

namespace fuchsia::core::membership
{

/// How one member appears to the others.
struct member_info
{
    ports::member_identity id;
    std::string role; ///< "entry" or "planner".
    std::string data_centre;
    ports::endpoint peer_address;
    ports::endpoint http_address;
    bool leaving = false;
    std::uint64_t config_revision = 0; ///< The newest it has in force.

    bool operator==(member_info const&) const = default;
};

} // namespace fuchsia::core::membership
