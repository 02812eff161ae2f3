#include "core/pool/failed_placements.hpp"

#include <algorithm>

namespace fuchsia::core::pool
{

namespace
{

// Where one task found no worker, a gang of such tasks finds none. A gang may
// fail because its tasks don't fit together, which only says something about
// gangs of at least as many.
bool needs_as_many(step const& failed, step const& requested)
{
    if (!failed.gang)
    {
        return failed.max_per_worker == 0;
    }
    return requested.gang && requested.count >= failed.count &&
           requested.max_per_worker == failed.max_per_worker;
}

// Whether `requested` needs at least as much as `failed`, for which no worker
// was found.
bool at_least_as_demanding(step const& failed, step const& requested)
{
    return requested.declared.covers(failed.declared) &&
           failed.best_effort == requested.best_effort &&
           needs_as_many(failed, requested) &&
           failed.required_label == requested.required_label &&
           failed.image == requested.image;
}

} // namespace

void failed_placements::add(step const& failed, std::string const& service)
{
    failed_.push_back({&failed, &service});
}

bool failed_placements::rule_out(step const& requested,
                                 std::string const& service) const
{
    return std::any_of(failed_.begin(),
                       failed_.end(),
                       [&](placement const& failed)
                       {
                           return *failed.service == service &&
                                  at_least_as_demanding(*failed.spec,
                                                        requested);
                       });
}

} // namespace fuchsia::core::pool
