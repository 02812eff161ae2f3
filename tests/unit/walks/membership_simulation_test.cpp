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

TEST(simulated_members, members_join_and_claim_all_partitions)
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

TEST(simulated_members,
     planned_stop_hands_partitions_over_and_removes_the_record)
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

// Partitions of a killed process are unavailable until another member has
// fenced it and claimed them; without a takeover they stay unavailable.
TEST(simulated_members, partitions_of_a_killed_member_are_taken_over)
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

// A process is killed and restarted at once under the same name. Its previous
// incarnation may still be running elsewhere, so the new one must not act until
// the previous one is fenced; then it joins.
TEST(simulated_members,
     restarted_member_joins_after_its_previous_incarnation_is_fenced)
{
    membership_simulation_options options;
    membership_simulation system(options);
    start_all(system, options.members);
    system.run(20s);
    auto& restarted = system.start(2);
    system.run(2500ms);
    EXPECT_FALSE(restarted.may_act(system.time.now()));
    EXPECT_TRUE(system.run_until(
        [&]
        {
            return restarted.may_act(system.time.now());
        },
        10s));
    EXPECT_EQ(system.violation, "");
}
