#include "core/membership/platform_list.hpp"

#include <algorithm>
#include <set>

namespace fuchsia::core::membership
{

namespace
{

/// Factor on the required time of absence for a name that no list has contained
/// since the instance was first seen.
constexpr int never_listed_factor = 10;

} // namespace

void platform_list::apply(ports::instance_list const& list,
                          std::string_view self_name)
{
    std::set<std::string, std::less<>> const listed_names(list.members.begin(),
                                                          list.members.end());
    if (listed_names.count(self_name) == 0 || listed_names.size() > max_names)
    {
        has_list_ = false;
        listings_.clear();
        return;
    }
    if (has_list_ && list.received < newest_received_)
    {
        return;
    }
    for (auto& [name, listing] : listings_)
    {
        if (!listing.absent && listed_names.count(name) == 0)
        {
            listing.absent = true;
            listing.absent_since = list.received;
        }
    }
    for (auto const& name : listed_names)
    {
        listings_[name] = {list.received, {}, false};
    }
    while (listings_.size() > max_names)
    {
        evict_oldest();
    }
    if (!has_list_)
    {
        first_received_ = list.received;
    }
    newest_received_ = list.received;
    has_list_ = true;
}

void platform_list::evict_oldest()
{
    auto const oldest = std::min_element(listings_.begin(),
                                         listings_.end(),
                                         [](auto const& lhs, auto const& rhs)
                                         {
                                             return lhs.second.last_listed <
                                                    rhs.second.last_listed;
                                         });
    listings_.erase(oldest);
}

bool platform_list::dropped_for(std::string_view name,
                                common::time_point since,
                                common::duration length) const
{
    if (!has_list_)
    {
        return false;
    }
    auto const it = listings_.find(name);
    if (it == listings_.end())
    {
        return newest_received_ - std::max(since, first_received_) >=
               length * never_listed_factor;
    }
    auto const& listing = it->second;
    if (!listing.absent)
    {
        return false;
    }
    if (listing.last_listed >= since)
    {
        return newest_received_ - listing.absent_since >= length;
    }
    return newest_received_ - since >= length * never_listed_factor;
}

} // namespace fuchsia::core::membership
