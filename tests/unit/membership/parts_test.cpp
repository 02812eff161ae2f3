#include "core/membership/member.hpp"
#include "core/membership/record.hpp"
#include "core/membership/witness_choice.hpp"

#include <gtest/gtest.h>
#include <map>
#include <string>

using namespace fuchsia;
using namespace fuchsia::core::membership;
using namespace std::chrono_literals;
using core::common::time_point;

namespace
{

time_point const start{1h};
ports::member_identity const subject{"entry-1", 7};

record make_record(ports::member_identity const& id)
{
    record value;
    value.info.id = id;
    value.info.role = "entry";
    value.info.data_centre = "kochi-a";
    value.info.peer_address = {"10.0.0.1", 7000};
    value.info.http_address = {"10.0.0.1", 8000};
    value.write_id = 0xffffffffffffffff;
    return value;
}

/// Reply to a list call that contains `subject` at `version`.
ports::store_reply make_list_reply(std::uint64_t version,
                                   bool is_fenced_record = false)
{
    record value = make_record(subject);
    value.fenced = is_fenced_record;
    ports::store_reply reply;
    reply.status = ports::store_status::done;
    reply.index = version;
    reply.entries.push_back({"members/entry/entry-1", to_json(value), version});
    return reply;
}

roster roster_with(std::uint64_t version, bool is_fenced_record = false)
{
    roster members("entry");
    core::common::failure reason;
    EXPECT_TRUE(members.apply(
        start, start, make_list_reply(version, is_fenced_record), reason));
    return members;
}

} // namespace

TEST(record, json_round_trip_preserves_all_fields)
{
    record value = make_record(subject);
    value.heartbeat_count = 12;
    value.witnesses = {{"entry-2", 0xfedcba9876543210}, {"a#b", 1}};
    value.info.leaving = true;
    value.info.config_revision = 980;
    value.successor = 9;
    core::common::failure reason;
    EXPECT_EQ(parse_record("entry", "entry-1", to_json(value), reason), value);
}

TEST(record, invalid_values_are_refused_with_their_path)
{
    std::map<std::string, std::string> const expected_paths{
        {"[]", "member"},
        {"{}", "member.incarnation"},
        {R"({"incarnation":"x"})", "member.incarnation"},
        {R"({"incarnation":"1","data_centre":"a","beat":-1})", "member.beat"},
        {R"({"incarnation":"1","data_centre":"a","witnesses":["b"]})",
         "member.witnesses"},
        {R"({"incarnation":"1","data_centre":"a","peer":{"address":"b"}})",
         "member.peer"},
    };
    for (auto const& [json, path] : expected_paths)
    {
        core::common::failure reason;
        EXPECT_FALSE(parse_record("entry", "a", json, reason)) << json;
        EXPECT_EQ(reason.where, path) << json;
    }
}

// An invalid value is written under a member's key. If it were treated as a
// removed record, the partitions of a running member would be taken over.
TEST(roster, unreadable_record_does_not_count_as_fenced)
{
    roster members("entry");
    core::common::failure reason;
    auto reply = make_list_reply(5);
    reply.entries.front().value = "nonsense";
    EXPECT_TRUE(members.apply(start, start, reply, reason));
    EXPECT_NE(reason.code, core::common::result_code::ok);
    EXPECT_FALSE(members.is_fenced(subject));
    EXPECT_TRUE(members.live().empty());
}

// A lagging replica of the store returns an older list (stale read).
TEST(roster, older_list_is_rejected)
{
    roster members = roster_with(9, true);
    core::common::failure reason;
    EXPECT_FALSE(
        members.apply(start + 1s, start + 1s, make_list_reply(5), reason));
    EXPECT_TRUE(members.is_fenced(subject));
}

TEST(witness, consents_only_after_its_last_promise_has_expired)
{
    roster const members = roster_with(5);
    witness tested(3s);
    EXPECT_TRUE(tested.promise(start, subject, members));
    EXPECT_FALSE(tested.consent(start + 2999ms, subject, 5, members));
    EXPECT_TRUE(tested.consent(start + 3s, subject, 5, members));
}

