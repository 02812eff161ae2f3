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
    claims() : system(options_with_32_partitions())
    {
    }

    static membership_simulation_options options_with_32_partitions()
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
            auto const* current_owner = system.owner(partition);
            names[partition] = current_owner == nullptr
                                   ? ports::member_identity{}
                                   : current_owner->id;
        }
        return names;
    }

    membership_simulation system;
};

} // namespace

TEST(claim_record, invalid_values_are_rejected_with_their_path)
{
    std::map<std::string, std::string> const paths{
        {"", "claim"},
        {"{}", "claim.owner"},
        {R"({"owner":"a","incarnation":"-1"})", "claim.incarnation"},
        {R"({"owner":"a","incarnation":"1","epoch":"2"})", "claim.epoch"},
        {R"({"owner":"a","incarnation":"1","epoch":2})", "claim.write_id"},
    };
    for (auto const& [json, path] : paths)
    {
        core::common::failure reason;
        EXPECT_FALSE(core::claims::parse_claim_record(json, reason)) << json;
        EXPECT_EQ(reason.where, path) << json;
    }
}

TEST_F(claims, new_member_gets_its_share_once_it_is_stable)
{
    auto const before = owners();
    auto const& newcomer = system.start(4);
    ASSERT_TRUE(system.run_until(
        [&]
        {
            return newcomer.may_act(system.time.now());
        },
        5s));
    system.run(4s);
    EXPECT_EQ(owners(), before) << "moved before the member was stable";
    system.run(10s);
    EXPECT_TRUE(system.all_owned());
    EXPECT_GT(newcomer.claims.owned(newcomer.member).size(), 1U);
    EXPECT_LT(newcomer.claims.owned(newcomer.member).size(), 16U);
}

// Guards against moves to a member that restarts every few seconds: the request
// keys of the other members' callers would move each time.
TEST_F(claims, flapping_member_moves_no_claims_of_others)
{
    auto const before = owners();
    for (int round = 0; round < 5; ++round)
    {
        system.start(4);
        system.run(4500ms);
    }
    EXPECT_EQ(owners(), before);
}

// Guards against requests that run twice: a member stops just after another one
// has joined, and hands its remembered keys to stable members. If the new
// member claimed its share of the hash, it would lack these keys, and retries
// would run again.
TEST_F(claims, released_claims_go_only_to_their_requested_successors)
{
    auto const& newcomer = system.start(4);
    ASSERT_TRUE(system.run_until(
        [&]
        {
            return newcomer.may_act(system.time.now());
        },
        5s));
    system.begin_leaving(1);
    ASSERT_TRUE(system.run_until(
        [this]
        {
            return system.at(1).ended && system.all_owned();
        },
        3s));
    EXPECT_TRUE(newcomer.claims.owned(newcomer.member).empty());
}

// Guards against two owners of one partition: the store applies releases and
// claims but loses the replies. A member that resumed a partition it had
// released would own it together with the successor.
TEST_F(claims, lost_replies_in_a_handover_leave_one_owner)
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

TEST_F(claims, fenced_record_is_erased_once_no_claim_names_it)
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

// Guards against overload of the store, which accepts several hundred writes
// and 2,000 reads a second from all processes together. Membership and claims
// of both roles may use only a part of this.
TEST(store_calls, steady_state_stays_within_the_budget)
{
    std::map<std::size_t, std::pair<double, double>> const bounds{
        {9, {40, 20}},   // Two roles with 9 members: writes, reads a second.
        {33, {140, 70}}, // Two roles with 3 members in 11 data centres.
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
        EXPECT_EQ(system.link.sent, frames)
            << "peer frames while the store is available";
    }
}
