#include "core/membership/witness_choice.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <map>
#include <string_view>

namespace fuchsia::core::membership
{

namespace
{

struct choice
{
    ports::member_identity id;
    std::string_view data_centre;
    std::uint64_t weight = 0;
    /// How many of the same data centre are drawn before this one.
    std::uint32_t turn = 0;
};

} // namespace

witness_list choose_witnesses(ports::member_identity const& self,
                              std::vector<member_info> const& live,
                              std::uint32_t count)
{
    std::uint64_t const seed = common::hash_of(self.name);
    std::vector<choice> choices;
    for (auto const& info : live)
    {
        if (info.id.name != self.name && !info.leaving)
        {
            choices.push_back({info.id,
                               info.data_centre,
                               common::hash_of(info.id.name, seed)});
        }
    }
    std::sort(choices.begin(),
              choices.end(),
              [](choice const& left, choice const& right)
              {
                  return left.weight > right.weight;
              });
    std::map<std::string_view, std::uint32_t> turns;
    for (auto& each : choices)
    {
        each.turn = turns[each.data_centre]++;
    }
    std::stable_sort(choices.begin(),
                     choices.end(),
                     [](choice const& left, choice const& right)
                     {
                         return left.turn < right.turn;
                     });
    witness_list chosen;
    for (auto const& each : choices)
    {
        if (chosen.size() == count)
        {
            break;
        }
        chosen.push_back(each.id);
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace fuchsia::core::membership
