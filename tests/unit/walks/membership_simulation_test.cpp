#include "membership_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::walks;
using namespace std::chrono_literals;

namespace
{

void start_all(membership_simulation& system, std::size_t count)
{
    for (std::size_t slot = 0; slot < count; ++slot)
    {
        system.start(slot);
    }
}

} // namespace

TEST(small_system, members_join_and_share_out_all_partitions)
{
    membership_simulation_options options;
    membership_simulation system(options);
    start_all(system, options.members);
    EXPECT_TRUE(system.run_until(
        [&system]
        {
            return system.all_owned();
        },
        10s));
    system.run(20s);
    EXPECT_EQ(system.at(0).member.live().size(), options.members);
    EXPECT_EQ(system.violation, "");
}

TEST(small_system, planned_stop_hands_over_and_removes_the_record)
{
    membership_simulation_options options;
    membership_simulation system(options);
    start_all(system, options.members);
    system.run(20s);
    system.begin_leaving(1);
    EXPECT_TRUE(system.run_until(
        [&system]
        {
            return system.at(1).ended;
        },
        10s));
    EXPECT_TRUE(system.run_until(
        [&system]
        {
            return system.all_owned();
        },
        10s));
    EXPECT_EQ(system.store.contents.find("members/entry/entry-1"), nullptr);
    EXPECT_EQ(system.violation, "");
}

// A process is killed. Its users wait until another member has buried it and
// taken its partitions.
TEST(small_system, partitions_of_a_killed_member_are_taken_over)
{
    membership_simulation_options options;
    membership_simulation system(options);
    start_all(system, options.members);
    system.run(20s);
    system.end(2);
    EXPECT_TRUE(system.run_until(
        [&system]
        {
            return system.all_owned();
        },
        15s));
    EXPECT_EQ(system.violation, "");
}

// A process is killed and started again at once under the same name. Its
// former self might run on elsewhere, so it must not act before that one is
// buried; then it joins.
TEST(small_system, restarted_member_joins_after_its_former_self_is_buried)
{
    membership_simulation_options options;
    membership_simulation system(options);
    start_all(system, options.members);
    system.run(20s);
    auto& again = system.start(2);
    system.run(2500ms);
    EXPECT_FALSE(again.may_act(system.time.now()));
    EXPECT_TRUE(system.run_until(
        [&]
        {
            return again.may_act(system.time.now());
        },
        10s));
    EXPECT_EQ(system.violation, "");
}
