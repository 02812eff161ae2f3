#include "programs/planner/administration.hpp"

#include "contract/config/memory_store.hpp"
#include "core/common/json.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <map>

using namespace fuchsia;
using namespace std::chrono_literals;
using core::membership::record;
using programs::planner::administration;
using fault = fuchsia::tests::memory_store::fault;

namespace
{

constexpr auto* mill = R"({"customer":"mill","millicores":1000,"memory_mb":1,
"requests_in_flight":9,"requests_per_second":10,"latency_target_ms":250})";

std::string mill_with_in_flight(int limit)
{
    std::string text = mill;
    return text.replace(text.find("9,"), 1, std::to_string(limit));
}

struct reply
{
    int status = 0;
    boost::json::object body;

    std::string text(std::string_view key) const
    {
        auto const* value = body.if_contains(key);
        return value == nullptr ? "" : boost::json::serialize(*value);
    }
};

/// One planner's administration over the store in memory.
struct administration_bench
{
    explicit administration_bench(tests::memory_store& shared,
                                  std::string name = "planner-a-1",
                                  std::uint64_t incarnation = 0x10)
        : store(shared), subject({}, {name, incarnation}),
          self({}, {{name, incarnation}, "planner", "kochi-a", {}, {}}, 1)
    {
    }

    std::uint64_t
    ask(std::string method, std::string target, std::string body = "")
    {
        adapters::http::request message;
        message.method = std::move(method);
        message.target = std::move(target);
        message.body = std::move(body);
        message.remote_address = "127.0.0.1";
        subject.on_request(now, ++requests_, message, view(), out_, answers_);
        collect();
        return requests_;
    }

    /// Answers one store call; without one, lets 100 ms pass.
    void step(fault how = fault::none)
    {
        if (calls.empty())
        {
            now += 100ms;
            subject.tick(now, view(), out_, answers_);
        }
        else
        {
            auto const call = calls.front();
            calls.pop_front();
            subject.on_store_reply(
                now, store.answer(call, how), view(), out_, answers_);
        }
        collect();
    }

    reply wait_for(std::uint64_t request, fault how = fault::none)
    {
        for (int count = 0; count < 1000 && !replies.count(request); ++count)
        {
            step(how);
        }
        EXPECT_EQ(replies.count(request), 1U) << "never answered";
        return replies[request];
    }

    reply request(std::string method,
                  std::string target,
                  std::string body = "",
                  fault how = fault::none)
    {
        return wait_for(
            ask(std::move(method), std::move(target), std::move(body)), how);
    }

    void put_member(std::string const& role,
                    std::string const& name,
                    std::uint64_t revision,
                    bool buried = false)
    {
        record value;
        value.info = {{name, 7}, role, "thrissur-b", {"127.0.0.1", 1}, {}};
        value.info.http_address = {"127.0.0.1", 2};
        value.info.config_revision = revision;
        value.fenced = buried;
        value.heartbeat_count = ++beats_;
        store.put("members/" + role + "/" + name, to_json(value));
    }

    bool is_buried(std::string const& role, std::string const& name) const
    {
        core::common::failure reason;
        auto const value = core::membership::parse_record(
            role, name, store.value("members/" + role + "/" + name), reason);
        return value && value->fenced;
    }

    tests::memory_store& store;
    administration subject;
    core::config::configuration_follower configuration{{}};
    core::membership::member self;
    core::common::time_point now{100s};
    std::deque<ports::store_call> calls;
    std::vector<ports::log_event> logs;
    std::map<std::uint64_t, reply> replies;

private:
    programs::planner::administration_view view()
    {
        return {configuration,
                self,
                []
                {
                    return core::config::name_set{"thrissur-b"};
                },
                []
                {
                    return boost::json::object{{"workers", 50}};
                }};
    }

