#include "contract/inputs/parser_robustness.hpp"

#include "core/pool/backlog.hpp"
#include "core/pool/claim_holder.hpp"
#include "core/pool/fleet.hpp"
#include "core/pool/interference_estimates.hpp"
#include "core/pool/job_run.hpp"
#include "core/pool/progress.hpp"
#include "core/pool/roster.hpp"
#include "platform/job_codec.hpp"
#include "platform/kv_codec.hpp"
#include "platform/order_codec.hpp"
#include "platform/platform_records.hpp"
#include "platform/policy_codec.hpp"
#include "platform/submission_codec.hpp"

#include <cmath>
#include <gtest/gtest.h>

// Tests that the pool's parsers accept any input only within its bounds, or
// refuse it with a reason.
namespace fuchsia::tests::contract::inputs
{

namespace
{

namespace pool = core::pool;
using core::common::failure;
using core::common::result_code;

// Bounds of the formats. Sums of values within them can't overflow.
constexpr std::int64_t max_integer = std::int64_t{1} << 52;
constexpr std::int64_t max_size = 1'000'000'000;
constexpr std::uint64_t max_job_tasks = 20'000;
constexpr std::uint32_t max_attempt = 1'000'000'000;
constexpr std::uint64_t max_revision = std::uint64_t{1} << 62;
constexpr core::common::duration max_duration = std::chrono::hours(24 * 366);

// Returns a fault if a refusal doesn't say what is wrong and where.
std::string check_refusal(failure const& reason)
{
    bool const complete =
        reason.code != result_code::ok && !reason.where.empty();
    return complete ? "" : "refused without a reason: " + to_string(reason);
}

std::string fault_unless(bool condition, char const* fault_text)
{
    return condition ? "" : fault_text;
}

bool in_range(std::int64_t value, std::int64_t low, std::int64_t high)
{
    return low <= value && value <= high;
}

bool in_bounds(ports::resources const& value)
{
    return in_range(value.millicores, 0, max_size) &&
           in_range(value.memory_mb, 0, max_size) &&
           in_range(value.accelerators, 0, max_size);
}

bool in_bounds(core::common::duration value)
{
    return value.count() >= 0 && value <= max_duration;
}

bool in_bounds(ports::pool_attempt const& value)
{
    return value.attempt >= 1 && value.attempt <= max_attempt &&
           platform::decode_task_name(platform::encode(value.task)) ==
               value.task;
}

ports::kv_item item(std::string key, std::string value)
{
    ports::kv_item result;
    result.key = std::move(key);
    result.value = std::move(value);
    result.revision = 1;
    return result;
}

std::string check_worker(std::string const& input)
{
    failure reason;
    auto const parsed = platform::make_platform_records().read_worker(
        item("servers/i-1", input), reason);
    if (!parsed)
    {
        return check_refusal(reason);
    }
    bool const has_names =
        !parsed->service.empty() && !parsed->data_centre.empty();
    return fault_unless(has_names, "the service or zone is missing") +
           fault_unless(parsed->remote_endpoint.port > 0,
                        "the port is missing") +
           fault_unless(in_bounds(parsed->capacity),
                        "the capacity is out of bounds") +
           fault_unless(parsed->incarnation <= max_integer,
                        "the incarnation is out of bounds");
}

std::string check_operator(std::string const& input)
{
    failure reason;
    auto const parsed = platform::make_platform_records().read_operator(
        item("op/config", input), reason);
    if (!parsed)
    {
        return check_refusal(reason);
    }
    auto const& config = std::get<pool::configuration>(*parsed);
    std::string fault =
        fault_unless(config.version > 0, "the version is missing");
    for (auto const& queue : config.queues)
    {
        fault += fault_unless(queue.attempts > 0,
                              "the number of attempts is missing");
        fault += fault_unless(in_bounds(queue.deadline_slack),
                              "the deadline slack is out of bounds");
        fault += fault_unless(
            in_range(std::lround(queue.deadline_stretch), 0, 1'000'000),
            "the deadline stretch is out of bounds");
        fault +=
            fault_unless(!queue.policy || (in_bounds(queue.policy->decision) &&
                                           in_bounds(queue.policy->per_worker)),
                         "the policy times are out of bounds");
    }
    return fault;
}

std::string check_times(pool::job_run const& run)
{
    std::string fault =
        fault_unless(run.due_unix_ms >= 0, "the due time is before 1970") +
        fault_unless(run.late_unix_ms >= run.due_unix_ms,
                     "the late time is before the due time");
    std::int64_t previous_due_unix_ms = 0;
    for (auto const& occurrence : run.occurrences)
    {
        fault += fault_unless(occurrence.due_unix_ms >= previous_due_unix_ms,
                              "the occurrences are out of order");
        previous_due_unix_ms = occurrence.due_unix_ms;
    }
    return fault;
}

std::string check_job_values(pool::job const& job)
{
    std::uint64_t tasks = 0;
    for (auto const& step : job.steps)
    {
        tasks += std::uint64_t{step.count} * job.occurrences;
        if (!in_bounds(step.declared) || !in_bounds(step.estimate) ||
            !in_bounds(step.tail_target))
        {
            return "the size or time of a step is out of bounds";
        }
    }
    if (auto const problem = pool::validate_job(job))
    {
        return "an accepted job fails the check of jobs: " +
               to_string(*problem);
    }
    if (tasks > max_job_tasks)
    {
        return "too many tasks: " + std::to_string(tasks);
    }
    if (job.longest_chain() < core::common::duration{})
    {
        return "the longest chain has a negative length";
    }
    pool::queue rules;
    rules.deadline_stretch = 1e6;
    rules.deadline_slack = max_duration;
    return check_times(pool::make_job_run(job, 1, rules));
}

std::string check_submission(std::string const& input)
{
    failure reason;
    auto parsed = platform::decode_job(input, reason);
    if (!parsed)
    {
        return check_refusal(reason);
    }
    // The owner must read the same job that was accepted.
    parsed->id = "5c0e7a21d94b36f8";
    parsed->queue = "q";
    parsed->accepted_unix_ms = 1'791'417'529'292;
    auto const written = to_json(*parsed);
    auto const reparsed = pool::parse_job(written, reason);
    if (!reparsed)
    {
        return "accepted, but the owner can't parse it: " + to_string(reason);
    }
    return fault_unless(to_json(*reparsed) == written,
                        "the owner reads a different job") +
           check_job_values(*parsed);
}

std::string check_stored_job(std::string const& input)
{
    failure reason;
    auto const parsed = pool::parse_job(input, reason);
    if (!parsed)
    {
        return check_refusal(reason);
    }
    auto const written = to_json(*parsed);
    auto const reparsed = pool::parse_job(written, reason);
    return fault_unless(reparsed && to_json(*reparsed) == written,
                        "the value differs after a round trip") +
           check_job_values(*parsed);
}

std::string check_order_reply(std::string const& input)
{
    failure reason;
    auto const parsed =
        platform::decode_order_reply(ports::poll_order{}, 200, input, reason);
    if (parsed.status != ports::order_status::done)
    {
        return check_refusal(reason) +
               fault_unless(parsed.running.empty() && parsed.ended.empty(),
                            "a failed reply has rows");
    }
    std::string fault;
    for (auto const& row : parsed.running)
    {
        fault += fault_unless(in_bounds(row.attempt_id),
                              "the id of a running attempt is out of bounds") +
                 fault_unless(row.progress_percent <= 100,
                              "the progress is over 100 percent") +
                 fault_unless(in_range(row.measurement, 0, max_size),
                              "the level of a measurement is out of bounds");
    }
    for (auto const& row : parsed.ended)
    {
        fault +=
            fault_unless(in_bounds(row.attempt_id),
                         "the id of an ended attempt is out of bounds") +
            fault_unless(
                row.sequence >= 1 && row.sequence <= max_integer,
                "the sequence number of an ended attempt is out of bounds");
    }
    return fault +
           fault_unless(parsed.clock_ms <= max_integer,
                        "the clock is out of bounds") +
           fault_unless(parsed.incarnation <= max_integer,
                        "the incarnation is out of bounds") +
           fault_unless(parsed.running.size() + parsed.ended.size() <=
                            input.size(),
                        "there are more rows than bytes");
}

std::string check_store_reply(ports::kv_operation const& operation,
                              std::string const& prefix,
                              std::uint16_t status,
                              std::string const& input)
{
    failure reason;
    auto const parsed =
        platform::decode_kv_reply(operation, {status, {}, input}, reason);
    if (parsed.status == ports::kv_status::unclear)
    {
        return check_refusal(reason) + fault_unless(parsed.items.empty(),
                                                    "a reply with an unknown "
                                                    "outcome has items");
    }
    std::string fault =
        fault_unless(parsed.revision <= max_revision,
                     "the revision is out of bounds") +
        fault_unless(parsed.lease <= max_revision,
                     "the lease is out of bounds") +
        fault_unless(!parsed.more || !parsed.items.empty(),
                     "more items are announced after an empty page");
    bool const done = parsed.status == ports::kv_status::done;
    for (auto const& item : parsed.items)
    {
        fault +=
            fault_unless(!item.key.empty(), "the key of an item is missing") +
            fault_unless(item.key.starts_with(prefix),
                         "an item is outside the requested prefix") +
            fault_unless(item.revision <= max_revision &&
                             (item.revision > 0 || !done),
                         "the revision of an item is out of bounds");
    }
    bool const commits = std::holds_alternative<ports::kv_commit>(operation);
    bool const grants =
        std::holds_alternative<ports::kv_lease_grant>(operation);
    return fault +
           fault_unless(!done || grants || parsed.revision > 0,
                        "the revision is missing") +
           fault_unless(!done || !grants || parsed.lease > 0,
                        "the lease is missing") +
           fault_unless(!done || commits || parsed.items.size() <= input.size(),
                        "there are more items than bytes");
}

std::string check_policy_reply(std::string const& input)
{
    failure reason;
    auto const parsed = platform::decode_policy_reply({200, {}, input}, reason);
    if (!parsed.answered)
    {
        return check_refusal(reason);
    }
    std::string fault = fault_unless(in_bounds(parsed.valid),
                                     "the validity time is out of bounds");
    for (auto const& ticket : parsed.allowed)
    {
        fault += fault_unless(!ticket.worker.empty(),
                              "the worker of a ticket is missing");
    }
    return fault;
}

std::string check_progress(std::string const& input)
{
    failure reason;
    auto const parsed = pool::parse_progress(input, reason);
    if (!parsed)
    {
        return check_refusal(reason);
    }
    std::string fault;
    for (auto const& task : parsed->tasks)
    {
        for (auto const attempt : task.failures)
        {
            fault +=
                fault_unless(attempt <= max_attempt,
                             "the number of a failed attempt is out of bounds");
        }
    }
    auto const written = to_json(*parsed);
    auto const reparsed = pool::parse_progress(written, reason);
    return fault + fault_unless(reparsed && to_json(*reparsed) == written,
                                "the value differs after a round trip");
}

std::string check_roster(std::string const& input)
{
    failure reason;
    std::string fault;
    for (auto const& worker : pool::parse_roster(input, reason))
    {
        fault += fault_unless(!worker.id.empty() &&
                                  !worker.remote_endpoint.address.empty() &&
                                  worker.remote_endpoint.port > 0,
                              "a worker has no id or endpoint");
    }
    return fault + (reason.code == result_code::ok ? std::string()
                                                   : check_refusal(reason));
}

std::string check_backlog(std::string const& input)
{
    failure reason;
    auto const parsed = pool::parse_backlog(input, reason);
    if (!parsed)
    {
        return check_refusal(reason);
    }
    auto const written = to_json(*parsed);
    auto const reparsed = pool::parse_backlog(written, reason);
    return fault_unless(reparsed && to_json(*reparsed) == written,
                        "the value differs after a round trip");
}

std::string check_interference_estimates(std::string const& input)
{
    failure reason;
    auto const parsed = pool::parse_interference_estimates(input, reason);
    if (!parsed)
    {
        return check_refusal(reason);
    }
    std::string fault;
    for (auto const& estimate : parsed->headrooms)
    {
        fault +=
            fault_unless(estimate.mean >= 0 && estimate.readings >= 0 &&
                             estimate.mean <= 1e7 && estimate.readings <= 1e7,
                         "a headroom is out of bounds");
    }
    auto const written = to_json(*parsed);
    auto const reparsed = pool::parse_interference_estimates(written, reason);
    return fault + fault_unless(reparsed && to_json(*reparsed) == written,
                                "the value differs after a round trip");
}

std::string check_claim_holder(std::string const& input)
{
    failure reason;
    auto const parsed = pool::parse_claim_holder(input, reason);
    if (!parsed)
    {
        return check_refusal(reason);
    }
    return fault_unless(!parsed->instance.empty(),
                        "no instance holds the claim") +
           fault_unless(parsed->size > 0 && parsed->size <= 1e6,
                        "the size is out of bounds");
}

std::string check_task_name(std::string const& input)
{
    auto const parsed = platform::decode_task_name(input);
    return fault_unless(!parsed || platform::encode(*parsed) == input,
                        "a task name has two spellings");
}

std::string check_request(std::string const& input)
{
    adapters::http::request request;
    request.method = "POST";
    request.target = "/q/5c0e7a21d94b36f8";
    request.body = input;
    adapters::http::response answer;
    auto const parsed = platform::decode_submission(request, answer);
    return fault_unless(parsed.has_value() ||
                            (answer.status >= 400 && answer.status < 500 &&
                             !answer.body.empty()),
                        "refused without a reason for the client");
}

std::vector<std::string> worker_samples()
{
    return {
        R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":)"
        R"("v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":)"
        R"({"cpu":16000,"memMb":32768,"gpu":0},"labels":["k","r1-3"],)"
        R"("clockMs":482113,"seq":4,"born":1791417529292})",
        R"({"service":"s","address":"[::1]:80","zone":"b","version":"v2",)"
        R"("slots":1,"state":"draining","remainingMs":900,"coldRemainingMs":)"
        R"(10,"capacity":{"cpu":1,"memMb":1},"labels":[],"seq":1})"};
}

std::vector<std::string> job_samples()
{
    return {
        R"({"taskSpec":"x","steps":[{"count":4,"cpu":500,"memMb":256,)"
        R"("estimateMs":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
        R"("memMb":1024,"estimateMs":7000,"after":[0],"checkpointing":true},)"
        R"({"count":2,"gang":true,"sameRack":true,"after":[0,1]}]})",
        R"({"taskSpec":"y","repeatCount":30,"firstMs":1791417529292,)"
        R"("intervalMs":500,"steps":[{"count":2,"cpu":100,"estimateMs":90,)"
        R"("maxPerServer":1,"speculative":true,"requiredLabel":"k"}]})",
        R"({"steps":[{"count":3,"longRunning":true,"image":"i","targetMs":150,)"
        R"("mayMiss":1},{"count":9,"fills":true,"image":"j","gpu":1}]})"};
}

std::vector<std::string> stored_job_samples()
{
    std::vector<std::string> result;
    for (auto const& sample : job_samples())
    {
        failure reason;
        auto job = platform::decode_job(sample, reason);
        job->id = "5c0e7a21d94b36f8";
        job->queue = "q";
        result.push_back(to_json(*job));
    }
    return result;
}

std::vector<std::string> poll_reply_samples()
{
    return {R"({"clockMs":482113,"born":1791417529292,"running":)"
            R"([["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,77],)"
            R"(["5c0e7a21d94b36f8.0.1.18",1,"",0]],"ended":)"
            R"([[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
            R"([59,"5c0e7a21d94b36f8.3.0.0",7,"failed","c"]]})",
            R"({"clockMs":1,"running":[],"ended":[]})"};
}

