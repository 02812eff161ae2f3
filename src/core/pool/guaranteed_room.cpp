#include "core/pool/guaranteed_room.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsia::core::pool
{

guaranteed_room::guaranteed_room(guaranteed_room_settings settings)
    : settings_(settings)
{
}

void guaranteed_room::observe(common::time_point now,
                              guaranteed_demand const& present)
{
    std::chrono::duration<double> const since = now - observed_;
    std::chrono::duration<double> const half = settings_.half_life;
    auto const faded = expected_ * std::exp2(-since / half);
    auto const needed = static_cast<double>(present.millicores);
    expected_ = std::max(faded, needed);
    observed_ = now;
    if (present.tasks == 0)
    {
        return;
    }
    auto const size = needed / static_cast<double>(present.tasks);
    auto const weight = expected_ > 0 ? needed / expected_ : 1;
    piece_ = piece_ == 0 ? size : piece_ + weight * (size - piece_) / 2;
}

std::int64_t guaranteed_room::usable(std::int64_t millicores) const noexcept
{
    auto const piece = static_cast<std::int64_t>(piece_);
    return piece == 0 ? std::max<std::int64_t>(millicores, 0)
                      : std::max<std::int64_t>(millicores, 0) / piece * piece;
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
    return !settings_.enabled || left_ - millicores >= expected();
}

std::int64_t guaranteed_room::expected() const noexcept
{
    return static_cast<std::int64_t>(expected_);
}

std::int64_t guaranteed_room::left() const noexcept
{
    return left_;
}

} // namespace fuchsia::core::pool
