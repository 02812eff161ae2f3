#include "core/claims/assignment.hpp"

#include <algorithm>
#include <gtest/gtest.h>

using fuchsia::core::claims::partition_assignment;

namespace
{

std::vector<std::string> numbered(std::string const& prefix, int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
    {
        names.push_back(prefix + std::to_string(number));
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::size_t moved(partition_assignment const& before,
                  partition_assignment const& after,
                  std::vector<std::string> const& partitions)
{
    return static_cast<std::size_t>(
        std::count_if(partitions.begin(),
                      partitions.end(),
                      [&](std::string const& partition)
                      {
                          return *before.assigned_owner(partition) !=
                                 *after.assigned_owner(partition);
                      }));
}

} // namespace

TEST(fair_shares, nobody_gets_more_than_the_even_share_rounded_up)
{
    auto const partitions = numbered("", 64);
    for (int count = 1; count <= 33; ++count)
    {
        auto const names = numbered("entry-", count);
        partition_assignment shares;
        shares.update(partitions, names);
        std::map<std::string, std::size_t> owned;
        for (auto const& partition : partitions)
        {
            ++owned[*shares.assigned_owner(partition)];
        }
        std::size_t const most = (64 + count - 1) / count;
        for (auto const& [name, share] : owned)
        {
            EXPECT_LE(share, most) << name << " of " << count;
        }
    }
}

TEST(fair_shares, without_members_there_is_no_owner)
{
    partition_assignment shares;
    shares.update(numbered("", 4), {});
    EXPECT_EQ(shares.assigned_owner("1"), nullptr);
}

// An instance is replaced. Every partition that changes hands is closed for a
// moment, so those of the others must mostly stay where they are.
TEST(fair_shares, loss_of_a_member_leaves_most_partitions_where_they_are)
{
    auto const partitions = numbered("", 64);
    auto const names = numbered("entry-", 9);
    partition_assignment before;
    before.update(partitions, names);
    for (std::size_t gone = 0; gone < names.size(); ++gone)
    {
        auto fewer = names;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(gone));
        partition_assignment after;
        after.update(partitions, fewer);
        EXPECT_LE(moved(before, after, partitions), 64U / 3) << names[gone];
    }
}