std::vector<std::string> range_samples()
{
    return {
        R"({"items":[{"key":"pool/job/a","value":"e30=","revision":7,)"
        R"("created":5,"leaseId":0},{"key":"pool/claim","value":"","revision")"
        R"(:9,"created":9,"leaseId":3}],"hasMore":true,"atRevision":12})",
        R"({"items":[],"hasMore":false,"atRevision":1})"};
}

std::vector<std::string> watch_samples()
{
    return {R"({"events":[{"key":"pool/job/a","value":"e30=","revision":7,)"
            R"("created":5,"leaseId":0},{"key":"pool/claim","revision":9,)"
            R"("deleted":true}],"atRevision":12})",
            R"({"events":[],"atRevision":12})"};
}

} // namespace

TEST(pool_parsers, worker_entries)
{
    expect_robust_parser(worker_samples(), check_worker);
}

TEST(pool_parsers, configurations)
{
    expect_robust_parser(
        {R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":)"
         R"("/p/","targetDurationMs":250,"priority":2,"service":"s",)"
         R"("attempts":3,"stretch":1.5,"advice":{"decisionMs":300,)"
         R"("perWorkerMs":2.5,"validMs":3000}}],"services":[{"name":"s",)"
         R"("enforcesCapacity":true,"standby":false}],"limits":{}})"},
        check_operator);
}

