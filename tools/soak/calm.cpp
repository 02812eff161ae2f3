#include "tools/soak/calm.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::duration;
using core::common::time_point;

calm_log::calm_log(duration settle) : settle_(settle)
{
}

void calm_log::set(time_point at, trouble_set const& trouble)
{
    bool const was_calm = on_.empty();
    if (trouble.on)
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

bool calm_log::calm(time_point begin, time_point end) const
{
    return std::none_of(spans_.begin(),
                        spans_.end(),
                        [&](trouble_span const& span)
                        {
                            bool const over =
                                span.to && *span.to + settle_ <= begin;
                            return span.from <= end && !over;
                        });
}

bool calm_log::calm_stretch(time_point begin,
                            time_point end,
                            duration length) const
{
    for (trouble_span const& span : spans_)
    {
        if (span.to && *span.to + settle_ <= begin)
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
        begin = *span.to + settle_;
    }
    return begin + length < end;
}

std::vector<trouble_span> const& calm_log::spans() const noexcept
{
    return spans_;
}

} // namespace fuchsia::tools::soak
