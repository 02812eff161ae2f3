#include "core/pool/guaranteed_room.hpp"

#include <algorithm>
#include <vector>

namespace fuchsia::core::pool
{

guaranteed_room::guaranteed_room(guaranteed_room_settings settings)
    : settings_(settings)
{
}

void guaranteed_room::observe(common::time_point now,
                              guaranteed_demand const& present)
{
    samples_.push_back({now, present});
    while (now - samples_.front().when > settings_.window)
    {
        samples_.pop_front();
    }
    guaranteed_demand all;
    std::vector<std::int64_t> needed;
    needed.reserve(samples_.size());
    for (auto const& each : samples_)
    {
        needed.push_back(each.needed.millicores);
        all.millicores += each.needed.millicores;
        all.tasks += each.needed.tasks;
    }
    auto const behind = static_cast<std::ptrdiff_t>(
        settings_.enough * static_cast<double>(needed.size() - 1));
    std::nth_element(needed.begin(), needed.begin() + behind, needed.end());
    expected_ = needed[static_cast<std::size_t>(behind)];
    piece_ = all.tasks > 0 ? all.millicores / all.tasks : 0;
}

std::int64_t guaranteed_room::usable(std::int64_t millicores) const noexcept
{
    auto const left = std::max<std::int64_t>(millicores, 0);
    return piece_ == 0 ? left : left / piece_ * piece_;
}

void guaranteed_room::set_left(std::int64_t millicores) noexcept
{
    left_ = millicores;
}

void guaranteed_room::take(std::int64_t millicores) noexcept
{
    left_ -= millicores;
}

bool guaranteed_room::spares(std::int64_t millicores) const noexcept
{
    return !settings_.enabled || left_ - millicores >= expected_;
}

std::int64_t guaranteed_room::expected() const noexcept
{
    return expected_;
}

} // namespace fuchsia::core::pool
