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

record describe(ports::member_identity const& id)
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

/// What a list shows: `subject` at `version`.
ports::store_reply list_at(std::uint64_t version, bool is_buried = false)
{
    record value = describe(subject);
    value.fenced = is_buried;
    ports::store_reply reply;
    reply.status = ports::store_status::done;
    reply.index = version;
    reply.entries.push_back({"members/entry/entry-1", to_json(value), version});
    return reply;
}

roster shows(std::uint64_t version, bool is_buried = false)
{
    roster members("entry");
    core::common::failure reason;
    EXPECT_TRUE(
        members.apply(start, start, list_at(version, is_buried), reason));
    return members;
}

} // namespace

TEST(record, reads_back_what_it_wrote)
{
    record value = describe(subject);
    value.heartbeat_count = 12;
    value.witnesses = {{"entry-2", 0xfedcba9876543210}, {"a#b", 1}};
    value.info.leaving = true;
    value.info.config_revision = 980;
    value.successor = 9;
    core::common::failure reason;
    EXPECT_EQ(parse_record("entry", "entry-1", to_json(value), reason), value);
}

TEST(record, bad_values_are_refused_with_the_place)
{
    std::map<std::string, std::string> const places{
        {"[]", "member"},
        {"{}", "member.incarnation"},
        {R"({"incarnation":"x"})", "member.incarnation"},
        {R"({"incarnation":"1","data_centre":"a","beat":-1})", "member.beat"},
        {R"({"incarnation":"1","data_centre":"a","witnesses":["b"]})",
         "member.witnesses"},
        {R"({"incarnation":"1","data_centre":"a","peer":{"address":"b"}})",
         "member.peer"},
    };
    for (auto const& [json, place] : places)
    {
        core::common::failure reason;
        EXPECT_FALSE(parse_record("entry", "a", json, reason)) << json;
        EXPECT_EQ(reason.where, place) << json;
    }
}

// Somebody writes nonsense under a member's key. Were it taken for a removed
// record, a running member's partitions would be taken from it.
TEST(roster, unreadable_record_shows_nobody_as_buried)
{
    roster members("entry");
    core::common::failure reason;
    auto reply = list_at(5);
    reply.entries.front().value = "nonsense";
    EXPECT_TRUE(members.apply(start, start, reply, reason));
    EXPECT_NE(reason.code, core::common::result_code::ok);
    EXPECT_FALSE(members.is_fenced(subject));
    EXPECT_TRUE(members.live().empty());
}

// A replica of the store that lags answers with an older list.
TEST(roster, older_list_is_not_taken)
{
    roster members = shows(9, true);
    core::common::failure reason;
    EXPECT_FALSE(members.apply(start + 1s, start + 1s, list_at(5), reason));
    EXPECT_TRUE(members.is_fenced(subject));
}

TEST(witness, consents_only_when_its_last_promise_is_older_than_bury)
{
    roster const members = shows(5);
    witness own(3s);
    EXPECT_TRUE(own.promise(start, subject, members));
    EXPECT_FALSE(own.consent(start + 2999ms, subject, 5, members));
    EXPECT_TRUE(own.consent(start + 3s, subject, 5, members));
}

TEST(witness, promises_nothing_after_consent_until_a_newer_record_was_read)
{
    witness own(3s);
    EXPECT_TRUE(own.consent(start, subject, 5, shows(5)));
    own.on_list(start, shows(5));
    EXPECT_FALSE(own.promise(start, subject, shows(5)));
    own.on_list(start, shows(6));
    EXPECT_TRUE(own.promise(start, subject, shows(6)));
}

TEST(witness, promises_nothing_to_the_buried_and_the_unknown)
{
    witness own(3s);
    EXPECT_FALSE(own.promise(start, subject, shows(6, true)));
    EXPECT_FALSE(own.promise(start, {"entry-1", 8}, shows(6)));
}

TEST(witness, counts_its_promises_as_new_after_a_pause)
{
    roster const members = shows(5);
    witness own(3s);
    EXPECT_TRUE(own.promise(start, subject, members));
    own.on_pause(start + 3s);
    EXPECT_FALSE(own.consent(start + 4s, subject, 5, members));
}

TEST(platform_list, tells_who_was_dropped_but_not_who_was_never_named)
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

// A faulty platform answers with an empty list. Believing it would take every
// witness for gone, and bury members that run.
TEST(platform_list, list_without_ourselves_is_not_believed)
{
    platform_list list;
    list.apply({{}, {"self", "a"}, start}, "self");
    list.apply({{}, {}, start + 1s}, "self");
    list.apply({{}, {}, start + 60s}, "self");
    EXPECT_FALSE(list.dropped_for("a", start, 3s));
}

TEST(witness_choice, no_data_centre_holds_a_majority)
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

// A process stands still for longer than it may and wakes with a frame waiting
// that is handled before anything else.
TEST(member, pause_voids_its_proof_and_resets_its_peers_first)
{
    ports::actions out;
    member own({}, describe(subject).info, 1);
    own.start(start, out);
    auto const answer = [&](ports::store_reply reply, time_point now)
    {
        auto const call = std::get<ports::store_call>(out.front());
        reply.id = call.id;
        out.clear();
        own.on_store_reply(now, reply, out);
    };
    answer({{}, ports::store_status::done, {}, 1}, start); // No record yet.
    answer({{}, ports::store_status::done, {}, 2}, start); // Its first write.
    EXPECT_TRUE(own.may_act(start + 100ms));
    EXPECT_FALSE(own.may_act(start + 900ms)) << "before the pause is noticed";
    out.clear();
    own.on_peer(start + 900ms, {{"entry-2", 2}, ports::promise_request{}}, out);
    ASSERT_FALSE(out.empty());
    EXPECT_TRUE(std::holds_alternative<ports::reset_peers>(out.front()));
    EXPECT_FALSE(own.may_act(start + 901ms));
    EXPECT_EQ(own.counts().promises_given, 0U);
    EXPECT_EQ(own.current_phase(), member_phase::proof_expired);
}
