#include "scenario.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::soak;

namespace
{

std::set<rule> const none;
std::set<rule> const no_owner{rule::working_owner};

/// Returns a scenario with an owner that ceases to work after 1 s.
scenario owner_lost()
{
    scenario events;
    events.observe(working_owner_seen{"i1", true});
    events.at(1s).observe(working_owner_seen{"i1", false});
    return events;
}

} // namespace

// Guards against a claim that moves on before any takeover is complete: nothing
// starts, though each instance is sound.
TEST(soak_owner, pool_without_a_working_owner_is_reported_after_the_limit)
{
    EXPECT_EQ(owner_lost().at(8000ms).broken_rules(), none);
    EXPECT_EQ(owner_lost().at(8001ms).broken_rules(), no_owner);
}

TEST(soak_owner, pool_that_never_has_a_working_owner_is_reported)
{
    scenario events;
    events.observe(working_owner_seen{"i1", false});
    events.observe(working_owner_seen{"i2", false});
    EXPECT_EQ(events.at(7001ms).broken_rules(), no_owner);
}

TEST(soak_owner, successor_that_works_in_time_is_allowed)
{
    scenario events = owner_lost();
    events.at(8000ms).observe(working_owner_seen{"i2", true});
    EXPECT_EQ(events.at(60s).broken_rules(), none);
}

TEST(soak_owner, successor_that_works_too_late_is_reported)
{
    scenario events = owner_lost();
    events.at(8001ms).observe(working_owner_seen{"i2", true});
    EXPECT_EQ(events.at(60s).broken_rules(), no_owner);
}

// A successor may work before the earlier owner is seen to have ended.
TEST(soak_owner, end_of_an_earlier_owner_is_allowed)
{
    scenario events;
    events.observe(working_owner_seen{"i1", true});
    events.observe(working_owner_seen{"i2", true});
    events.at(1s).observe(working_owner_seen{"i1", false});
    EXPECT_EQ(events.at(60s).broken_rules(), none);
}

// Only time without a fault counts, and it begins anew after each.
TEST(soak_owner, time_with_faults_does_not_count)
{
    scenario allowed = owner_lost();
    allowed.with_fault(6s, 7s);
    EXPECT_EQ(allowed.at(14000ms).broken_rules(), none);
    scenario reported = owner_lost();
    reported.with_fault(6s, 7s);
    EXPECT_EQ(reported.at(14001ms).broken_rules(), no_owner);
}

TEST(soak_owner, pool_without_a_working_owner_is_allowed_after_the_stop)
{
    scenario events = owner_lost();
    events.at(5s).observe(stop_begun{});
    EXPECT_EQ(events.at(60s).broken_rules(), none);
}
