#pragma once

#include "ports/identity.hpp"

#include <cstdint>
#include <string>

namespace fuchsia::core::membership
{

/// Description of a member that other members can read.
struct member_info
{
    ports::member_identity id;
    std::string role; ///< "entry" or "planner".
    std::string data_centre;
    ports::endpoint peer_address;
    ports::endpoint http_address;
    bool leaving = false;
    std::uint64_t config_revision = 0; ///< Newest revision in force there.

    bool operator==(member_info const&) const = default;
};

} // namespace fuchsia::core::membership
