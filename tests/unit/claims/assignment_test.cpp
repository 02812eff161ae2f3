#include "core/claims/assignment.hpp"

#include <algorithm>
#include <gtest/gtest.h>

using fuchsia::core::claims::partition_assignment;

namespace
{

std::vector<std::string> numbered_names(std::string const& prefix, int count)
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

std::size_t count_moved(partition_assignment const& before,
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

TEST(assignment_of_partitions,
     no_member_gets_more_than_the_rounded_up_even_share)
{
    auto const partitions = numbered_names("", 64);
    for (int count = 1; count <= 33; ++count)
    {
        auto const names = numbered_names("entry-", count);
        partition_assignment assignment;
        assignment.update(partitions, names);
        std::map<std::string, std::size_t> owned;
        for (auto const& partition : partitions)
        {
            ++owned[*assignment.assigned_owner(partition)];
        }
        std::size_t const max_share = (64 + count - 1) / count;
        for (auto const& [name, owned_count] : owned)
        {
            EXPECT_LE(owned_count, max_share) << name << " of " << count;
        }
    }
}

TEST(assignment_of_partitions, partition_has_no_owner_without_members)
{
    partition_assignment assignment;
    assignment.update(numbered_names("", 4), {});
    EXPECT_EQ(assignment.assigned_owner("1"), nullptr);
}

// Guards against too many moves when an instance is replaced. A partition is
// unavailable for a short time while its owner changes, so most partitions of
// the other members must keep their owner.
TEST(assignment_of_partitions, removal_of_a_member_moves_at_most_a_third)
{
    auto const partitions = numbered_names("", 64);
    auto const names = numbered_names("entry-", 9);
    partition_assignment before;
    before.update(partitions, names);
    for (std::size_t removed = 0; removed < names.size(); ++removed)
    {
        auto remaining = names;
        remaining.erase(remaining.begin() +
                        static_cast<std::ptrdiff_t>(removed));
        partition_assignment after;
        after.update(partitions, remaining);
        EXPECT_LE(count_moved(before, after, partitions), 64U / 3)
            << names[removed];
    }
}
