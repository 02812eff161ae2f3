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

constexpr auto* mill_contract =
    R"({"customer":"mill","millicores":1000,"memory_mb":1,
"requests_in_flight":9,"requests_per_second":10,"latency_target_ms":250})";

std::string mill_contract_with_in_flight(int limit)
{
    std::string text = mill_contract;
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

/// Administration API of one planner on an in-memory store.
struct administration_fixture
{
    explicit administration_fixture(tests::memory_store& shared,
                                    std::string name = "planner-a-1",
                                    std::uint64_t incarnation = 0x10)
        : store(shared), api({}, {name, incarnation}),
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
        api.on_request(now, ++requests_, message, view(), out_, answers_);
        collect();
        return requests_;
    }

    /// Answers one store call; if there is none, advances the time by 100 ms.
    void step(fault store_fault = fault::none)
    {
        if (calls.empty())
        {
            now += 100ms;
            api.tick(now, view(), out_, answers_);
        }
        else
        {
            auto const call = calls.front();
            calls.pop_front();
            api.on_store_reply(
                now, store.answer(call, store_fault), view(), out_, answers_);
        }
        collect();
    }

    reply wait_for(std::uint64_t request, fault store_fault = fault::none)
    {
        for (int count = 0; count < 1000 && !replies.count(request); ++count)
        {
            step(store_fault);
        }
        EXPECT_EQ(replies.count(request), 1U) << "request was not answered";
        return replies[request];
    }

    reply request(std::string method,
                  std::string target,
                  std::string body = "",
                  fault store_fault = fault::none)
    {
        return wait_for(
            ask(std::move(method), std::move(target), std::move(body)),
            store_fault);
    }

    void put_member(std::string const& role,
                    std::string const& name,
                    std::uint64_t revision,
                    bool fenced = false)
    {
        record value;
        value.info = {{name, 7}, role, "thrissur-b", {"127.0.0.1", 1}, {}};
        value.info.http_address = {"127.0.0.1", 2};
        value.info.config_revision = revision;
        value.fenced = fenced;
        value.heartbeat_count = ++beats_;
        store.put("members/" + role + "/" + name, to_json(value));
    }

    bool is_fenced(std::string const& role, std::string const& name) const
    {
        core::common::failure reason;
        auto const value = core::membership::parse_record(
            role, name, store.value("members/" + role + "/" + name), reason);
        return value && value->fenced;
    }

    tests::memory_store& store;
    administration api;
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
            EXPECT_EQ(replies.count(answer.request), 0U)
                << "request was answered twice";
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
    administration_fixture fixture(store);
    auto put = fixture.request("PUT", "/v1/contracts/mill", mill_contract);
    EXPECT_EQ(put.status, 200);
    EXPECT_EQ(put.text("revision"), "1");

    auto const shown = fixture.request("GET", "/v1/contracts/mill");
    EXPECT_EQ(shown.status, 200);
    EXPECT_EQ(shown.body.at("contract").at("requests_in_flight"), 9);
    auto const listed = fixture.request("GET", "/v1/contracts");
    EXPECT_EQ(listed.body.at("contracts").as_array().size(), 1U);

    EXPECT_EQ(fixture.request("DELETE", "/v1/contracts/mill").text("revision"),
              "2");
    EXPECT_EQ(fixture.request("GET", "/v1/contracts/mill").status, 404);
    EXPECT_EQ(fixture.request("GET", "/v1/contracts").text("withdrawn"),
              "[\"mill\"]");
    EXPECT_EQ(fixture.request("DELETE", "/v1/contracts/mill").status, 404);
}

TEST(administration, a_data_centre_is_taken_out_of_service_and_put_back)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    auto const out = fixture.request(
        "PUT", "/v1/data-centres/kochi-a", R"({"state":"out"})");
    EXPECT_EQ(out.text("revision"), "1");
    EXPECT_EQ(fixture.configuration.current().data_centres_out_of_service.count(
                  "kochi-a"),
              1U)
        << "must be in force on this planner before anybody reads the store";
    auto const listed = fixture.request("GET", "/v1/data-centres");
    EXPECT_EQ(listed.text("data_centres"),
              R"([{"name":"kochi-a","state":"out","changed_at":1},)"
              R"({"name":"thrissur-b","state":"in","changed_at":0}])");
    EXPECT_EQ(
        fixture.request("PUT", "/v1/data-centres/kochi-a", R"({"state":"in"})")
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

TEST(administration, malformed_requests_get_an_error_code_and_change_nothing)
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
        {"PUT",
         "/v1/contracts/mill",
         mill_contract_with_in_flight(-1),
         400,
         1009},
        {"PUT", "/v1/contracts/shop", mill_contract, 400, 1010},
        {"PUT", "/v1/contracts/mill?if-revision=x", mill_contract, 400, 1009},
        {"PUT", "/v1/contracts/mill?if-revision=", mill_contract, 400, 1009},
        {"PUT", "/v1/contracts/mill?force=1", mill_contract, 400, 1007},
        {"POST", "/v1/contracts/mill", mill_contract, 405, 1015},
        {"PUT", "/v1/contracts", mill_contract, 405, 1015},
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
    administration_fixture fixture(store);
    for (auto const& test_case : cases)
    {
        auto const answer =
            fixture.request(test_case.method, test_case.target, test_case.body);
        EXPECT_EQ(answer.status, test_case.status)
            << test_case.target << test_case.body;
        EXPECT_EQ(answer.text("code"), std::to_string(test_case.code))
            << test_case.method << " " << test_case.target << " "
            << test_case.body;
    }
    EXPECT_TRUE(store.keys("").empty());
}

