#include "core/pool/revision_times.hpp"

#include <algorithm>

namespace fuchsia::core::pool
{

namespace
{

constexpr common::duration spacing = std::chrono::milliseconds(100);
constexpr std::size_t kept = 100;

} // namespace

void revision_times::note(common::time_point asked, std::uint64_t revision)
{
    bool const crowded =
        !samples_.empty() && asked < samples_.back().asked + spacing;
    if (revision == 0 || crowded)
    {
        return;
    }
    samples_.push_back({asked, revision});
    if (samples_.size() > kept)
    {
        samples_.pop_front();
    }
}

std::optional<common::time_point>
revision_times::complete_until(std::uint64_t revision) const
{
    std::optional<common::time_point> latest;
    for (auto const& each : samples_)
    {
        if (each.revision <= revision)
        {
            latest = std::max(latest.value_or(each.asked), each.asked);
        }
    }
    return latest;
}

} // namespace fuchsia::core::pool
