#include "core/pool/capacity_index.hpp"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

std::int64_t free_cores(worker const& w) noexcept
{
    return w.info.capacity.millicores - w.reserved.millicores;
}

} // namespace

capacity_index::capacity_index(std::vector<worker*> usable)
    : workers_(std::move(usable))
{
}

void capacity_index::mark_changed(worker const& changed)
{
    auto const found =
        std::lower_bound(workers_.begin(),
                         workers_.end(),
                         changed.info.id,
                         [](worker const* w, std::string const& id)
                         {
                             return w->info.id < id;
                         });
    if (found == workers_.end() || *found != &changed)
    {
        return;
    }
    auto const index = static_cast<std::size_t>(found - workers_.begin());
    if (!free_.empty())
    {
        free_[index] = free_cores(changed);
    }
    if (!idle_.empty())
    {
        std::erase(without_view_, index);
        update_idle(index);
    }
}

std::vector<worker*> capacity_index::with_free(std::int64_t millicores)
{
    if (free_.empty())
    {
        read_free();
    }
    return workers_with(free_, millicores);
}

std::vector<worker*> capacity_index::with_idle(std::int64_t millicores)
{
    if (idle_.empty())
    {
        read_idle();
    }
    // Workers whose view was computed since the last call have one now.
    for (auto const index : std::exchange(without_view_, {}))
    {
        update_idle(index);
    }
    return workers_with(idle_, millicores);
}

void capacity_index::read_free()
{
    free_.reserve(workers_.size());
    for (auto const* w : workers_)
    {
        free_.push_back(free_cores(*w));
    }
}

void capacity_index::read_idle()
{
    idle_.resize(workers_.size());
    for (std::size_t index = 0; index < workers_.size(); ++index)
    {
        update_idle(index);
    }
}

void capacity_index::update_idle(std::size_t index)
{
    auto const& w = *workers_[index];
    if (w.view_known)
    {
        idle_[index] = w.best_effort_room();
        return;
    }
    idle_[index] = unlimited;
    without_view_.push_back(index);
}

std::vector<worker*>
capacity_index::workers_with(std::vector<std::int64_t> const& available,
                             std::int64_t minimum) const
{
    std::vector<worker*> result;
    for (std::size_t index = 0; index < available.size(); ++index)
    {
        if (available[index] >= minimum)
        {
            result.push_back(workers_[index]);
        }
    }
    return result;
}

} // namespace fuchsia::core::pool
