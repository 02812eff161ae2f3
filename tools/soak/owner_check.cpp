#include "tools/soak/owner_check.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::time_point;

void owner_check::record(time_point at, working_owner_seen const& answer)
{
    if (answer.working)
    {
        working_.insert(answer.instance);
        missing_since_.reset();
        reported_ = false;
        return;
    }
    working_.erase(answer.instance);
    if (working_.empty() && !missing_since_)
    {
        missing_since_ = at;
    }
}

void owner_check::check_until(observed_history& history, time_point at)
{
    auto const calm = history.fault_intervals.fault_free_since();
    if (!missing_since_ || !calm || reported_)
    {
        return;
    }
    auto const since = std::max(*missing_since_, *calm);
    if (since + history.bounds.without_owner < at)
    {
        reported_ = true;
        history.report(rule::working_owner,
                       at,
                       "pool",
                       "no instance schedules and knows what runs");
    }
}

} // namespace fuchsia::tools::soak
