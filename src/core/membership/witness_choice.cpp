#include "core/membership/witness_choice.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <map>
#include <string_view>

namespace fuchsia::core::membership
{

namespace
{

struct candidate
{
    ports::member_identity id;
    std::string_view data_centre;
    std::uint64_t weight = 0;
    /// Number of members of the same data centre with a higher weight.
    std::uint32_t data_centre_rank = 0;
};

} // namespace

witness_list choose_witnesses(ports::member_identity const& self,
                              std::vector<member_info> const& live,
                              std::uint32_t count)
{
    std::uint64_t const seed = common::hash_of(self.name);
    std::vector<candidate> candidates;
    for (auto const& info : live)
    {
        if (info.id.name != self.name && !info.leaving)
        {
            candidates.push_back({info.id,
                                  info.data_centre,
                                  common::hash_of(info.id.name, seed)});
        }
    }
    std::sort(candidates.begin(),
              candidates.end(),
              [](candidate const& lhs, candidate const& rhs)
              {
                  return lhs.weight > rhs.weight;
              });
    std::map<std::string_view, std::uint32_t> data_centre_counts;
    for (auto& entry : candidates)
    {
        entry.data_centre_rank = data_centre_counts[entry.data_centre]++;
    }
    std::stable_sort(candidates.begin(),
                     candidates.end(),
                     [](candidate const& lhs, candidate const& rhs)
                     {
                         return lhs.data_centre_rank < rhs.data_centre_rank;
                     });
    witness_list chosen;
    for (auto const& entry : candidates)
    {
        if (chosen.size() == count)
        {
            break;
        }
        chosen.push_back(entry.id);
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace fuchsia::core::membership
