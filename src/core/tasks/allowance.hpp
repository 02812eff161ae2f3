#pragma once

#include "ports/workers.hpp"

#include <array>

namespace fuchsia::core::tasks
{

/// Share of a contract: resources in total, and how much of them batch tasks
/// may use.
struct allowance
{
    ports::resources total;
    ports::resources batch;

    bool operator==(allowance const&) const = default;
};

inline constexpr std::array resource_parts{&ports::resources::millicores,
                                           &ports::resources::memory_mb,
                                           &ports::resources::accelerators};

/// Component-wise minimum and maximum of two resource vectors.
ports::resources component_min(ports::resources const& lhs,
                               ports::resources const& rhs);
ports::resources component_max(ports::resources const& lhs,
                               ports::resources const& rhs);
bool covers(allowance const& limit, allowance const& need);

} // namespace fuchsia::core::tasks
