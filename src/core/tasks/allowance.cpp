#include "core/tasks/allowance.hpp"

#include <algorithm>

namespace fuchsia::core::tasks
{

using ports::resources;

resources component_min(resources const& one, resources const& other)
{
    resources out;
    for (auto const part : resource_parts)
    {
        out.*part = std::min(one.*part, other.*part);
    }
    return out;
}

resources component_max(resources const& one, resources const& other)
{
    resources out;
    for (auto const part : resource_parts)
    {
        out.*part = std::max(one.*part, other.*part);
    }
    return out;
}

bool covers(allowance const& room, allowance const& wanted)
{
    return room.total.covers(wanted.total) && room.batch.covers(wanted.batch);
}

} // namespace fuchsia::core::tasks
