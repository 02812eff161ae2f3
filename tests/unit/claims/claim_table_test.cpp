#include "core/claims/claim_record.hpp"
#include "unit/walks/membership_simulation.hpp"

#include <gtest/gtest.h>
#include <map>

using namespace fuchsia;
using namespace fuchsia::tests::unit::walks;
using namespace std::chrono_literals;

namespace
{

class claims : public testing::Test
{
protected:
    claims() : system(many_partitions())
    {
    }

    static membership_simulation_options many_partitions()
    {
        membership_simulation_options options;
        options.partitions = 32;
        return options;
    }

    void SetUp() override
    {
        for (std::size_t slot : {0, 1, 2, 3})
        {
            system.start(slot);
        }
        ASSERT_TRUE(system.run_until(
            [this]
            {
                return system.all_owned();
            },
            10s));
        system.run(20s);
    }

    void TearDown() override
    {
        EXPECT_EQ(system.violation, "");
    }

    std::map<std::string, ports::member_identity> owners()
    {
        std::map<std::string, ports::member_identity> names;
        for (auto const& partition : system.partitions())
        {
            auto const* who = system.owner(partition);
            names[partition] =
                who == nullptr ? ports::member_identity{} : who->id;
        }
        return names;
    }

    membership_simulation system;
};

} // namespace

TEST(claim_record, bad_values_are_refused_with_the_place)
{
    std::map<std::string, std::string> const places{
        {"", "claim"},
        {"{}", "claim.owner"},
        {R"({"owner":"a","incarnation":"-1"})", "claim.incarnation"},
        {R"({"owner":"a","incarnation":"1","epoch":"2"})", "claim.epoch"},
        {R"({"owner":"a","incarnation":"1","epoch":2})", "claim.write_id"},
    };
    for (auto const& [json, place] : places)
    {
        core::common::failure reason;
        EXPECT_FALSE(core::claims::parse_claim_record(json, reason)) << json;
        EXPECT_EQ(reason.where, place) << json;
    }
}

TEST_F(claims, newcomer_gets_its_share_once_it_has_settled)
{
    auto const before = owners();
    auto const& added = system.start(4);
    ASSERT_TRUE(system.run_until(
        [&]
        {
            return added.may_act(system.time.now());
        },
        5s));
    system.run(4s);
    EXPECT_EQ(owners(), before) << "moved before it had settled";
    system.run(10s);
    EXPECT_TRUE(system.all_owned());
    EXPECT_GT(added.claims.owned(added.member).size(), 1U);
    EXPECT_LT(added.claims.owned(added.member).size(), 16U);
}

// A member that is restarted every few seconds gets nothing from the others,
// so that their callers' keys stay where they are.
TEST_F(claims, flapping_member_moves_no_claims_of_others)
{
    auto const before = owners();
    for (int times = 0; times < 5; ++times)
    {
        system.start(4);
        system.run(4500ms);
    }
    EXPECT_EQ(owners(), before);
}

// A member stops while another one has just joined, and hands its remembered
// keys to members that have settled. Were the newcomer to claim what the hash
// gives it, it would not know those keys, and retries would run twice.
TEST_F(claims, released_claims_go_to_whom_they_were_handed)
{
    auto const& added = system.start(4);
    ASSERT_TRUE(system.run_until(
        [&]
        {
            return added.may_act(system.time.now());
        },
        5s));
    system.begin_leaving(1);
    ASSERT_TRUE(system.run_until(
        [this]
        {
            return system.at(1).ended && system.all_owned();
        },
        3s));
    EXPECT_TRUE(added.claims.owned(added.member).empty());
}

// The store loses the answers of releases and of claims, after the effect. A
// member that took up again what it had released would own it beside the next.
TEST_F(claims, lost_answers_in_a_handover_leave_one_owner)
{
    system.store.faults.lose_prefix = "partitions/";
    system.store.faults.lose_next_replies = 12;
    system.begin_leaving(1);
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return system.at(1).ended && system.all_owned();
        },
        30s));
    EXPECT_EQ(system.store.faults.lose_next_replies, 0U);
}

TEST_F(claims, buried_record_is_erased_once_no_claim_names_it)
{
    system.end(1);
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return system.all_owned();
        },
        15s));
    EXPECT_NE(system.store.contents.find("members/entry/entry-1"), nullptr);
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return system.store.contents.find("members/entry/entry-1") ==
                   nullptr;
        },
        150s));
}

// The store takes several hundred writes and 2,000 reads a second from all
// processes together; membership and claims of both roles may use a part.
TEST(store_calls, steady_state_stays_within_the_budget)
{
    std::map<std::size_t, std::pair<double, double>> const bounds{
        {9, {40, 20}},   // Two roles of 9: writes and reads a second.
        {33, {140, 70}}, // Two roles of 11 data centres x 3.
    };
    for (auto const& [members, bound] : bounds)
    {
        membership_simulation_options options;
        options.members = members;
        options.partitions = 64;
        options.settings.witness_count = 5;
        membership_simulation system(options);
        for (std::size_t slot = 0; slot < members; ++slot)
        {
            system.start(slot);
        }
        system.run(40s);
        system.store.counts = {};
        std::uint64_t const frames = system.link.sent;
        constexpr double seconds = 20;
        system.run(20s);
        auto const& counts = system.store.counts;
        auto const reads = counts.lists + counts.reads + counts.watches;
        EXPECT_LE(2 * static_cast<double>(counts.writes) / seconds,
                  bound.first);
        EXPECT_LE(2 * static_cast<double>(reads) / seconds, bound.second);
        EXPECT_EQ(system.link.sent, frames) << "promises while the store is up";
    }
}
