#include "contract/inputs/parser_robustness.hpp"

#include "adapters/http/message.hpp"
#include "adapters/peer/codec.hpp"
#include "adapters/platform/base64.hpp"
#include "adapters/platform/catalog_client.hpp"
#include "adapters/platform/worker_client.hpp"
#include "adapters/settings/pool_settings.hpp"
#include "core/claims/claim_record.hpp"
#include "core/config/configuration.hpp"
#include "core/config/index.hpp"
#include "core/contracts/contract.hpp"
#include "core/membership/record.hpp"
#include "core/tasks/cell_state.hpp"
#include "core/tasks/change.hpp"
#include "core/tasks/job.hpp"
#include "core/tasks/job_registration.hpp"
#include "core/tasks/quota_document.hpp"

#include <gtest/gtest.h>
#include <span>

// Tests that the parsers of planner and entry records, of settings and of the
// adapters' formats accept any input only within its bounds, or refuse it with
// a reason.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;
using core::common::result_code;

// Returns a fault if a refusal doesn't say what is wrong and where.
std::string check_refusal(failure const& reason)
{
    bool const complete =
        reason.code != result_code::ok && !reason.where.empty();
    return complete ? "" : "refused without a reason: " + to_string(reason);
}

// Returns a check that a parsed value is the same after it was serialised and
// parsed again.
template<class Parse>
input_check round_trip(Parse parse)
{
    return [parse](std::string const& input) -> std::string
    {
        failure reason;
        auto const parsed = parse(input, reason);
        if (!parsed)
        {
            return check_refusal(reason);
        }
        auto const written = to_json(*parsed);
        auto const reparsed = parse(written, reason);
        bool const unchanged = reparsed && to_json(*reparsed) == written;
        return unchanged ? ""
                         : "the value differs after a round trip: " + written;
    };
}

std::string contract_sample()
{
    return R"({"customer":"c","millicores":5000,"memory_mb":100,)"
           R"("accelerators":1,"requests_in_flight":9,"requests_per_second":)"
           R"(90,"batch_permille":500,"latency_target_ms":100,)"
           R"("batch_latency_target_ms":900,"idempotent_routes":["/a"]})";
}

std::string task_job_sample()
{
    return R"({"id":"j","customer":"c","kind":"batch","class":"k",)"
           R"("millicores":500,"memory_mb":64,"accelerators":0,"tasks":4,)"
           R"("work_ms":900,"checkpointable":true,"urgent":false,)"
           R"("data_centre":"a"})";
}

core::tasks::job task_job()
{
    failure reason;
    return core::tasks::parse_job(task_job_sample(), reason).value();
}

core::tasks::log_record log_record_sample()
{
    core::tasks::inbox_message message;
    message.name = "p";
    message.definition = task_job();
    message.tasks = {{0, 1, "c", {"w1"}}, {1, 0, "", {}}};
    core::tasks::log_record result;
    result.number = 3;
    result.epoch = 2;
    result.writer = "w";
    result.changes = {core::tasks::message_accepted{message},
                      core::tasks::transfer_started{"p2", "b", "j", {1}, 2},
                      core::tasks::transfer_completed{"p2"},
                      core::tasks::job_removed{"j"}};
    return result;
}

core::tasks::cell_state cell_sample()
{
    core::tasks::cell_state result;
    result.last_record = 2;
    for (auto const& change : log_record_sample().changes)
    {
        core::tasks::apply_change(result, change);
    }
    return result;
}

std::string configuration_sample()
{
    core::config::configuration result;
    result.revision = 9;
    failure reason;
    result.contracts["c"] =
        core::contracts::parse_contract(contract_sample(), reason).value();
    result.withdrawn = {"d"};
    result.contract_revisions = {{"c", 3}, {"d", 9}};
    result.data_centre_revisions = {{"a", 0}, {"b", 4}};
    result.data_centres_out_of_service = {"b"};
    return to_json(result);
}

std::string index_sample()
{
    core::config::index_document result;
    result.revision = 9;
    result.contracts["c"] = {3, false, "3-x"};
    result.contracts["d"] = {9, true, ""};
    result.data_centres["b"] = {4, true};
    result.recent_writes = {{8, "x"}, {9, "y"}};
    return to_json(result);
}

