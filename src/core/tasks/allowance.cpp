#include "core/tasks/allowance.hpp"

#include <algorithm>

namespace fuchsia::core::tasks
{

using ports::resources;

resources least(resources const& one, resources const& other)
{
    resources out;
    for (auto const part : resource_parts)
    {
        out.*part = std::min(one.*part, other.*part);
    }
    return out;
}

resources most(resources const& one, resources const& other)
{
    resources out;
    for (auto const part : resource_parts)
    {
        out.*part = std::max(one.*part, other.*part);
    }
    return out;
}

bool holds(allowance const& room, allowance const& wanted)
{
    return room.all.covers(wanted.all) && room.batch.covers(wanted.batch);
}

} // namespace fuchsia::core::tasks