TEST(pool_parsers, submissions)
{
    expect_robust_parser(job_samples(), check_submission);
    expect_robust_parser(job_samples(), check_request);
}

TEST(pool_parsers, stored_jobs)
{
    expect_robust_parser(stored_job_samples(), check_stored_job);
}

TEST(pool_parsers, poll_replies)
{
    expect_robust_parser(poll_reply_samples(), check_order_reply);
}

TEST(pool_parsers, kv_range_replies)
{
    expect_robust_parser(
        range_samples(),
        [](std::string const& input)
        {
            return check_store_reply(
                ports::kv_range{"pool/", ""}, "pool/", 200, input);
        });
}

TEST(pool_parsers, kv_watch_replies)
{
    expect_robust_parser(
        watch_samples(),
        [](std::string const& input)
        {
            return check_store_reply(
                ports::kv_watch{"pool/", 1, {}}, "pool/", 200, input);
        });
}

TEST(pool_parsers, kv_read_replies)
{
    expect_robust_parser(
        {R"({"key":"roster","value":"e30=","revision":7,"created":5,)"
         R"("leaseId":0,"atRevision":12})"},
        [](std::string const& input)
        {
            return check_store_reply(
                ports::kv_read{"roster"}, "roster", 200, input);
        });
}

TEST(pool_parsers, kv_commit_replies)
{
    expect_robust_parser({R"({"revision":12})"},
                         [](std::string const& input)
                         {
                             return check_store_reply(
                                 ports::kv_commit{}, "", 200, input);
                         });
    expect_robust_parser(range_samples(),
                         [](std::string const& input)
                         {
                             return check_store_reply(
                                 ports::kv_commit{}, "", 412, input);
                         });
}