std::string member_sample()
{
    core::membership::record result;
    result.info.id = {"m", 0x9f};
    result.info.data_centre = "a";
    result.info.peer_address = {"10.0.0.1", 80};
    result.info.http_address = {"10.0.0.1", 81};
    result.witnesses = {{"n", 5}};
    result.successor = 3;
    return to_json(result);
}

std::string quota_sample()
{
    core::tasks::quota_document result;
    result.writer = "w";
    result.cells["a"] = {3, {{5000, 100, 1}, {500, 10, 0}}};
    return to_json(result);
}

std::string settings_sample()
{
    return "name = \"n\"\ndata_centre = \"a\"\nsubmissions = "
           "\"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\nmetrics = "
           "\"127.0.0.1:3\"\nstore = \"127.0.0.1:4\"\nadvice = \"\"\n"
           "[machine]\ncores = 0.1\nlink_mbps = 1000\n[bounds]\n"
           "shortest_lease_ms = 1000\nlongest_hold_ms = 6000\n"
           "stop_limit_s = 6\nstates_kept_s = 120\ncancel_ms = 3000\n";
}

std::string check_settings(std::string const& input)
{
    failure reason;
    auto const parsed =
        adapters::settings::parse_pool_settings(input, "file", reason);
    if (!parsed)
    {
        return check_refusal(reason);
    }
    auto const& pool = parsed->pool;
    bool const in_bounds = pool.claim.ttl.count() > 0 && pool.claim.size > 0 &&
                           pool.owner.workers.lease.count() > 0 &&
                           pool.stop_limit.count() > 0 &&
                           pool.owner.final_state_retention.count() > 0 &&
                           pool.owner.jobs_age_limit.count() > 0;
    return in_bounds ? "" : "a time or size is not above 0";
}

std::string check_base64(std::string const& input)
{
    using adapters::platform::from_base64;
    using adapters::platform::to_base64;
    if (from_base64(to_base64(input)) != input)
    {
        return "the value differs after a round trip";
    }
    auto const bytes = from_base64(input);
    return !bytes || bytes->size() <= input.size()
               ? ""
               : "the decoded text is longer than the input";
}

std::string check_upstreams(std::string const& input)
{
    failure ignored;
    adapters::platform::parse_names(input, ignored);
    auto const parsed = adapters::platform::parse_upstreams(input, ignored);
    for (std::size_t index = 0; parsed && index < parsed->size(); ++index)
    {
        auto const& upstream = (*parsed)[index];
        if (upstream.id.empty() || upstream.remote_endpoint.port == 0 ||
            upstream.report_age.count() < 0)
        {
            return "an upstream has no id, port or valid report age";
        }
    }
    return "";
}

std::string check_workers(std::string const& input)
{
    failure ignored;
    adapters::platform::parse_reports(input, ignored);
    auto const parsed = adapters::platform::parse_workers(input, ignored);
    for (std::size_t index = 0; parsed && index < parsed->size(); ++index)
    {
        if ((*parsed)[index].capacity.millicores < 0)
        {
            return "the number of cores is negative";
        }
    }
    return "";
}

std::string check_frame(std::string const& input)
{
    std::vector<std::uint8_t> const bytes(input.begin(), input.end());
    failure reason;
    auto const parsed = adapters::peer::decode(bytes, reason);
    if (!parsed)
    {
        return check_refusal(reason);
    }
    auto const written = adapters::peer::encode(*parsed);
    auto const reparsed = adapters::peer::decode(
        std::span(written).subspan(adapters::peer::length_size), reason);
    bool const unchanged =
        reparsed && adapters::peer::encode(*reparsed) == written;
    return unchanged ? "" : "the value differs after a round trip";
}

std::vector<std::string> frame_samples()
{
    std::vector<std::string> result;
    for (auto const& message : std::vector<ports::peer_message>{
             ports::promise_request{1, 2, 3},
             ports::consent_request{{"m", 7}, 6},
             ports::config_offer{8, "{}"},
             ports::load_report{10, 11},
             ports::forwarded_request{
                 12,
                 true,
                 {"c", {}, "POST", "/", {{"A", "b"}}, "x", "k", 1, {}},
                 29},
             ports::slice_grant{18, "c", 19, 20, 21, 22}})
    {
        auto const bytes =
            adapters::peer::encode({{"a", 1}, {"b", 2}, "", message});
        result.emplace_back(bytes.begin() + adapters::peer::length_size,
                            bytes.end());
    }
    return result;
}