TEST(administration, a_new_data_centre_is_accepted_with_the_new_parameter)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    EXPECT_EQ(fixture
                  .request("PUT",
                           "/v1/data-centres/kottayam-c?new=true",
                           R"({"state":"out"})")
                  .status,
              200);
}

// Two operators change one contract concurrently through different planners.
// The one whose compare-and-swap fails must get a conflict with the newer
// revision.
TEST(administration, a_lost_race_is_refused_with_the_newer_revision)
{
    tests::memory_store store;
    administration_fixture first(store, "planner-a-1", 0x10);
    administration_fixture second(store, "planner-b-1", 0x20);
    auto const first_request =
        first.ask("PUT", "/v1/contracts/mill", mill_contract);
    auto const second_request = second.ask(
        "PUT", "/v1/contracts/mill", mill_contract_with_in_flight(5));
    first.step();
    second.step();
    EXPECT_EQ(first.wait_for(first_request).text("revision"), "1");
    auto const refusal = second.wait_for(second_request);
    EXPECT_EQ(refusal.status, 409);
    EXPECT_EQ(refusal.text("code"), "4003");
    EXPECT_EQ(refusal.text("name"), "\"conflict\"");
    EXPECT_EQ(refusal.text("revision"), "1");
}

struct outage_case
{
    char const* name;
    int answered_calls; ///< Store calls answered before the outage.
    fault store_fault;
    int status;
    char const* code;
};

// The store fails in the middle of an operator's change. "Nothing was changed"
// must be true, and an uncertain outcome must be reported as unknown.
TEST(administration, a_change_during_an_outage_reports_its_true_outcome)
{
    std::vector<outage_case> const cases{
        {"from the start", 0, fault::unavailable, 503, "4001"},
        {"before the swap", 2, fault::unavailable, 503, "4001"},
        {"swap lost", 2, fault::lost_before, 504, "4002"},
        {"answer of the swap lost", 2, fault::lost_after, 504, "4002"},
    };
    for (auto const& test_case : cases)
    {
        tests::memory_store store;
        administration_fixture fixture(store);
        auto const request =
            fixture.ask("PUT", "/v1/contracts/mill", mill_contract);
        for (int count = 0; count < test_case.answered_calls; ++count)
        {
            fixture.step();
        }
        auto const answer = fixture.wait_for(request, test_case.store_fault);
        EXPECT_EQ(answer.status, test_case.status) << test_case.name;
        EXPECT_EQ(answer.text("code"), test_case.code) << test_case.name;
    }
}

// The store has been unavailable for some time. If each planner waited for its
// time-out, an operator who tries all of them would get the refusal late.
TEST(administration, a_change_during_a_known_outage_is_refused_at_once)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    ports::actions started;
    fixture.configuration.start(fixture.now, started);
    auto const& call = std::get<ports::store_call>(started.at(0));
    fixture.configuration.on_store_reply(
        fixture.now, store.answer(call), started);
    fixture.now += 3s;
    EXPECT_EQ(
        fixture.request("PUT", "/v1/contracts/mill", mill_contract).status,
        200);
    fixture.now += 1ms;
    auto const request =
        fixture.ask("PUT", "/v1/contracts/mill", mill_contract);
    EXPECT_EQ(fixture.replies[request].text("code"), "4001");
}

TEST(administration, too_many_changes_at_once_are_refused_as_not_run)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    for (std::size_t count = 0; count < administration::max_changes; ++count)
    {
        fixture.ask("PUT", "/v1/contracts/mill", mill_contract);
    }
    auto const refused =
        fixture.ask("PUT", "/v1/contracts/mill", mill_contract);
    EXPECT_EQ(fixture.replies[refused].text("code"), "2008");
}

// A revision is in force when no member acts on an older one. A member without
// heartbeats counts until it is fenced, since its process may only be frozen.
TEST(administration, a_revision_is_in_force_when_every_member_reported_it)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    fixture.put_member("entry", "entry-a-1", 3);
    fixture.put_member("entry", "entry-b-1", 4);
    fixture.put_member("planner", "planner-a-1", 2);
    fixture.put_member("planner", "planner-b-1", 0, true);

    auto const early = fixture.request("GET", "/v1/revisions/3");
    EXPECT_EQ(early.text("in_force"), "false");
    auto const& waiting = early.body.at("waiting_for").as_array();
    ASSERT_EQ(waiting.size(), 1U);
    EXPECT_EQ(waiting[0].at("name"), "planner-a-1");
    EXPECT_EQ(waiting[0].at("role"), "planner");

    fixture.put_member("planner", "planner-a-1", 3);
    fixture.now += 1s;
    EXPECT_EQ(fixture.request("GET", "/v1/revisions/3").text("in_force"),
              "true");
}