    void collect()
    {
        for (auto const& action : out_)
        {
            if (auto const* call = std::get_if<ports::store_call>(&action))
            {
                EXPECT_EQ(call->id.requester,
                          ports::store_requester::administration);
                calls.push_back(*call);
            }
            else if (auto const* event = std::get_if<ports::log_event>(&action))
            {
                logs.push_back(*event);
            }
        }
        out_.clear();
        for (auto const& answer : answers_)
        {
            EXPECT_EQ(replies.count(answer.request), 0U) << "answered twice";
            core::common::failure reason;
            auto body = core::common::parse_json_object(
                answer.response.body, "answer", reason);
            EXPECT_TRUE(body) << answer.response.body;
            replies[answer.request] = {answer.response.status,
                                       body.value_or(boost::json::object{})};
        }
        answers_.clear();
    }

    ports::actions out_;
    programs::planner::administration_answers answers_;
    std::uint64_t requests_ = 0;
    std::uint64_t beats_ = 0;
};

} // namespace

TEST(administration, a_contract_is_put_shown_listed_and_withdrawn)
{
    tests::memory_store store;
    administration_bench bench(store);
    auto put = bench.request("PUT", "/v1/contracts/mill", mill);
    EXPECT_EQ(put.status, 200);
    EXPECT_EQ(put.text("revision"), "1");

    auto const shown = bench.request("GET", "/v1/contracts/mill");
    EXPECT_EQ(shown.status, 200);
    EXPECT_EQ(shown.body.at("contract").at("requests_in_flight"), 9);
    auto const listed = bench.request("GET", "/v1/contracts");
    EXPECT_EQ(listed.body.at("contracts").as_array().size(), 1U);

    EXPECT_EQ(bench.request("DELETE", "/v1/contracts/mill").text("revision"),
              "2");
    EXPECT_EQ(bench.request("GET", "/v1/contracts/mill").status, 404);
    EXPECT_EQ(bench.request("GET", "/v1/contracts").text("withdrawn"),
              "[\"mill\"]");
    EXPECT_EQ(bench.request("DELETE", "/v1/contracts/mill").status, 404);
}

TEST(administration, a_data_centre_goes_out_and_in_again)
{
    tests::memory_store store;
    administration_bench bench(store);
    auto const out =
        bench.request("PUT", "/v1/data-centres/kochi-a", R"({"state":"out"})");
    EXPECT_EQ(out.text("revision"), "1");
    EXPECT_EQ(bench.configuration.current().data_centres_out_of_service.count(
                  "kochi-a"),
              1U)
        << "in force here before anybody reads the store";
    auto const listed = bench.request("GET", "/v1/data-centres");
    EXPECT_EQ(listed.text("data_centres"),
              R"([{"name":"kochi-a","state":"out","changed_at":1},)"
              R"({"name":"thrissur-b","state":"in","changed_at":0}])");
    EXPECT_EQ(
        bench.request("PUT", "/v1/data-centres/kochi-a", R"({"state":"in"})")
            .text("revision"),
        "2");
}

struct refusal_case
{
    char const* method;
    char const* target;
    std::string body;
    int status;
    int code;
};

