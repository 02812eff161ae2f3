#include "core/pool/capacity_index.hpp"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

constexpr std::int64_t any_amount = std::numeric_limits<std::int64_t>::max();

std::int64_t free_cores(worker const& of) noexcept
{
    return of.info.capacity.millicores - of.reserved.millicores;
}

} // namespace

capacity_index::capacity_index(std::vector<worker*> usable)
    : all_(std::move(usable))
{
}

void capacity_index::mark_changed(worker const& changed)
{
    auto const found =
        std::lower_bound(all_.begin(),
                         all_.end(),
                         changed.info.id,
                         [](worker const* each, std::string const& id)
                         {
                             return each->info.id < id;
                         });
    if (found == all_.end() || *found != &changed)
    {
        return;
    }
    auto const number = static_cast<std::size_t>(found - all_.begin());
    if (!free_.empty())
    {
        free_[number] = free_cores(changed);
    }
    if (!idle_.empty())
    {
        std::erase(unknown_, number);
        take_idle(number);
    }
}

std::vector<worker*> capacity_index::with_free(std::int64_t millicores)
{
    if (free_.empty())
    {
        read_free();
    }
    return with(free_, millicores);
}

std::vector<worker*> capacity_index::with_idle(std::int64_t millicores)
{
    if (idle_.empty())
    {
        read_idle();
    }
    // Those that were looked at since have a view by now.
    for (auto const number : std::exchange(unknown_, {}))
    {
        take_idle(number);
    }
    return with(idle_, millicores);
}

void capacity_index::read_free()
{
    free_.reserve(all_.size());
    for (auto const* each : all_)
    {
        free_.push_back(free_cores(*each));
    }
}

void capacity_index::read_idle()
{
    idle_.resize(all_.size());
    for (std::size_t number = 0; number < all_.size(); ++number)
    {
        take_idle(number);
    }
}

void capacity_index::take_idle(std::size_t number)
{
    auto const& each = *all_[number];
    if (each.view_known)
    {
        idle_[number] = each.idle_cores();
        return;
    }
    idle_[number] = any_amount;
    unknown_.push_back(number);
}

std::vector<worker*> capacity_index::with(std::vector<std::int64_t> const& left,
                                          std::int64_t least) const
{
    std::vector<worker*> made;
    for (std::size_t number = 0; number < left.size(); ++number)
    {
        if (left[number] >= least)
        {
            made.push_back(all_[number]);
        }
    }
    return made;
}

} // namespace fuchsia::core::pool
