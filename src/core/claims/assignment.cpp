#include "core/claims/assignment.hpp"

#include "core/common/hash.hpp"

namespace fuchsia::core::claims
{

owner_candidates find_owner_candidates(common::time_point now,
                                       membership::member const& members,
                                       bool self_leaving,
                                       common::duration stable_after)
{
    owner_candidates candidates;
    for (auto const& info : members.live())
    {
        bool const self = info.id == members.self().id;
        if (info.leaving || (self && self_leaving))
        {
            continue;
        }
        candidates.live.push_back(info.id.name);
        auto const* record = members.records().find(info.id.name);
        if (self || (record != nullptr &&
                     now - record->incarnation_seen >= stable_after))
        {
            candidates.stable.push_back(info.id.name);
        }
    }
    return candidates;
}

void partition_assignment::update(std::vector<std::string> const& partitions,
                                  std::vector<std::string> const& names)
{
    if (partitions == partitions_ && names == names_)
    {
        return;
    }
    partitions_ = partitions;
    names_ = names;
    owners_.clear();
    if (names_.empty())
    {
        return;
    }
    std::size_t const max_share =
        (partitions_.size() + names_.size() - 1) / names_.size();
    std::vector<std::size_t> assigned_counts(names_.size(), 0);
    for (auto const& partition : partitions_)
    {
        std::size_t best_index = names_.size(); // The size stands for none.
        std::uint64_t best_weight = 0;
        for (std::size_t index = 0; index < names_.size(); ++index)
        {
            auto const weight =
                common::rendezvous_weight(partition, names_[index]);
            if (assigned_counts[index] < max_share &&
                (best_index == names_.size() || weight > best_weight))
            {
                best_index = index;
                best_weight = weight;
            }
        }
        ++assigned_counts[best_index];
        owners_.emplace(partition, best_index);
    }
}

std::string const* partition_assignment::assigned_owner(
    std::string const& partition) const noexcept
{
    auto const found = owners_.find(partition);
    return found == owners_.end() ? nullptr : &names_[found->second];
}

std::string const* rendezvous_owner(std::string const& partition,
                                    std::vector<std::string> const& names)
{
    if (names.empty())
    {
        return nullptr;
    }
    return &names[common::rendezvous_winner(partition, names)];
}

} // namespace fuchsia::core::claims