TEST(administration, bad_requests_get_a_numbered_code_and_change_nothing)
{
    std::vector<refusal_case> const cases{
        {"PUT", "/v1/contracts/mill", "{", 400, 1004},
        {"PUT", "/v1/contracts/mill", "", 400, 1004},
        {"PUT", "/v1/contracts/mill", "[]", 400, 1004},
        {"PUT", "/v1/contracts/mill", "{}", 400, 1008},
        {"PUT",
         "/v1/contracts/mill",
         R"({"customer":"mill","x":1})",
         400,
         1007},
        {"PUT", "/v1/contracts/mill", mill_with_in_flight(-1), 400, 1009},
        {"PUT", "/v1/contracts/shop", mill, 400, 1010},
        {"PUT", "/v1/contracts/mill?if-revision=x", mill, 400, 1009},
        {"PUT", "/v1/contracts/mill?if-revision=", mill, 400, 1009},
        {"PUT", "/v1/contracts/mill?force=1", mill, 400, 1007},
        {"POST", "/v1/contracts/mill", mill, 405, 1015},
        {"PUT", "/v1/contracts", mill, 405, 1015},
        {"GET", "/v1/contracts?x=1", "", 400, 1007},
        {"GET", "/v1/contracts/mill/9", "", 404, 1014},
        {"GET", "/v1/nothing", "", 404, 1014},
        {"GET", "/", "", 404, 1014},
        {"GET", "/v1/contracts/none", "", 404, 4004},
        {"PUT", "/v1/data-centres/kochi-a", R"({"state":"gone"})", 400, 1009},
        {"PUT", "/v1/data-centres/kochi-a", R"({"state":1})", 400, 1017},
        {"PUT", "/v1/data-centres/kochi-x", R"({"state":"out"})", 404, 4004},
        {"PUT",
         "/v1/data-centres/Kochi%20a?new=true",
         R"({"state":"out"})",
         404,
         4004},
        {"DELETE", "/v1/data-centres/kochi-a", "", 405, 1015},
        {"GET", "/v1/revisions/x", "", 400, 1009},
        {"DELETE", "/v1/revisions/1", "", 405, 1015},
        {"DELETE", "/v1/members/worker/w-1", "", 400, 1009},
        {"GET", "/v1/members/entry/e-1", "", 405, 1015},
        {"DELETE", "/v1/members/entry/e-1", "", 404, 4004},
    };
    tests::memory_store store;
    administration_bench bench(store);
    for (auto const& each : cases)
    {
        auto const answer = bench.request(each.method, each.target, each.body);
        EXPECT_EQ(answer.status, each.status) << each.target << each.body;
        EXPECT_EQ(answer.text("code"), std::to_string(each.code))
            << each.method << " " << each.target << " " << each.body;
    }
    EXPECT_TRUE(store.keys("").empty());
}

TEST(administration, a_new_data_centre_must_be_said_to_be_new)
{
    tests::memory_store store;
    administration_bench bench(store);
    EXPECT_EQ(bench
                  .request("PUT",
                           "/v1/data-centres/kottayam-c?new=true",
                           R"({"state":"out"})")
                  .status,
              200);
}

// Two operators lower one contract at once, each through another planner. The
// loser must learn that it lost and against which revision.
TEST(administration, the_loser_of_a_race_gets_the_newer_revision)
{
    tests::memory_store store;
    administration_bench first(store, "planner-a-1", 0x10);
    administration_bench second(store, "planner-b-1", 0x20);
    auto const one = first.ask("PUT", "/v1/contracts/mill", mill);
    auto const two =
        second.ask("PUT", "/v1/contracts/mill", mill_with_in_flight(5));
    first.step();
    second.step();
    EXPECT_EQ(first.wait_for(one).text("revision"), "1");
    auto const lost = second.wait_for(two);
    EXPECT_EQ(lost.status, 409);
    EXPECT_EQ(lost.text("code"), "4003");
    EXPECT_EQ(lost.text("name"), "\"conflict\"");
    EXPECT_EQ(lost.text("revision"), "1");
}

struct outage_case
{
    char const* name;
    int at; ///< Calls answered before the store falls silent.
    fault how;
    int status;
    char const* code;
};

// The store falls silent in the middle of an operator's change. "Nothing was
// changed" must be true, and what can't be known must be said to be unknown.
TEST(administration, an_outage_is_told_truthfully)
{
    std::vector<outage_case> const cases{
        {"from the start", 0, fault::unavailable, 503, "4001"},
        {"before the swap", 2, fault::unavailable, 503, "4001"},
        {"swap lost", 2, fault::lost_before, 504, "4002"},
        {"answer of the swap lost", 2, fault::lost_after, 504, "4002"},
    };
    for (auto const& each : cases)
    {
        tests::memory_store store;
        administration_bench bench(store);
        auto const request = bench.ask("PUT", "/v1/contracts/mill", mill);
        for (int count = 0; count < each.at; ++count)
        {
            bench.step();
        }
        auto const answer = bench.wait_for(request, each.how);
        EXPECT_EQ(answer.status, each.status) << each.name;
        EXPECT_EQ(answer.text("code"), each.code) << each.name;
    }
}

