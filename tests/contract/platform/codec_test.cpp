#include "platform/job_codec.hpp"
#include "platform/order_codec.hpp"
#include "platform/platform_records.hpp"
#include "platform/submission_codec.hpp"

#include <gtest/gtest.h>

using namespace fuchsia;
using core::common::failure;
using core::common::result_code;

namespace
{

ports::kv_item item(std::string key, std::string value)
{
    ports::kv_item result;
    result.key = std::move(key);
    result.value = std::move(value);
    return result;
}

constexpr char const* good_worker =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":8,"state":"ready","coldRemainingMs":0,)"
    R"("capacity":{"cpu":16000,"memMb":32768},"labels":["k","r1-3"],)"
    R"("clockMs":1,"seq":4,"born":1791417529292})";

} // namespace

// Guards the decoding of a worker's entry, with optional amounts absent.
TEST(platform_codec, decodes_a_worker)
{
    failure reason;
    auto const records = platform::make_platform_records();
    auto const worker =
        records.read_worker(item("servers/i-1", good_worker), reason);
    ASSERT_TRUE(worker) << to_string(reason);
    EXPECT_EQ(worker->id, "i-1");
    EXPECT_EQ(worker->remote_endpoint.port, 8080);
    EXPECT_EQ(worker->rack, "r1-3");
    EXPECT_EQ(worker->capacity.millicores, 16000);
    EXPECT_EQ(worker->capacity.accelerators, 0);
    EXPECT_EQ(worker->incarnation, 1791417529292U);
    EXPECT_FALSE(worker->draining);
}

// Another writer may leave an entry that is not a worker. If it were accepted,
// tasks would be sent to no valid address; if it ended the list, the valid
// workers would be lost.
TEST(platform_codec, rejects_entries_that_are_not_workers)
{
    auto const records = platform::make_platform_records();
    for (auto const* bad :
         {"",
          "not json",
          "[1]",
          R"({"service":7,"address":"10.0.0.9:1","zone":"a","state":"ready"})",
          R"({"service":"s","address":"nowhere","zone":"a","state":"ready"})",
          R"({"service":"s","address":"10.0.0.9:1","zone":"a"})",
          R"({"service":"s","address":"10.0.0.9:1","zone":"a","state":"odd"})"})
    {
        failure reason;
        EXPECT_FALSE(records.read_worker(item("servers/i-1", bad), reason))
            << bad;
        EXPECT_NE(reason.code, result_code::ok) << bad;
    }
}

// Guards the decoding of the configuration: a queue is found by host and path
// prefix only.
TEST(platform_codec, decodes_the_configuration)
{
    failure reason;
    auto const records = platform::make_platform_records();
    auto const change = records.read_operator(
        item("op/config",
             R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
             R"("prefix":"/p/","targetDurationMs":250,"priority":2,)"
             R"("service":"s","attempts":3,"stretch":1.5}],"services":)"
             R"([{"name":"s","enforcesCapacity":true,"standby":false}]})"),
        reason);
    ASSERT_TRUE(change) << to_string(reason);
    auto const& config = std::get<core::pool::configuration>(*change);
    EXPECT_EQ(config.version, 7U);
    auto const* queue = config.find("h.example", "/p/123");
    ASSERT_NE(queue, nullptr);
    EXPECT_EQ(queue->attempts, 3U);
    EXPECT_DOUBLE_EQ(queue->deadline_stretch, 1.5);
    EXPECT_EQ(config.find("other.example", "/p/123"), nullptr);
}

// An evacuation key takes a data centre out of service; its erasure puts the
// data centre back into service.
TEST(platform_codec, decodes_evacuation_and_return_of_a_data_centre)
{
    failure reason;
    auto const records = platform::make_platform_records();
    auto evacuation = item("op/evacuate/a", "e30=");
    auto const out = records.read_operator(evacuation, reason);
    ASSERT_TRUE(out);
    EXPECT_TRUE(std::get<core::pool::data_centre_change>(*out).out);
    evacuation.erased = true;
    auto const back = records.read_operator(evacuation, reason);
    ASSERT_TRUE(back);
    EXPECT_FALSE(std::get<core::pool::data_centre_change>(*back).out);
}

