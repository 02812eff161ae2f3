#pragma once

#include <cstdint>
#include <string>

namespace fuchsia::ports
{

/// One run of one process of the system. A process that restarts, or that was
/// buried and comes back, is a new incarnation and nobody's witness.
struct member_identity
{
    std::string name; ///< From the settings, such as "entry-kochi-a-1".
    std::uint64_t incarnation = 0; ///< Drawn at random at each start.

    auto operator<=>(member_identity const&) const = default;
};

/// IP number and TCP port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(endpoint const&) const = default;
};

} // namespace fuchsia::ports