// The store has been down for a while. An operator who waits for each planner
// in turn to lose its patience learns late that nothing can be changed.
TEST(administration, a_known_outage_is_told_at_once)
{
    tests::memory_store store;
    administration_bench bench(store);
    ports::actions started;
    bench.configuration.start(bench.now, started);
    auto const& call = std::get<ports::store_call>(started.at(0));
    bench.configuration.on_store_reply(bench.now, store.answer(call), started);
    bench.now += 3s;
    EXPECT_EQ(bench.request("PUT", "/v1/contracts/mill", mill).status, 200);
    bench.now += 1ms;
    auto const request = bench.ask("PUT", "/v1/contracts/mill", mill);
    EXPECT_EQ(bench.replies[request].text("code"), "4001");
}

TEST(administration, too_many_changes_at_once_are_refused_as_not_run)
{
    tests::memory_store store;
    administration_bench bench(store);
    for (std::size_t count = 0; count < administration::max_changes; ++count)
    {
        bench.ask("PUT", "/v1/contracts/mill", mill);
    }
    auto const refused = bench.ask("PUT", "/v1/contracts/mill", mill);
    EXPECT_EQ(bench.replies[refused].text("code"), "2008");
}

// A revision is in force when nobody acts on an older one any more. A crashed
// member counts until it is buried: it may have frozen and may wake up.
TEST(administration, a_revision_is_in_force_when_every_member_reported_it)
{
    tests::memory_store store;
    administration_bench bench(store);
    bench.put_member("entry", "entry-a-1", 3);
    bench.put_member("entry", "entry-b-1", 4);
    bench.put_member("planner", "planner-a-1", 2);
    bench.put_member("planner", "planner-b-1", 0, true);

    auto const early = bench.request("GET", "/v1/revisions/3");
    EXPECT_EQ(early.text("in_force"), "false");
    auto const& waiting = early.body.at("waiting_for").as_array();
    ASSERT_EQ(waiting.size(), 1U);
    EXPECT_EQ(waiting[0].at("name"), "planner-a-1");
    EXPECT_EQ(waiting[0].at("role"), "planner");

    bench.put_member("planner", "planner-a-1", 3);
    bench.now += 1s;
    EXPECT_EQ(bench.request("GET", "/v1/revisions/3").text("in_force"), "true");
}

TEST(administration, many_who_wait_share_one_list_call)
{
    tests::memory_store store;
    administration_bench bench(store);
    bench.put_member("entry", "entry-a-1", 3);
    std::vector<std::uint64_t> asked;
    asked.reserve(100);
    for (int count = 0; count < 100; ++count)
    {
        asked.push_back(bench.ask("GET", "/v1/revisions/3"));
    }
    for (auto const request : asked)
    {
        EXPECT_EQ(bench.wait_for(request).text("in_force"), "true");
    }
    EXPECT_EQ(store.calls, 1U);
}

TEST(administration, a_slow_store_still_gets_reports_answered)
{
    tests::memory_store store;
    administration_bench bench(store);
    auto const request = bench.ask("GET", "/v1/status");
    bench.now += 900ms;
    EXPECT_EQ(bench.wait_for(request).status, 200);
}

TEST(administration, reports_without_the_store_are_refused)
{
    tests::memory_store store;
    administration_bench bench(store);
    for (char const* target : {"/v1/revisions/1", "/v1/status"})
    {
        EXPECT_EQ(
            bench.request("GET", target, "", fault::unavailable).text("code"),
            "4001");
    }
}

TEST(administration, status_names_members_claims_and_the_planners_own_part)
{
    tests::memory_store store;
    administration_bench bench(store);
    bench.put_member("entry", "entry-a-1", 0);
    store.put("partitions/entry/0",
              R"({"owner":"entry-a-1","incarnation":"7","epoch":1,)"
              R"("write_id":"1"})");
    store.put("partitions/entry/1", "damaged");
    auto const status = bench.request("GET", "/v1/status");
    EXPECT_EQ(status.status, 200);
    EXPECT_EQ(status.text("workers"), "50");
    EXPECT_EQ(status.text("claims"), R"({"entry":{"entry-a-1":1}})");
    EXPECT_EQ(status.body.at("members").as_array().size(), 1U);
}

