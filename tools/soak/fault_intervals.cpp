#include "tools/soak/fault_intervals.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::duration;
using core::common::time_point;

fault_interval_log::fault_interval_log(duration settle) : recovery_time_(settle)
{
}

void fault_interval_log::set(time_point at, fault_state_set const& trouble)
{
    bool const was_calm = on_.empty();
    if (trouble.active)
    {
        on_.insert(trouble.name);
    }
    else
    {
        on_.erase(trouble.name);
    }
    if (was_calm && !on_.empty())
    {
        spans_.push_back({at, std::nullopt});
    }
    if (!was_calm && on_.empty())
    {
        spans_.back().to = at;
    }
}

bool fault_interval_log::is_fault_free(time_point begin, time_point end) const
{
    return std::none_of(spans_.begin(),
                        spans_.end(),
                        [&](fault_interval const& span)
                        {
                            bool const over =
                                span.to && *span.to + recovery_time_ <= begin;
                            return span.from <= end && !over;
                        });
}

bool fault_interval_log::has_fault_free_interval(time_point begin,
                                                 time_point end,
                                                 duration length) const
{
    for (fault_interval const& span : spans_)
    {
        if (span.to && *span.to + recovery_time_ <= begin)
        {
            continue;
        }
        if (begin + length < std::min(span.from, end))
        {
            return true;
        }
        if (!span.to)
        {
            return false;
        }
        begin = *span.to + recovery_time_;
    }
    return begin + length < end;
}

std::vector<fault_interval> const&
fault_interval_log::intervals() const noexcept
{
    return spans_;
}

} // namespace fuchsia::tools::soak
