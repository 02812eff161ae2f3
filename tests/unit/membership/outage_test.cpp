#include "unit/walks/membership_simulation.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <utility>

using namespace fuchsia::tests::unit::walks;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t member_count = 5;

class outage : public testing::Test
{
protected:
    explicit outage(
        membership_simulation_options const& options = three_witnesses())
        : system(options)
    {
    }

    static membership_simulation_options three_witnesses()
    {
        membership_simulation_options options;
        options.members = member_count;
        options.settings.witness_count = 3;
        return options;
    }

    void SetUp() override
    {
        for (std::size_t slot = 0; slot < member_count; ++slot)
        {
            system.start(slot);
        }
        system.run(20s);
        ASSERT_TRUE(system.all_owned());
    }

    void TearDown() override
    {
        EXPECT_EQ(system.violation, "");
    }

    /// Runs the system for `length`; whether `condition` held all the time.
    bool holds_for(duration length, std::function<bool()> const& condition)
    {
        return !system.run_until(
            [&condition]
            {
                return !condition();
            },
            length);
    }

    bool acts(std::size_t slot)
    {
        return system.at(slot).may_act(system.time.now());
    }

    void isolate(std::size_t slot)
    {
        for (std::size_t other = 0; other < member_count; ++other)
        {
            system.cut(slot, other, true);
            system.cut(other, slot, true);
        }
    }

    membership_simulation system;
};

} // namespace

// The platform's store does not answer for a minute. If the members stopped
// acting, every request would be refused until the store is back.
TEST_F(outage, store_down_for_a_minute_keeps_all_partitions_owned)
{
    system.store.faults.down = true;
    EXPECT_TRUE(holds_for(60s,
                          [this]
                          {
                              return system.all_owned();
                          }));
    EXPECT_EQ(
        system.at(0).member.current_phase(),
        fuchsia::core::membership::member_phase::active_by_witness_promises);
    system.store.faults.down = false;
    EXPECT_TRUE(holds_for(10s,
                          [this]
                          {
                              return system.all_owned();
                          }));
    EXPECT_TRUE(system.at(0).member.proved_by_store());
}

// One instance has lost its connection to the store, and another one fails. The
// first must keep acting on its witnesses' promises, but the partitions of the
// failed one must go to members that the store shows as running.
TEST_F(outage, member_without_store_keeps_acting_and_takes_over_nothing)
{
    auto const owned = system.at(0).claims.owned(system.at(0).member);
    system.cut_store(0, true);
    system.end(1);
    EXPECT_TRUE(holds_for(30s,
                          [this]
                          {
                              return acts(0);
                          }));
    EXPECT_FALSE(system.at(0).member.proved_by_store());
    EXPECT_EQ(system.at(0).claims.owned(system.at(0).member), owned);
}

// One instance has lost its connections to the store and to its peers. Others
// will take over its partitions, so it must stop acting first.
TEST_F(outage, member_without_store_and_peers_stops_within_proof_lifetime)
{
    auto const proof_lifetime_limit = three_witnesses().settings.proof_lifetime;
    system.cut_store(0, true);
    isolate(0);
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return !acts(0);
        },
        proof_lifetime_limit));
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return system.all_owned();
        },
        15s));
    EXPECT_FALSE(acts(0));
}

// All processes are restarted at once and have lost their memory. Each must
// fence its earlier incarnation, whose witnesses have terminated as well. If
// their consent were required, the system would never recover.
TEST_F(outage, all_members_restarted_at_once_recover)
{
    for (std::size_t slot = 0; slot < member_count; ++slot)
    {
        system.start(slot);
    }
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return system.all_owned();
        },
        30s));
}

// Four of five members fail at once, and with them a majority of the witnesses
// of each. The platform's list drops them, and the remaining member must take
// over all partitions; otherwise requests are refused until an operator acts.
TEST_F(outage, platform_list_replaces_consent_of_terminated_witnesses)
{
    for (std::size_t slot : {1, 2, 3, 4})
    {
        system.end(slot);
    }
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return system.all_owned();
        },
        30s));
}

namespace
{

class outage_without_list : public outage
{
protected:
    outage_without_list() : outage(without_platform_list())
    {
    }

    static membership_simulation_options without_platform_list()
    {
        auto options = three_witnesses();
        options.settings.platform_list_replaces_consent = false;
        return options;
    }
};

} // namespace

// Four of five members fail while the platform's list must not replace consent:
// nothing may be taken over until an operator removes the failed members.
TEST_F(outage_without_list, nothing_is_taken_over_without_witness_majority)
{
    for (std::size_t slot : {1, 2, 3, 4})
    {
        system.end(slot);
    }
    system.run(60s);
    EXPECT_FALSE(system.all_owned());
}