std::string check_endpoint(std::string const& input)
{
    auto const parsed = adapters::http::parse_endpoint(input);
    auto const reparsed =
        parsed
            ? adapters::http::parse_endpoint(adapters::http::to_string(*parsed))
            : parsed;
    bool const unchanged =
        !parsed || (reparsed && reparsed->address == parsed->address &&
                    reparsed->port == parsed->port);
    return unchanged ? "" : "the value differs after a round trip";
}

} // namespace

TEST(record_parsers, contracts)
{
    expect_robust_parser({contract_sample()},
                         round_trip(core::contracts::parse_contract));
}

TEST(record_parsers, configurations_and_their_index)
{
    expect_robust_parser({configuration_sample()},
                         round_trip(core::config::parse_configuration));
    expect_robust_parser({index_sample()},
                         round_trip(core::config::parse_index));
}

TEST(record_parsers, planner_jobs)
{
    expect_robust_parser({task_job_sample()},
                         round_trip(core::tasks::parse_job));
    expect_robust_parser(
        {to_json(core::tasks::job_registration{"w", "a", task_job()})},
        round_trip(core::tasks::parse_registration));
}

TEST(record_parsers, cells_and_their_logs)
{
    expect_robust_parser({to_json(log_record_sample())},
                         round_trip(core::tasks::parse_log_record));
    expect_robust_parser({to_json(cell_sample())},
                         round_trip(core::tasks::parse_cell_state));
}

TEST(record_parsers, quotas)
{
    expect_robust_parser({quota_sample()},
                         round_trip(core::tasks::parse_quota));
}

TEST(record_parsers, claim_and_membership_records)
{
    core::claims::claim_record claim;
    claim.owner = {"m", 7};
    claim.handed_to = {"n", 8};
    claim.epoch = 3;
    expect_robust_parser({to_json(claim)},
                         round_trip(core::claims::parse_claim_record));
    expect_robust_parser({member_sample()},
                         round_trip(
                             [](std::string const& text, failure& reason)
                             {
                                 return core::membership::parse_record(
                                     "r", "m", text, reason);
                             }));
}

TEST(record_parsers, pool_settings_files)
{
    expect_robust_parser({settings_sample()}, check_settings);
}

TEST(record_parsers, base64)
{
    expect_robust_parser({"e30=", "", "QUJD", "QQ=="}, check_base64);
}

// Decoding a text with an incomplete last group must not write beyond the end
// of the buffer, which a run with the address sanitizer would show.
TEST(record_parsers, base64_of_incomplete_length)
{
    for (std::size_t length = 0; length < 100; ++length)
    {
        auto const bytes =
            adapters::platform::from_base64(std::string(length, 'x'));
        EXPECT_EQ(bytes.has_value(), length % 4 == 0) << length;
        EXPECT_EQ(bytes.value_or("").size(),
                  length % 4 == 0 ? length / 4 * 3 : 0)
            << length;
    }
}

TEST(record_parsers, catalog_lists)
{
    expect_robust_parser(
        {R"([{"ServiceID":"u","Datacenter":"a","ServiceAddress":"10.0.0.1",)"
         R"("ServicePort":80,"ServiceMeta":{"state":"live","slots":"8",)"
         R"("connections":"3","report_age_ms":"10"}}])"},
        check_upstreams);
}

TEST(record_parsers, worker_lists_and_reports)
{
    expect_robust_parser(
        {R"([{"id":"w","rack":"r","data_centre":"a","millicores":8000,)"
         R"("memory_mb":1000,"accelerators":0,"state":"live"}])",
         R"([{"worker":"w","sequence":3,"clock_ms":9,"attempts":[{"task":"t",)"
         R"("attempt":1,"state":"running","millicores":1,"memory_mb":1}]}])"},
        check_workers);
}

TEST(record_parsers, peer_frames)
{
    expect_robust_parser(frame_samples(), check_frame);
}

TEST(record_parsers, endpoints)
{
    expect_robust_parser({"127.0.0.1:8080", "[::1]:80"}, check_endpoint);
}

} // namespace fuchsia::tests::contract::inputs