TEST(administration, concurrent_reports_share_one_list_call)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    fixture.put_member("entry", "entry-a-1", 3);
    std::vector<std::uint64_t> requests;
    requests.reserve(100);
    for (int count = 0; count < 100; ++count)
    {
        requests.push_back(fixture.ask("GET", "/v1/revisions/3"));
    }
    for (auto const request : requests)
    {
        EXPECT_EQ(fixture.wait_for(request).text("in_force"), "true");
    }
    EXPECT_EQ(store.calls, 1U);
}

TEST(administration, a_report_is_answered_after_a_slow_list_call)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    auto const request = fixture.ask("GET", "/v1/status");
    fixture.now += 900ms;
    EXPECT_EQ(fixture.wait_for(request).status, 200);
}

TEST(administration, reports_without_the_store_are_refused)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    for (char const* target : {"/v1/revisions/1", "/v1/status"})
    {
        EXPECT_EQ(
            fixture.request("GET", target, "", fault::unavailable).text("code"),
            "4001");
    }
}

TEST(administration, status_contains_members_claims_and_the_part_of_the_planner)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    fixture.put_member("entry", "entry-a-1", 0);
    store.put("partitions/entry/0",
              R"({"owner":"entry-a-1","incarnation":"7","epoch":1,)"
              R"("write_id":"1"})");
    store.put("partitions/entry/1", "damaged");
    auto const status = fixture.request("GET", "/v1/status");
    EXPECT_EQ(status.status, 200);
    EXPECT_EQ(status.text("workers"), "50");
    EXPECT_EQ(status.text("claims"), R"({"entry":{"entry-a-1":1}})");
    EXPECT_EQ(status.body.at("members").as_array().size(), 1U);
}

TEST(administration, names_in_a_path_may_be_percent_encoded)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    fixture.put_member("entry", "entry a:1", 0);
    EXPECT_EQ(
        fixture.request("DELETE", "/v1/members/entry/entry%20a%3A1").status,
        200);
    EXPECT_EQ(fixture.request("DELETE", "/v1/members/entry/%2").status, 404);
}

TEST(administration, a_member_without_heartbeats_can_be_removed)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    fixture.put_member("entry", "entry-a-1", 0);
    auto const started_at = fixture.now;
    EXPECT_EQ(fixture.request("DELETE", "/v1/members/entry/entry-a-1").status,
              200);
    EXPECT_TRUE(fixture.is_fenced("entry", "entry-a-1"));
    EXPECT_GE(fixture.now - started_at, 3s);
}

// An operator removes the wrong member, which runs and sends heartbeats. If it
// were fenced, it would stop serving until it has joined again.
TEST(administration, a_member_with_heartbeats_can_not_be_removed)
{
    tests::memory_store store;
    administration_fixture fixture(store);
    fixture.put_member("entry", "entry-a-1", 0);
    auto const request = fixture.ask("DELETE", "/v1/members/entry/entry-a-1");
    fixture.step();
    fixture.put_member("entry", "entry-a-1", 0);
    EXPECT_EQ(fixture.wait_for(request).text("code"), "4003");
    EXPECT_FALSE(fixture.is_fenced("entry", "entry-a-1"));
}

TEST(administration, a_removal_with_store_faults_reports_its_true_outcome)
{
    struct removal_case
    {
        fault store_fault;
        int times;
        char const* code; ///< Empty if the removal succeeds.
        bool fenced;
    };
    std::vector<removal_case> const cases{
        {fault::lost_after, 1, "", true},
        {fault::lost_before, 1, "", true},
        {fault::unavailable, 1, "", true},
        {fault::lost_after, 1000, "4002", true},
        {fault::lost_before, 1000, "4002", false},
        {fault::unavailable, 1000, "4001", false},
    };
    for (auto const& test_case : cases)
    {
        tests::memory_store store;
        administration_fixture fixture(store);
        fixture.put_member("entry", "entry-a-1", 0);
        auto const request =
            fixture.ask("DELETE", "/v1/members/entry/entry-a-1");
        fixture.step();
        while (fixture.calls.empty())
        {
            fixture.step();
        }
        for (int count = 0;
             count < test_case.times && !fixture.replies.count(request);
             ++count)
        {
            fixture.step(test_case.store_fault);
        }
        EXPECT_EQ(fixture.wait_for(request).text("code"), test_case.code);
        EXPECT_EQ(fixture.is_fenced("entry", "entry-a-1"), test_case.fenced);
    }
}

TEST(administration, only_the_complete_token_is_accepted)
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

TEST(administration, only_its_own_paths_are_handled)
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