TEST(witness, refuses_promises_after_consent_until_newer_record_is_read)
{
    witness tested(3s);
    EXPECT_TRUE(tested.consent(start, subject, 5, roster_with(5)));
    tested.on_list(start, roster_with(5));
    EXPECT_FALSE(tested.promise(start, subject, roster_with(5)));
    tested.on_list(start, roster_with(6));
    EXPECT_TRUE(tested.promise(start, subject, roster_with(6)));
}

TEST(witness, refuses_promises_to_fenced_and_unknown_members)
{
    witness tested(3s);
    EXPECT_FALSE(tested.promise(start, subject, roster_with(6, true)));
    EXPECT_FALSE(tested.promise(start, {"entry-1", 8}, roster_with(6)));
}

TEST(witness, pause_restarts_the_time_of_all_promises)
{
    roster const members = roster_with(5);
    witness tested(3s);
    EXPECT_TRUE(tested.promise(start, subject, members));
    tested.on_pause(start + 3s);
    EXPECT_FALSE(tested.consent(start + 4s, subject, 5, members));
}

TEST(platform_list, reports_dropped_instances_but_not_never_listed_ones)
{
    platform_list list;
    list.apply({{}, {"self", "a"}, start}, "self");
    list.apply({{}, {"self"}, start + 1s}, "self");
    list.apply({{}, {"self"}, start + 4s}, "self");
    EXPECT_TRUE(list.dropped_for("a", start, 3s));
    EXPECT_FALSE(list.dropped_for("a", start, 4s));
    EXPECT_FALSE(list.dropped_for("a", start + 500ms, 3s)) << "a newer process";
    EXPECT_FALSE(list.dropped_for("new", start, 3s));
    EXPECT_FALSE(list.dropped_for("self", start, 0s));
}

// A faulty platform returns an empty list. If it were accepted, all witnesses
// would count as terminated, and running members would be fenced.
TEST(platform_list, list_without_own_instance_is_ignored)
{
    platform_list list;
    list.apply({{}, {"self", "a"}, start}, "self");
    list.apply({{}, {}, start + 1s}, "self");
    list.apply({{}, {}, start + 60s}, "self");
    EXPECT_FALSE(list.dropped_for("a", start, 3s));
}

TEST(witness_choice, no_data_centre_has_a_majority_of_the_witnesses)
{
    std::vector<member_info> live;
    for (std::uint64_t number = 0; number < 9; ++number)
    {
        member_info info;
        info.id = {"entry-" + std::to_string(number), number};
        info.data_centre = std::to_string(number / 3);
        live.push_back(info);
    }
    std::map<std::uint64_t, int> by_data_centre;
    for (auto const& chosen : choose_witnesses(live.front().id, live, 5))
    {
        EXPECT_NE(chosen, live.front().id);
        ++by_data_centre[chosen.incarnation / 3];
    }
    for (auto const& [data_centre, count] : by_data_centre)
    {
        EXPECT_LE(count, 2) << data_centre;
    }
}

// A process is paused for longer than the limit and resumes with a waiting
// frame that is handled before anything else.
TEST(member, pause_invalidates_proof_and_first_resets_peers)
{
    ports::actions out;
    member tested({}, make_record(subject).info, 1);
    tested.start(start, out);
    auto const reply_to_first_call =
        [&](ports::store_reply reply, time_point now)
    {
        auto const call = std::get<ports::store_call>(out.front());
        reply.id = call.id;
        out.clear();
        tested.on_store_reply(now, reply, out);
    };
    reply_to_first_call({{}, ports::store_status::done, {}, 1},
                        start); // No record yet.
    reply_to_first_call({{}, ports::store_status::done, {}, 2},
                        start); // Its first write.
    EXPECT_TRUE(tested.may_act(start + 100ms));
    EXPECT_FALSE(tested.may_act(start + 900ms))
        << "before the pause is detected";
    out.clear();
    tested.on_peer(
        start + 900ms, {{"entry-2", 2}, ports::promise_request{}}, out);
    ASSERT_FALSE(out.empty());
    EXPECT_TRUE(std::holds_alternative<ports::reset_peers>(out.front()));
    EXPECT_FALSE(tested.may_act(start + 901ms));
    EXPECT_EQ(tested.counts().promises_given, 0U);
    EXPECT_EQ(tested.current_phase(), member_phase::proof_expired);
}
