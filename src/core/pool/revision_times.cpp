#include "core/pool/revision_times.hpp"

#include <algorithm>

namespace fuchsia::core::pool
{

namespace
{

// Minimum time between the calls of two samples.
constexpr common::duration min_spacing = std::chrono::milliseconds(100);
constexpr std::size_t max_samples = 100;

} // namespace

void revision_times::note(common::time_point sent_at, std::uint64_t revision)
{
    bool const too_close =
        !samples_.empty() && sent_at < samples_.back().sent_at + min_spacing;
    if (revision == 0 || too_close)
    {
        return;
    }
    samples_.push_back({sent_at, revision});
    if (samples_.size() > max_samples)
    {
        samples_.pop_front();
    }
}

std::optional<common::time_point>
revision_times::complete_until(std::uint64_t revision) const
{
    std::optional<common::time_point> latest;
    for (auto const& current : samples_)
    {
        if (current.revision <= revision)
        {
            latest =
                std::max(latest.value_or(current.sent_at), current.sent_at);
        }
    }
    return latest;
}

} // namespace fuchsia::core::pool
