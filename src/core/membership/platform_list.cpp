#include "core/membership/platform_list.hpp"

#include <algorithm>
#include <set>

namespace fuchsia::core::membership
{

namespace
{

/// How much longer a name must be absent that no list ever held.
constexpr int never_named_factor = 10;

} // namespace

void platform_list::apply(ports::instance_list const& list,
                          std::string_view self)
{
    std::set<std::string, std::less<>> const named(list.members.begin(),
                                                   list.members.end());
    if (named.count(self) == 0 || named.size() > max_names)
    {
        known_ = false;
        mentions_.clear();
        return;
    }
    if (known_ && list.received < newest_received_)
    {
        return;
    }
    for (auto& [name, mention] : mentions_)
    {
        if (!mention.absent && named.count(name) == 0)
        {
            mention.absent = true;
            mention.absent_since = list.received;
        }
    }
    for (auto const& name : named)
    {
        mentions_[name] = {list.received, {}, false};
    }
    while (mentions_.size() > max_names)
    {
        forget_oldest();
    }
    if (!known_)
    {
        first_received_ = list.received;
    }
    newest_received_ = list.received;
    known_ = true;
}

void platform_list::forget_oldest()
{
    auto const oldest = std::min_element(mentions_.begin(),
                                         mentions_.end(),
                                         [](auto const& left, auto const& right)
                                         {
                                             return left.second.last_named <
                                                    right.second.last_named;
                                         });
    mentions_.erase(oldest);
}

bool platform_list::dropped_for(std::string_view name,
                                common::time_point since,
                                common::duration length) const
{
    if (!known_)
    {
        return false;
    }
    auto const place = mentions_.find(name);
    if (place == mentions_.end())
    {
        return newest_received_ - std::max(since, first_received_) >=
               length * never_named_factor;
    }
    auto const& mention = place->second;
    if (!mention.absent)
    {
        return false;
    }
    if (mention.last_named >= since)
    {
        return newest_received_ - mention.absent_since >= length;
    }
    return newest_received_ - since >= length * never_named_factor;
}

} // namespace fuchsia::core::membership