TEST(pool_parsers, kv_lease_replies)
{
    expect_robust_parser({R"({"leaseId":12,"ttlMs":1000})"},
                         [](std::string const& input)
                         {
                             return check_store_reply(
                                 ports::kv_lease_grant{}, "", 200, input);
                         });
}

TEST(pool_parsers, policy_replies)
{
    expect_robust_parser(
        {R"({"allowed":[["i-1","t1"],["i-2","t2"]],"validMs":3000})"},
        check_policy_reply);
}

TEST(pool_parsers, progress)
{
    expect_robust_parser(
        {R"({"job":"a","tasks":[[0,1,2,1,[],""],[0,1,3,0,[1,2],"c"]]})"},
        check_progress);
}

TEST(pool_parsers, rosters)
{
    expect_robust_parser(
        {R"({"workers":[["w1","s","10.0.0.9",80],["w2","s","10.0.0.8",81]]})"},
        check_roster);
}

TEST(pool_parsers, backlogs)
{
    expect_robust_parser({R"({"heard":12,"waiting":{"q":3,"r":0}})"},
                         check_backlog);
}

TEST(pool_parsers, interference_estimate_records)
{
    expect_robust_parser(
        {R"({"images":["a","b"],"headrooms":[[0,93,10000]],"pairs":)"
         R"([[0,1,50,20],[1,1,7,3]]})"},
        check_interference_estimates);
}

TEST(pool_parsers, claim_holders)
{
    expect_robust_parser({R"({"instance":"n 5","size":1.5})"},
                         check_claim_holder);
}

TEST(pool_parsers, task_names)
{
    expect_robust_parser({"5c0e7a21d94b36f8.0.1.17", "a.4294967295.10.0"},
                         check_task_name);
}

} // namespace fuchsia::tests::contract::inputs
