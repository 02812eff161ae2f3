#include "core/pool/room_index.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

std::int64_t free_cores(worker const& of) noexcept
{
    return of.info.capacity.millicores - of.reserved.millicores;
}

} // namespace

bool sorted_workers::before(entry const& one, entry const& other) noexcept
{
    return one.left != other.left ? one.left > other.left
                                  : one.number < other.number;
}

void sorted_workers::clear(std::size_t count)
{
    entries_.clear();
    lefts_.assign(count, 0);
    present_.assign(count, false);
}

void sorted_workers::append(std::size_t number, std::int64_t left)
{
    entries_.push_back({left, number});
    lefts_[number] = left;
    present_[number] = true;
}

void sorted_workers::sort()
{
    std::sort(entries_.begin(), entries_.end(), before);
}

void sorted_workers::insert(std::size_t number, std::int64_t left)
{
    erase(number);
    entry const made{left, number};
    entries_.insert(
        std::lower_bound(entries_.begin(), entries_.end(), made, before), made);
    lefts_[number] = left;
    present_[number] = true;
}

void sorted_workers::erase(std::size_t number)
{
    if (present_[number])
    {
        entry const old{lefts_[number], number};
        entries_.erase(
            std::lower_bound(entries_.begin(), entries_.end(), old, before));
        present_[number] = false;
    }
}

void sorted_workers::take(std::int64_t least,
                          std::vector<std::size_t>& into) const
{
    for (auto const& each : entries_)
    {
        if (each.left < least)
        {
            return;
        }
        into.push_back(each.number);
    }
}

room_index::room_index(std::vector<worker*> usable) : all_(std::move(usable))
{
}

void room_index::touch(worker const& changed)
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
    if (free_sorted_)
    {
        free_.insert(number, free_cores(changed));
    }
    if (idle_sorted_)
    {
        std::erase(unknown_, number);
        put_idle(number);
    }
}

std::vector<room_index::candidate>
room_index::with_free(std::int64_t millicores)
{
    if (!free_sorted_)
    {
        sort_free();
    }
    std::vector<std::size_t> numbers;
    free_.take(millicores, numbers);
    return candidates(numbers);
}

std::vector<room_index::candidate>
room_index::with_idle(std::int64_t millicores)
{
    if (!idle_sorted_)
    {
        sort_idle();
    }
    // Those that were looked at since have a view by now.
    for (auto const number : std::exchange(unknown_, {}))
    {
        put_idle(number);
    }
    auto numbers = unknown_;
    idle_.take(millicores, numbers);
    return candidates(numbers);
}

void room_index::sort_free()
{
    free_sorted_ = true;
    free_.clear(all_.size());
    for (std::size_t number = 0; number < all_.size(); ++number)
    {
        free_.append(number, free_cores(*all_[number]));
    }
    free_.sort();
}

void room_index::sort_idle()
{
    idle_sorted_ = true;
    idle_.clear(all_.size());
    for (std::size_t number = 0; number < all_.size(); ++number)
    {
        auto const& each = *all_[number];
        if (each.view_known)
        {
            idle_.append(number, each.idle_cores());
        }
        else
        {
            unknown_.push_back(number);
        }
    }
    idle_.sort();
}

void room_index::put_idle(std::size_t number)
{
    auto const& each = *all_[number];
    if (each.view_known)
    {
        idle_.insert(number, each.idle_cores());
        return;
    }
    idle_.erase(number);
    unknown_.push_back(number);
}

std::vector<room_index::candidate>
room_index::candidates(std::vector<std::size_t> const& numbers) const
{
    std::vector<candidate> made;
    made.reserve(numbers.size());
    for (auto const number : numbers)
    {
        made.push_back({number, all_[number]});
    }
    return made;
}

} // namespace fuchsia::core::pool
