#include "core/claims/wish.hpp"

#include "core/common/hash.hpp"

namespace fuchsia::core::claims
{

candidates find_candidates(common::time_point now,
                           membership::member const& members,
                           bool leaving,
                           common::duration settle)
{
    candidates who;
    for (auto const& info : members.live())
    {
        bool const self = info.id == members.self().id;
        if (info.leaving || (self && leaving))
        {
            continue;
        }
        who.live.push_back(info.id.name);
        auto const* seen = members.records().find(info.id.name);
        if (self || (seen != nullptr && now - seen->incarnation_seen >= settle))
        {
            who.settled.push_back(info.id.name);
        }
    }
    return who;
}

std::vector<std::string> names_not_leaving(membership::member const& members)
{
    std::vector<std::string> names;
    for (auto const& info : members.live())
    {
        if (!info.leaving)
        {
            names.push_back(info.id.name);
        }
    }
    return names;
}

std::string const* winner(std::string const& partition,
                          std::vector<std::string> const& names)
{
    if (names.empty())
    {
        return nullptr;
    }
    return &names[common::rendezvous_winner(partition, names)];
}

} // namespace fuchsia::core::claims
