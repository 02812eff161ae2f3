#include "core/tasks/allowance.hpp"

#include <algorithm>

namespace fuchsia::core::tasks
{

using ports::resources;

resources component_min(resources const& lhs, resources const& rhs)
{
    resources out;
    for (auto const part : resource_parts)
    {
        out.*part = std::min(lhs.*part, rhs.*part);
    }
    return out;
}

resources component_max(resources const& lhs, resources const& rhs)
{
    resources out;
    for (auto const part : resource_parts)
    {
        out.*part = std::max(lhs.*part, rhs.*part);
    }
    return out;
}

bool covers(allowance const& limit, allowance const& need)
{
    return limit.total.covers(need.total) && limit.batch.covers(need.batch);
}

} // namespace fuchsia::core::tasks
