#pragma once

#include "ports/workers.hpp"

#include <array>

namespace fuchsia::core::tasks
{

/// A part of a contract: of everything, and of that what batch may use.
struct allowance
{
    ports::resources total;
    ports::resources batch;

    bool operator==(allowance const&) const = default;
};

inline constexpr std::array resource_parts{&ports::resources::millicores,
                                           &ports::resources::memory_mb,
                                           &ports::resources::accelerators};

/// The least, or the most, of each part.
ports::resources component_min(ports::resources const& one,
                               ports::resources const& other);
ports::resources component_max(ports::resources const& one,
                               ports::resources const& other);
bool covers(allowance const& room, allowance const& wanted);

} // namespace fuchsia::core::tasks
