#include "tools/soak/capacity_check.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::time_point;

void capacity_check::record(time_point at, capacity_set const& set)
{
    changes_[set.worker].push_back({at, set.millicores});
}

void capacity_check::record(worker_crashed const& crash)
{
    changes_.erase(crash.worker);
}

void capacity_check::check_start(observed_history& history,
                                 time_point at,
                                 run_started const& start,
                                 std::int64_t millicores) const
{
    auto const known = changes_.find(start.worker);
    auto const grace = history.bounds.stable_window + history.bounds.heartbeat;
    if (known == changes_.end() || known->second.front().at > at - grace ||
        !history.fault_free_for(grace, at))
    {
        return;
    }
    std::int64_t largest = 0;
    for (auto const& change : known->second)
    {
        // What was in force at the begin of the grace counts, and all since.
        largest = change.at <= at - grace
                      ? change.millicores
                      : std::max(largest, change.millicores);
    }
    if (millicores > largest)
    {
        history.report(rule::capacity,
                       at,
                       name_of(start.run.task),
                       "brings " + start.worker + " to " +
                           std::to_string(millicores) + " of " +
                           std::to_string(largest) + " millicores");
    }
}

} // namespace fuchsia::tools::soak