// Guards the decoding of a job: steps, dependencies, serving tasks and
// defaults.
TEST(platform_codec, decodes_a_submission)
{
    failure reason;
    auto const job = platform::decode_job(
        R"({"taskSpec":"x","steps":[{"count":4,"cpu":500,"memMb":256,)"
        R"("estimateMs":900,"affinity":"r1-3"},{"count":2,"after":[0],)"
        R"("longRunning":true,"image":"i","targetMs":150,"mayMiss":1}]})",
        reason);
    ASSERT_TRUE(job) << to_string(reason);
    ASSERT_EQ(job->steps.size(), 2U);
    EXPECT_EQ(job->steps[0].near_rack, "r1-3");
    EXPECT_EQ(job->steps[1].after, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(job->steps[1].long_running);
    EXPECT_EQ(job->steps[1].tail_target, std::chrono::milliseconds(150));
    EXPECT_EQ(job->occurrences, 1U);
}

// Task names must survive encoding and decoding; a malformed name is rejected.
TEST(platform_codec, task_names_round_trip_and_malformed_ones_are_rejected)
{
    ports::task_name const name{"5c0e7a21d94b36f8", 2, 1, 17};
    EXPECT_EQ(platform::encode(name), "5c0e7a21d94b36f8.2.1.17");
    EXPECT_EQ(platform::decode_task_name("5c0e7a21d94b36f8.2.1.17"), name);
    for (auto const* bad : {"", "a.1.2", "a.1.2.3.4", "a.x.2.3", "a.1.2."})
    {
        EXPECT_FALSE(platform::decode_task_name(bad)) << bad;
    }
}

// Guards the order status for each HTTP status and refusal of a worker, and the
// decoding of its running and ended attempts.
TEST(platform_codec, decodes_the_answers_of_a_worker)
{
    using ports::order_status;
    struct answer_case
    {
        std::uint16_t status;
        char const* body;
        order_status expected;
    };
    for (auto const& c : {
             answer_case{200, R"({"clockMs":5})", order_status::done},
             answer_case{409,
                         R"({"reason":"fence"})",
                         order_status::stale_fencing_token},
             answer_case{409, R"({"reason":"old"})", order_status::superseded},
             answer_case{
                 409, R"({"reason":"late"})", order_status::lease_expired},
             answer_case{
                 409, R"({"reason":"room"})", order_status::no_capacity},
             answer_case{
                 409, R"({"reason":"ticket"})", order_status::no_ticket},
             answer_case{421, "", order_status::wrong_incarnation},
             answer_case{400, "", order_status::invalid},
             answer_case{503, "", order_status::unhealthy},
             answer_case{500, "", order_status::unclear},
         })
    {
        failure reason;
        EXPECT_EQ(platform::decode_order_reply(
                      ports::stop_order{}, c.status, c.body, reason)
                      .status,
                  c.expected)
            << c.status << c.body;
    }
    failure reason;
    auto const poll_reply = platform::decode_order_reply(
        ports::poll_order{},
        200,
        R"({"clockMs":482113,"born":9,"running":[["a.0.1.17",2,"c",41,77]],)"
        R"("ended":[[58,"a.0.1.9",1,"done",""],[59,"?",1,"done",""]]})",
        reason);
    ASSERT_EQ(poll_reply.running.size(), 1U);
    EXPECT_EQ(poll_reply.running.front().measurement, 77);
    EXPECT_EQ(poll_reply.running.front().progress_percent, 41U);
    ASSERT_EQ(poll_reply.ended.size(), 1U);
    EXPECT_EQ(poll_reply.ended.front().kind, ports::end_kind::done);
    // The invalid row is reported, not silently skipped.
    EXPECT_EQ(reason.code, result_code::wrong_type);
}

// Guards against a list of ends that is as long as a worker makes it and is
// taken for all of its ends. An invalid row counts: it may hide an end.
TEST(platform_codec, a_list_of_500_ends_is_full)
{
    for (std::size_t const rows : {499U, 500U, 501U})
    {
        std::string body = R"({"running":[],"ended":[[1,"?",1,"done",""])";
        for (std::size_t number = 2; number <= rows; ++number)
        {
            body +=
                ",[" + std::to_string(number) + R"(,"a.0.1.9",1,"done",""])";
        }
        failure reason;
        auto const reply = platform::decode_order_reply(
            ports::poll_order{}, 200, body + "]}", reason);
        EXPECT_EQ(reply.ended.size(), rows - 1);
        EXPECT_EQ(reply.ended_is_full, rows >= 500) << rows;
    }
}

// Guards the HTTP status by which a client tells an accepted job from a refused
// one and from one with an unknown outcome.
TEST(platform_codec, answers_have_the_http_status_of_their_outcome)
{
    EXPECT_EQ(platform::encode(ports::job_accepted{}).status, 200);
    auto const refused = platform::encode(
        ports::job_refused{{result_code::store_unavailable, "", ""},
                           std::chrono::milliseconds(500)});
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.header("Retry-After"), "1");
    EXPECT_EQ(platform::encode(ports::job_outcome_unknown{
                                   {result_code::store_unclear, "", ""}})
                  .status,
              504);
    EXPECT_EQ(platform::encode(ports::job_not_found{}).status, 410);
    EXPECT_EQ(platform::encode(ports::queue_not_found{}).status, 404);
    EXPECT_EQ(
        platform::encode(ports::job_status{ports::job_state::failed}).body,
        R"({"state":"failed"})");
    EXPECT_EQ(platform::encode(ports::queue_status{12}).body,
              R"({"pending":12})");
}