TEST(administration, names_in_a_path_may_be_percent_encoded)
{
    tests::memory_store store;
    administration_bench bench(store);
    bench.put_member("entry", "entry a:1", 0);
    EXPECT_EQ(bench.request("DELETE", "/v1/members/entry/entry%20a%3A1").status,
              200);
    EXPECT_EQ(bench.request("DELETE", "/v1/members/entry/%2").status, 404);
}

TEST(administration, a_member_that_stands_still_can_be_removed)
{
    tests::memory_store store;
    administration_bench bench(store);
    bench.put_member("entry", "entry-a-1", 0);
    auto const begun = bench.now;
    EXPECT_EQ(bench.request("DELETE", "/v1/members/entry/entry-a-1").status,
              200);
    EXPECT_TRUE(bench.is_buried("entry", "entry-a-1"));
    EXPECT_GE(bench.now - begun, 3s);
}

// An operator removes the wrong member. It runs and beats; buried, it would
// stop serving until it has joined again.
TEST(administration, a_member_that_beats_can_not_be_removed)
{
    tests::memory_store store;
    administration_bench bench(store);
    bench.put_member("entry", "entry-a-1", 0);
    auto const request = bench.ask("DELETE", "/v1/members/entry/entry-a-1");
    bench.step();
    bench.put_member("entry", "entry-a-1", 0);
    EXPECT_EQ(bench.wait_for(request).text("code"), "4003");
    EXPECT_FALSE(bench.is_buried("entry", "entry-a-1"));
}

TEST(administration, the_fate_of_a_removal_is_told_truthfully)
{
    struct removal_case
    {
        fault how;
        int times;
        char const* code; ///< "" where it is done.
        bool buried;
    };
    std::vector<removal_case> const cases{
        {fault::lost_after, 1, "", true},
        {fault::lost_before, 1, "", true},
        {fault::unavailable, 1, "", true},
        {fault::lost_after, 1000, "4002", true},
        {fault::lost_before, 1000, "4002", false},
        {fault::unavailable, 1000, "4001", false},
    };
    for (auto const& each : cases)
    {
        tests::memory_store store;
        administration_bench bench(store);
        bench.put_member("entry", "entry-a-1", 0);
        auto const request = bench.ask("DELETE", "/v1/members/entry/entry-a-1");
        bench.step();
        while (bench.calls.empty())
        {
            bench.step();
        }
        for (int count = 0; count < each.times && !bench.replies.count(request);
             ++count)
        {
            bench.step(each.how);
        }
        EXPECT_EQ(bench.wait_for(request).text("code"), each.code);
        EXPECT_EQ(bench.is_buried("entry", "entry-a-1"), each.buried);
    }
}

TEST(administration, the_token_is_needed_whole)
{
    using programs::planner::has_token;
    EXPECT_TRUE(has_token("Bearer 0123456789abcdef", "0123456789abcdef"));
    for (char const* bad : {"",
                            "Bearer ",
                            "Bearer 0123456789abcde",
                            "Bearer 0123456789abcdef0",
                            "bearer 0123456789abcdef",
                            "0123456789abcdef",
                            "Basic 0123456789abcdef"})
    {
        EXPECT_FALSE(has_token(bad, "0123456789abcdef")) << bad;
    }
    EXPECT_FALSE(has_token("Bearer ", ""));
}

TEST(administration, paths_of_other_parts_are_left_alone)
{
    for (char const* own : {"/v1/contracts",
                            "/v1/contracts/mill?if-revision=1",
                            "/v1/data-centres",
                            "/v1/revisions/4",
                            "/v1/status",
                            "/v1/members/entry/e-1"})
    {
        EXPECT_TRUE(administration::handles(own)) << own;
    }
    for (char const* other :
         {"/v1/jobs", "/healthz", "/v1", "/v1/", "/v1/statu"})
    {
        EXPECT_FALSE(administration::handles(other)) << other;
    }
}
