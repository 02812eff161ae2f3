#include "core/pool/short_job_reserve.hpp"

#include <algorithm>
#include <vector>

namespace fuchsia::core::pool
{

short_job_reserve::short_job_reserve(short_job_reserve_settings settings)
    : settings_(settings)
{
}

void short_job_reserve::observe(common::time_point now,
                                short_job_demand const& present)
{
    samples_.push_back({now, present});
    while (now - samples_.front().when > settings_.window)
    {
        samples_.pop_front();
    }
    short_job_demand total;
    std::vector<std::int64_t> needed;
    needed.reserve(samples_.size());
    for (auto const& s : samples_)
    {
        needed.push_back(s.needed.millicores);
        total.millicores += s.needed.millicores;
        total.tasks += s.needed.tasks;
    }
    auto const position = static_cast<std::ptrdiff_t>(
        settings_.covered_fraction * static_cast<double>(needed.size() - 1));
    std::nth_element(needed.begin(), needed.begin() + position, needed.end());
    expected_ = needed[static_cast<std::size_t>(position)];
    average_task_ = total.tasks > 0 ? total.millicores / total.tasks : 0;
}

std::int64_t
short_job_reserve::usable_millicores(std::int64_t millicores) const noexcept
{
    auto const free = std::max<std::int64_t>(millicores, 0);
    return average_task_ == 0 ? free : free / average_task_ * average_task_;
}

void short_job_reserve::set_available(std::int64_t millicores) noexcept
{
    available_ = millicores;
}

void short_job_reserve::consume(std::int64_t millicores) noexcept
{
    available_ -= millicores;
}

bool short_job_reserve::leaves_enough(std::int64_t millicores) const noexcept
{
    return !settings_.enabled || available_ - millicores >= expected_;
}

std::int64_t short_job_reserve::expected() const noexcept
{
    return expected_;
}

} // namespace fuchsia::core::pool
