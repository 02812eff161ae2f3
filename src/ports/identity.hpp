#pragma once

#include <cstdint>
#include <string>

namespace fuchsia::ports
{

/// One run of one process of the system. A process that restarts, or rejoins
/// after it was fenced, is a new incarnation and not a witness of any member.
struct member_identity
{
    std::string name; ///< Name from the settings, such as "entry-kochi-a-1".
    std::uint64_t incarnation = 0; ///< Random number drawn at each start.

    auto operator<=>(member_identity const&) const = default;
};

/// IP address and TCP port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(endpoint const&) const = default;
};

} // namespace fuchsia::ports
