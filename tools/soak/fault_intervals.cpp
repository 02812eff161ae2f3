#include "tools/soak/fault_intervals.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::duration;
using core::common::time_point;

fault_interval_log::fault_interval_log(duration recovery_time)
    : recovery_time_(recovery_time)
{
}

void fault_interval_log::observe(time_point at)
{
    begun_at_ = begun_at_.value_or(at);
}

void fault_interval_log::set(time_point at, fault_state_set const& state)
{
    bool const was_fault_free = active_.empty();
    if (state.active)
    {
        active_.insert(state.name);
    }
    else
    {
        active_.erase(state.name);
    }
    if (was_fault_free && !active_.empty())
    {
        intervals_.push_back({at, std::nullopt});
    }
    if (!was_fault_free && active_.empty())
    {
        intervals_.back().to = at;
    }
}

bool fault_interval_log::is_fault_free(time_point begin, time_point end) const
{
    return std::none_of(intervals_.begin(),
                        intervals_.end(),
                        [&](fault_interval const& interval)
                        {
                            bool const over =
                                interval.to &&
                                *interval.to + recovery_time_ <= begin;
                            return interval.from <= end && !over;
                        });
}

std::optional<time_point> fault_interval_log::fault_free_since() const
{
    return intervals_.empty() ? begun_at_ : intervals_.back().to;
}

bool fault_interval_log::has_fault_free_interval(time_point begin,
                                                 time_point end,
                                                 duration length) const
{
    for (fault_interval const& interval : intervals_)
    {
        if (interval.to && *interval.to + recovery_time_ <= begin)
        {
            continue;
        }
        if (begin + length < std::min(interval.from, end))
        {
            return true;
        }
        if (!interval.to)
        {
            return false;
        }
        begin = *interval.to + recovery_time_;
    }
    return begin + length < end;
}

std::vector<fault_interval> const&
fault_interval_log::intervals() const noexcept
{
    return intervals_;
}

} // namespace fuchsia::tools::soak