// An owner is paused (a paused machine) until others have taken over, and then
// resumes with old frames and replies waiting. If it acted on its old state,
// callers would get two answers from two owners.
TEST_F(outage, paused_owner_does_not_act_after_it_resumes)
{
    auto& paused_member = system.at(2);
    system.cut_store(3, true); // Member 3 requests promises, also from 2.
    system.freeze(2);
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return system.all_owned();
        },
        20s));
    EXPECT_FALSE(paused_member.inbox.empty());
    system.unfreeze(2);
    EXPECT_FALSE(paused_member.may_act(system.time.now()));
    EXPECT_TRUE(system.run_until(
        [&paused_member]
        {
            return paused_member.ended; // It joins as a new incarnation.
        },
        5s));
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return acts(2);
        },
        20s));
}

// The write that fences a paused owner takes effect, but its reply is lost, and
// the owner resumes at that moment and sends a heartbeat. The heartbeat must
// fail, and the observer must learn that its write succeeded.
TEST_F(outage, fencing_with_lost_reply_wins_over_late_heartbeat)
{
    auto& paused_member = system.at(2);
    system.freeze(2);
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return system.fencing_writes > 0;
        },
        20s));
    system.store.faults.lose_prefix = "members/entry/entry-2";
    system.store.faults.lose_next_replies = 1;
    system.run(5ms);
    system.unfreeze(2);
    EXPECT_TRUE(system.run_until(
        [&]
        {
            return paused_member.ended && system.all_owned();
        },
        15s));
    EXPECT_EQ(system.store.faults.lose_next_replies, 0U);
}

namespace
{

/// Disconnects member 0 from the store and from all members but `reachable`.
void isolate_from_all_but(membership_simulation& system,
                          std::vector<std::size_t> const& reachable)
{
    system.cut_store(0, true);
    for (std::size_t slot = 1; slot < member_count; ++slot)
    {
        bool const stays_connected =
            std::count(reachable.begin(), reachable.end(), slot) != 0;
        system.cut(0, slot, !stays_connected);
        system.cut(slot, 0, !stays_connected);
    }
}

/// Member 0 names the witnesses a, b and c. A new member d replaces c, and the
/// reply to the heartbeat with the new list is lost, together with the store
/// and the links to a and d. So b and c promise, a majority of the old list,
/// while a and d, a majority of the new list, know nothing of it. Returns the
/// violation.
std::string run_witness_change_with_lost_reply(bool require_both_lists)
{
    membership_simulation_options options;
    options.members = member_count;
    options.settings.witness_count = 3;
    options.rules.require_both_witness_lists = require_both_lists;
    membership_simulation system(options);
    std::size_t const added = 1;
    std::size_t const kept = 2;
    for (std::size_t slot : {0, 2, 3, 4})
    {
        system.start(slot);
    }
    system.run(20s);
    auto const previous_witnesses = system.stored_witnesses(0);
    system.start(added);
    system.run_until(
        [&]
        {
            return system.stored_witnesses(0) != previous_witnesses;
        },
        20s);
    auto const current_witnesses = system.stored_witnesses(0);
    std::vector<std::size_t> reachable{kept};
    for (std::size_t slot : {3, 4})
    {
        if (std::count(current_witnesses.begin(),
                       current_witnesses.end(),
                       system.at(slot).id) == 0)
        {
            reachable.push_back(slot);
        }
    }
    EXPECT_EQ(reachable.size(), 2U) << "no witness was replaced";
    isolate_from_all_but(system, reachable);
    auto& subject = system.at(0);
    EXPECT_TRUE(system.run_until(
        [&]
        {
            return system.fencing_writes > 0 || subject.ended;
        },
        20s));
    system.run(3s);
    return system.violation;
}

} // namespace

// A member cannot know which of two witness lists the store holds. If promises
// from the old list were sufficient, the witnesses of the new list could
// consent to its fencing while it acts, and two members would answer for one
// key.
TEST(witness_list_change, lost_reply_is_safe_with_both_lists_required)
{
    EXPECT_EQ(run_witness_change_with_lost_reply(true), "");
}

// The same lost reply with the check of both lists turned off: the simulation
// must detect that a fenced member acts.
TEST(witness_list_change, lost_reply_lets_fenced_member_act_without_both_lists)
{
    EXPECT_EQ(run_witness_change_with_lost_reply(false),
              "entry-0 acts although it is fenced");
}
