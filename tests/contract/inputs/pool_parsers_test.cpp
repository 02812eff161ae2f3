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

// What comes from outside is taken within its bounds or refused with a reason,
// whatever it holds.
namespace fuchsia::tests::contract::inputs
{

namespace
{

namespace pool = core::pool;
using core::common::failure;
using core::common::result_code;

// Bounds that the formats give, wide enough for every sum that is made of them.
constexpr std::int64_t largest_integer = std::int64_t{1} << 52;
constexpr std::int64_t largest_size = 1'000'000'000;
constexpr std::uint64_t largest_job = 20'000; // Tasks.
constexpr std::uint32_t largest_attempt = 1'000'000'000;
constexpr std::uint64_t largest_revision = std::uint64_t{1} << 62;
constexpr core::common::duration longest = std::chrono::hours(24 * 366);

// A refusal that doesn't say what was wrong and where.
std::string told(failure const& reason)
{
    bool const good = reason.code != result_code::ok && !reason.where.empty();
    return good ? "" : "refused without a reason: " + to_string(reason);
}

std::string if_not(bool holds, char const* what)
{
    return holds ? "" : what;
}

bool within(std::int64_t value, std::int64_t least, std::int64_t most)
{
    return least <= value && value <= most;
}

bool sound(ports::resources const& value)
{
    return within(value.millicores, 0, largest_size) &&
           within(value.memory_mb, 0, largest_size) &&
           within(value.accelerators, 0, largest_size);
}

bool sound(core::common::duration value)
{
    return value.count() >= 0 && value <= longest;
}

bool sound(ports::pool_attempt const& value)
{
    return value.attempt >= 1 && value.attempt <= largest_attempt &&
           platform::decode_task_name(platform::encode(value.task)) ==
               value.task;
}

ports::kv_item item(std::string key, std::string value)
{
    ports::kv_item made;
    made.key = std::move(key);
    made.value = std::move(value);
    made.revision = 1;
    return made;
}

std::string check_worker(std::string const& input)
{
    failure reason;
    auto const made = platform::make_platform_records().read_worker(
        item("servers/i-1", input), reason);
    if (!made)
    {
        return told(reason);
    }
    bool const named = !made->service.empty() && !made->data_centre.empty();
    return if_not(named, "no service or zone") +
           if_not(made->remote_endpoint.port > 0, "no port") +
           if_not(sound(made->capacity), "capacity out of bounds") +
           if_not(made->incarnation <= largest_integer, "born out of bounds");
}

std::string check_operator(std::string const& input)
{
    failure reason;
    auto const made = platform::make_platform_records().read_operator(
        item("op/config", input), reason);
    if (!made)
    {
        return told(reason);
    }
    auto const& config = std::get<pool::configuration>(*made);
    std::string fault = if_not(config.version > 0, "no version");
    for (auto const& each : config.queues)
    {
        fault += if_not(each.attempts > 0, "no attempts");
        fault += if_not(sound(each.deadline_slack), "target out of bounds");
        fault +=
            if_not(within(std::lround(each.deadline_stretch), 0, 1'000'000),
                   "stretch out of bounds");
        fault += if_not(!each.policy || (sound(each.policy->decision) &&
                                         sound(each.policy->per_worker)),
                        "times of advice out of bounds");
    }
    return fault;
}

std::string check_times(pool::job_run const& run)
{
    std::string fault =
        if_not(run.due_unix_ms >= 0, "due before 1970") +
        if_not(run.late_unix_ms >= run.due_unix_ms, "late before it is due");
    std::int64_t before = 0;
    for (auto const& each : run.occurrences)
    {
        fault += if_not(each.due_unix_ms >= before, "occurrences out of order");
        before = each.due_unix_ms;
    }
    return fault;
}

std::string check_job_values(pool::job const& made)
{
    std::uint64_t tasks = 0;
    for (auto const& each : made.steps)
    {
        tasks += std::uint64_t{each.count} * made.occurrences;
        if (!sound(each.declared) || !sound(each.estimate) ||
            !sound(each.tail_target))
        {
            return "a step's size or time is out of bounds";
        }
    }
    if (auto const problem = pool::validate_job(made))
    {
        return "taken against its own check: " + to_string(*problem);
    }
    if (tasks > largest_job)
    {
        return "too many tasks: " + std::to_string(tasks);
    }
    if (made.longest_chain() < core::common::duration{})
    {
        return "a chain of negative length";
    }
    pool::queue rules;
    rules.deadline_stretch = 1e6;
    rules.deadline_slack = longest;
    return check_times(pool::make_job_run(made, 1, rules));
}

std::string check_submission(std::string const& input)
{
    failure reason;
    auto made = platform::decode_job(input, reason);
    if (!made)
    {
        return told(reason);
    }
    // What is accepted is what its owner reads.
    made->id = "5c0e7a21d94b36f8";
    made->queue = "q";
    made->accepted_unix_ms = 1'791'417'529'292;
    auto const stored = to_json(*made);
    auto const back = pool::parse_job(stored, reason);
    if (!back)
    {
        return "accepted, but its owner can't read it: " + to_string(reason);
    }
    return if_not(to_json(*back) == stored, "the owner reads another job") +
           check_job_values(*made);
}

std::string check_stored_job(std::string const& input)
{
    failure reason;
    auto const made = pool::parse_job(input, reason);
    if (!made)
    {
        return told(reason);
    }
    auto const stored = to_json(*made);
    auto const back = pool::parse_job(stored, reason);
    return if_not(back && to_json(*back) == stored,
                  "written and read again it differs") +
           check_job_values(*made);
}

std::string check_order_reply(std::string const& input)
{
    failure reason;
    auto const made =
        platform::decode_order_reply(ports::poll_order{}, 200, input, reason);
    if (made.status != ports::order_status::done)
    {
        return told(reason) + if_not(made.running.empty() && made.ended.empty(),
                                     "rows of an answer that is not used");
    }
    std::string fault;
    for (auto const& row : made.running)
    {
        fault += if_not(sound(row.attempt_id), "a run out of bounds") +
                 if_not(row.progress_percent <= 100, "over 100 percent") +
                 if_not(within(row.measurement, 0, largest_size),
                        "a level out of bounds");
    }
    for (auto const& row : made.ended)
    {
        fault += if_not(sound(row.attempt_id), "an end out of bounds") +
                 if_not(row.sequence >= 1 && row.sequence <= largest_integer,
                        "the number of an end is out of bounds");
    }
    return fault +
           if_not(made.clock_ms <= largest_integer, "clock out of bounds") +
           if_not(made.incarnation <= largest_integer, "born out of bounds") +
           if_not(made.running.size() + made.ended.size() <= input.size(),
                  "more rows than bytes");
}

std::string check_store_reply(ports::kv_operation const& asked,
                              std::string const& prefix,
                              std::uint16_t status,
                              std::string const& input)
{
    failure reason;
    auto const made =
        platform::decode_kv_reply(asked, {status, {}, input}, reason);
    if (made.status == ports::kv_status::unclear)
    {
        return told(reason) + if_not(made.items.empty(),
                                     "items of an answer "
                                     "that is not used");
    }
    std::string fault =
        if_not(made.revision <= largest_revision, "revision out of bounds") +
        if_not(made.lease <= largest_revision, "lease out of bounds") +
        if_not(!made.more || !made.items.empty(), "more to come after nothing");
    bool const done = made.status == ports::kv_status::done;
    for (auto const& each : made.items)
    {
        fault += if_not(!each.key.empty(), "an item without a key") +
                 if_not(each.key.starts_with(prefix),
                        "an item that was not asked for") +
                 if_not(each.revision <= largest_revision &&
                            (each.revision > 0 || !done),
                        "an item's revision is out of bounds");
    }
    bool const commits = std::holds_alternative<ports::kv_commit>(asked);
    bool const grants = std::holds_alternative<ports::kv_lease_grant>(asked);
    return fault + if_not(!done || grants || made.revision > 0, "no revision") +
           if_not(!done || !grants || made.lease > 0, "no lease") +
           if_not(!done || commits || made.items.size() <= input.size(),
                  "more items than bytes");
}

std::string check_advice(std::string const& input)
{
    failure reason;
    auto const made = platform::decode_policy_reply({200, {}, input}, reason);
    if (!made.answered)
    {
        return told(reason);
    }
    std::string fault = if_not(sound(made.valid), "validity out of bounds");
    for (auto const& each : made.allowed)
    {
        fault += if_not(!each.worker.empty(), "a ticket for no worker");
    }
    return fault;
}

std::string check_progress(std::string const& input)
{
    failure reason;
    auto const made = pool::parse_progress(input, reason);
    if (!made)
    {
        return told(reason);
    }
    std::string fault;
    for (auto const& each : made->tasks)
    {
        for (auto const attempt : each.failures)
        {
            fault += if_not(attempt <= largest_attempt,
                            "a failed attempt out of bounds");
        }
    }
    auto const stored = to_json(*made);
    auto const back = pool::parse_progress(stored, reason);
    return fault + if_not(back && to_json(*back) == stored,
                          "written and read again it differs");
}

std::string check_roster(std::string const& input)
{
    failure reason;
    std::string fault;
    for (auto const& each : pool::parse_roster(input, reason))
    {
        fault +=
            if_not(!each.id.empty() && !each.remote_endpoint.address.empty() &&
                       each.remote_endpoint.port > 0,
                   "a worker that can't be asked");
    }
    return fault +
           (reason.code == result_code::ok ? std::string() : told(reason));
}

std::string check_backlog(std::string const& input)
{
    failure reason;
    auto const made = pool::parse_backlog(input, reason);
    if (!made)
    {
        return told(reason);
    }
    auto const stored = to_json(*made);
    auto const back = pool::parse_backlog(stored, reason);
    return if_not(back && to_json(*back) == stored,
                  "written and read again it differs");
}

std::string check_learned(std::string const& input)
{
    failure reason;
    auto const made = pool::parse_interference_estimates(input, reason);
    if (!made)
    {
        return told(reason);
    }
    std::string fault;
    for (auto const& each : made->headrooms)
    {
        fault += if_not(each.mean >= 0 && each.readings >= 0 &&
                            each.mean <= 1e7 && each.readings <= 1e7,
                        "a headroom out of bounds");
    }
    auto const stored = to_json(*made);
    auto const back = pool::parse_interference_estimates(stored, reason);
    return fault + if_not(back && to_json(*back) == stored,
                          "written and read again it differs");
}

std::string check_holder(std::string const& input)
{
    failure reason;
    auto const made = pool::parse_claim_holder(input, reason);
    if (!made)
    {
        return told(reason);
    }
    return if_not(!made->instance.empty(), "nobody holds it") +
           if_not(made->size > 0 && made->size <= 1e6, "size out of bounds");
}

std::string check_task_name(std::string const& input)
{
    auto const made = platform::decode_task_name(input);
    return if_not(!made || platform::encode(*made) == input,
                  "two spellings of one task");
}

std::string check_request(std::string const& input)
{
    adapters::http::request request;
    request.method = "POST";
    request.target = "/q/5c0e7a21d94b36f8";
    request.body = input;
    adapters::http::response answer;
    auto const made = platform::decode_submission(request, answer);
    return if_not(made.has_value() ||
                      (answer.status >= 400 && answer.status < 500 &&
                       !answer.body.empty()),
                  "refused without telling the client why");
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

std::vector<std::string> stored_jobs()
{
    std::vector<std::string> made;
    for (auto const& each : job_samples())
    {
        failure reason;
        auto job = platform::decode_job(each, reason);
        job->id = "5c0e7a21d94b36f8";
        job->queue = "q";
        made.push_back(to_json(*job));
    }
    return made;
}

std::vector<std::string> hold_samples()
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

TEST(pool_inputs, entries_of_workers)
{
    expect_robust_parser(worker_samples(), check_worker);
}

TEST(pool_inputs, configurations)
{
    expect_robust_parser(
        {R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":)"
         R"("/p/","targetDurationMs":250,"priority":2,"service":"s",)"
         R"("attempts":3,"stretch":1.5,"advice":{"decisionMs":300,)"
         R"("perWorkerMs":2.5,"validMs":3000}}],"services":[{"name":"s",)"
         R"("enforcesCapacity":true,"standby":false}],"limits":{}})"},
        check_operator);
}

TEST(pool_inputs, submissions)
{
    expect_robust_parser(job_samples(), check_submission);
    expect_robust_parser(job_samples(), check_request);
}

TEST(pool_inputs, stored_jobs)
{
    expect_robust_parser(stored_jobs(), check_stored_job);
}

TEST(pool_inputs, answers_to_holds)
{
    expect_robust_parser(hold_samples(), check_order_reply);
}

TEST(pool_inputs, pages_of_the_store)
{
    expect_robust_parser(
        range_samples(),
        [](std::string const& input)
        {
            return check_store_reply(
                ports::kv_range{"pool/", ""}, "pool/", 200, input);
        });
}

TEST(pool_inputs, watches_of_the_store)
{
    expect_robust_parser(
        watch_samples(),
        [](std::string const& input)
        {
            return check_store_reply(
                ports::kv_watch{"pool/", 1, {}}, "pool/", 200, input);
        });
}

TEST(pool_inputs, reads_of_the_store)
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

TEST(pool_inputs, commits_of_the_store)
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

TEST(pool_inputs, leases_of_the_store)
{
    expect_robust_parser({R"({"leaseId":12,"ttlMs":1000})"},
                         [](std::string const& input)
                         {
                             return check_store_reply(
                                 ports::kv_lease_grant{}, "", 200, input);
                         });
}

TEST(pool_inputs, advice)
{
    expect_robust_parser(
        {R"({"allowed":[["i-1","t1"],["i-2","t2"]],"validMs":3000})"},
        check_advice);
}

TEST(pool_inputs, progress)
{
    expect_robust_parser(
        {R"({"job":"a","tasks":[[0,1,2,1,[],""],[0,1,3,0,[1,2],"c"]]})"},
        check_progress);
}

TEST(pool_inputs, rosters)
{
    expect_robust_parser(
        {R"({"workers":[["w1","s","10.0.0.9",80],["w2","s","10.0.0.8",81]]})"},
        check_roster);
}

TEST(pool_inputs, backlogs)
{
    expect_robust_parser({R"({"heard":12,"waiting":{"q":3,"r":0}})"},
                         check_backlog);
}

TEST(pool_inputs, what_was_learned)
{
    expect_robust_parser(
        {R"({"images":["a","b"],"headrooms":[[0,93,10000]],"pairs":)"
         R"([[0,1,50,20],[1,1,7,3]]})"},
        check_learned);
}

TEST(pool_inputs, holders)
{
    expect_robust_parser({R"({"instance":"n 5","size":1.5})"}, check_holder);
}

TEST(pool_inputs, names_of_tasks)
{
    expect_robust_parser({"5c0e7a21d94b36f8.0.1.17", "a.4294967295.10.0"},
                         check_task_name);
}

} // namespace fuchsia::tests::contract::inputs
