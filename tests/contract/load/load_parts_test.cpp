#include "tools/load/experiment.hpp"
#include "tools/load/histogram.hpp"
#include "tools/load/plot.hpp"
#include "tools/load/report.hpp"
#include "tools/load/request_statistics.hpp"
#include "tools/load/schedule.hpp"

#include <algorithm>
#include <filesystem>
#include <gtest/gtest.h>
#include <limits>

namespace fuchsia::tools::load
{

namespace
{

using namespace std::chrono_literals;
using core::common::duration;

std::vector<duration> all_arrivals(arrival_stream stream)
{
    std::vector<duration> times;
    while (auto const due = stream.next())
    {
        times.push_back(*due);
    }
    return times;
}

std::size_t
count_within(std::vector<duration> const& times, duration from, duration until)
{
    return static_cast<std::size_t>(std::count_if(times.begin(),
                                                  times.end(),
                                                  [&](duration time)
                                                  {
                                                      return time >= from &&
                                                             time < until;
                                                  }));
}

experiment parse_experiment(std::string_view text,
                            core::common::failure& reason)
{
    auto const file =
        adapters::settings::toml_file::parse(text, "e.toml", reason);
    if (!file)
    {
        return {};
    }
    auto root = file->root();
    auto config = read_experiment(root, {});
    reason = file->reason();
    return config;
}

} // namespace

TEST(histogram, quantiles_are_exact_to_the_bucket_width)
{
    histogram times;
    for (int value = 1; value <= 100'000; ++value)
    {
        times.record(value);
    }
    for (double const share : {0.001, 0.5, 0.99, 0.999})
    {
        double const exact = share * 100'000;
        EXPECT_NEAR(
            static_cast<double>(times.quantile(share)), exact, exact / 60)
            << share;
    }
    EXPECT_EQ(times.quantile(1.0), 100'000);
    EXPECT_EQ(times.count(), 100'000U);
}

TEST(histogram, accepts_negative_and_maximum_values)
{
    histogram times;
    EXPECT_EQ(times.quantile(0.5), 0);
    times.record(-5);
    times.record(std::numeric_limits<std::int64_t>::max());
    EXPECT_EQ(times.count(), 2U);
    EXPECT_EQ(times.quantile(0.5), 0);
    histogram sum;
    sum.add(times);
    EXPECT_EQ(sum.largest(), times.largest());
}

TEST(arrivals, are_the_same_for_the_same_seed)
{
    arrival_stream::shape shape;
    shape.rate = 100;
    std::vector<phase> const phases{{"", 10s, 1.0, 1.0}};
    auto const first = all_arrivals(arrival_stream(shape, phases, 7));
    EXPECT_EQ(first, all_arrivals(arrival_stream(shape, phases, 7)));
    EXPECT_NE(first, all_arrivals(arrival_stream(shape, phases, 8)));
    EXPECT_NEAR(static_cast<double>(first.size()), 1'000, 150);
}

TEST(arrivals, follow_phases_windows_and_bursts)
{
    struct row
    {
        std::string_view situation;
        arrival_stream::shape shape;
        duration from;
        duration until;
        std::size_t min_count;
        std::size_t max_count;
    };
    arrival_stream::shape even;
    even.rate = 100;
    even.poisson = false;
    auto window = even;
    window.from = 2s;
    window.until = 3s;
    auto burst = even;
    burst.rate = 0;
    burst.burst_size = 50;
    burst.burst_every = 4s;
    std::vector<row> const rows{
        {"first phase", even, 0s, 5s, 498, 501},
        {"second phase at twice the rate", even, 5s, 10s, 998, 1'001},
        {"ramp down to nothing", even, 10s, 12s, 195, 205},
        {"within the window", window, 2s, 3s, 98, 101},
        {"outside the window", window, 3s, 12s, 0, 0},
        {"bursts at 0, 4 and 8 seconds", burst, 0s, 12s, 150, 150},
    };
    std::vector<phase> const phases{
        {"", 5s, 1.0, 1.0}, {"", 5s, 2.0, 2.0}, {"", 2s, 2.0, 0.0}};
    for (auto const& row : rows)
    {
        auto const times = all_arrivals(arrival_stream(row.shape, phases, 1));
        EXPECT_TRUE(std::is_sorted(times.begin(), times.end()))
            << row.situation;
        auto const count = count_within(times, row.from, row.until);
        EXPECT_GE(count, row.min_count) << row.situation;
        EXPECT_LE(count, row.max_count) << row.situation;
    }
}

TEST(request_statistics, classifies_answers_by_token_and_outcome)
{
    // Answers may be late, truncated or those to another request. A tool that
    // looked only at the status would count them as good.
    struct row
    {
        std::string_view situation;
        std::uint16_t status;
        std::string outcome;
        std::string body;
        bool direct;
        request_result expected_result;
    };
    std::vector<row> const rows{
        {"complete answer",
         200,
         "ran",
         "T1\nx\nT1",
         false,
         request_result::answered},
        {"an upstream's error",
         500,
         "ran",
         "T1\n\nT1",
         false,
         request_result::answered},
        {"truncated answer", 200, "ran", "T1\nx", false, request_result::mixed},
        {"token only", 200, "ran", "T1", false, request_result::mixed},
        {"answer to another request",
         200,
         "ran",
         "T2\nx\nT2",
         false,
         request_result::mixed},
        {"a longer token",
         200,
         "ran",
         "T11\nx\nT11",
         false,
         request_result::mixed},
        {"refused", 503, "not-run", "{}", false, request_result::refused},
        {"unknown", 502, "unknown", "{}", false, request_result::unknown},
        {"no outcome", 200, "", "T1\nx\nT1", false, request_result::lost},
        {"unknown outcome value",
         200,
         "maybe",
         "",
         false,
         request_result::lost},
        {"direct", 200, "", "T1\nx\nT1", true, request_result::answered},
        {"direct, truncated answer",
         200,
         "",
         "T1\n",
         true,
         request_result::mixed},
    };
    for (auto const& row : rows)
    {
        adapters::http::response answer;
        answer.status = row.status;
        answer.body = row.body;
        if (!row.outcome.empty())
        {
            answer.headers.push_back({"Fuchsia-Outcome", row.outcome});
        }
        EXPECT_EQ(judge(answer, "T1", row.direct), row.expected_result)
            << row.situation;
    }
    adapters::http::response refusal;
    refusal.status = 503;
    refusal.headers.push_back({"Upstream-Outcome", "not-run"});
    EXPECT_EQ(judge(refusal, "T1", true), request_result::refused);
}

TEST(request_statistics, excludes_late_and_failed_answers_from_goodput)
{
    request_statistics statistics;
    ended_request request;
    request.label = "a";
    request.result = request_result::answered;
    request.status = 200;
    statistics.record(0, request);
    request.late = true;
    statistics.record(1, request);
    request.status = 500;
    statistics.record(1, request);
    request.result = request_result::refused;
    statistics.record(2, request);
    EXPECT_EQ(statistics.total().requests, 4U);
    EXPECT_EQ(statistics.total().good(), 1U);
    EXPECT_EQ(statistics.total().failed, 1U);
    EXPECT_EQ(statistics.total().latency.count(), 3U);
    ASSERT_EQ(statistics.by_second().size(), 3U);
    EXPECT_EQ(statistics.by_second()[2].count(request_result::refused), 1U);
}

TEST(verdict, fails_for_each_single_violation)
{
    struct row
    {
        std::string_view situation;
        std::string summary;
        counts upstreams;
        counts workers;
        bool passes;
    };
    auto const summary = [](int lost, int mixed)
    {
        return R"({"requests":9,"answered":5,"refused":2,"unknown":1,"lost":)" +
               std::to_string(lost) + R"(,"mixed":)" + std::to_string(mixed) +
               "}";
    };
    std::vector<row> const rows{
        {"no violation", summary(0, 0), {{"received", 9}}, {}, true},
        {"lost", summary(1, 0), {}, {}, false},
        {"mixed", summary(0, 1), {}, {}, false},
        {"doubled", summary(0, 0), {{"doubled", 1}}, {}, false},
        {"an upstream overfilled",
         summary(0, 0),
         {{"overfilled", 1}},
         {},
         false},
        {"a worker overfilled", summary(0, 0), {}, {{"overfilled", 1}}, false},
        {"concurrent attempts", summary(0, 0), {}, {{"two_places", 1}}, false},
        {"resumed twice", summary(0, 0), {}, {{"resumed_twice", 1}}, false},
        {"late start", summary(0, 0), {}, {{"late_starts", 1}}, false},
    };
    for (auto const& row : rows)
    {
        verdict result;
        ASSERT_TRUE(result.add_summary(row.summary));
        result.add_upstreams(row.upstreams);
        result.add_workers(row.workers);
        EXPECT_EQ(result.passed(), row.passes) << row.situation;
    }
    verdict result;
    result.add_summary(summary(0, 0));
    EXPECT_EQ(to_line(result),
              "requests=9 answered=5 refused=2 unknown=1 lost=0 doubled=0 "
              "mixed=0 overfilled=0 two_places=0 late_starts=0");
    EXPECT_FALSE(result.add_summary("{}"));
    EXPECT_FALSE(result.add_summary("["));
}

TEST(report, summary_csv_and_plot_contain_the_results)
{
    run_report report;
    report.name = "e";
    ended_request request;
    request.label = "a";
    request.result = request_result::answered;
    request.status = 200;
    request.took = 7ms;
    report.requests.record(1, request);
    verdict result;
    EXPECT_TRUE(result.add_summary(to_json(report)));
    EXPECT_EQ(result.answered, 1U);
    EXPECT_EQ(to_csv(report),
              "second,ended,answered,good,refused,unknown,lost,mixed,p50_us,"
              "p99_us\n0,0,0,0,0,0,0,0,0,0\n1,1,1,1,0,0,0,0,7000,7000\n");
    EXPECT_TRUE(to_svg(report).ends_with("</svg>\n"));
}

TEST(experiment, reports_file_and_line_of_an_error)
{
    struct row
    {
        std::string text;
        std::string_view expected_place;
    };
    std::string const head = "name = \"e\"\n[[phase]]\nlength_ms = 1000\n";
    std::vector<row> const rows{
        {"name = \"e\"\n", "e.toml"},
        {head + "facto = 2.0\n", "e.toml:4"},
        {head + "[[traffic]]\ncustomer = \"c\"\npath = \"lots\"\n", "e.toml:6"},
        {head + "[[traffic]]\ncustomer = \"c\"\npath = \"/\"\nrate = -1.0\n",
         "e.toml:7"},
        {head + "[targets]\nentries = [\"here\"]\n", "e.toml:5"},
        {head + "[[event]]\nto = \"workers\"\npath = \"/\"\n", "e.toml:5"},
    };
    for (auto const& row : rows)
    {
        core::common::failure reason;
        parse_experiment(row.text, reason);
        EXPECT_NE(reason.code, core::common::result_code::ok) << row.text;
        EXPECT_TRUE(reason.where.starts_with(row.expected_place))
            << to_string(reason) << " in\n"
            << row.text;
    }
}

TEST(experiment, shipped_files_are_valid)
{
    namespace files = std::filesystem;
    files::path const source = FUCHSIA_SOURCE_DIR;
    core::common::failure reason;
    auto const targets_file = adapters::settings::toml_file::open(
        source / "examples" / "load-targets.toml", reason);
    ASSERT_TRUE(targets_file) << to_string(reason);
    auto targets_root = targets_file->root();
    auto const targets = read_targets(targets_root, {});
    EXPECT_TRUE(targets_file->ok()) << to_string(targets_file->reason());
    std::vector<files::path> paths{source / "examples" /
                                   "load-experiment.toml"};
    for (auto const& entry : files::directory_iterator(source / "experiments"))
    {
        paths.push_back(entry.path());
    }
    for (auto const& path : paths)
    {
        auto const file = adapters::settings::toml_file::open(path, reason);
        ASSERT_TRUE(file) << to_string(reason);
        auto root = file->root();
        read_experiment(root, targets);
        EXPECT_TRUE(file->ok()) << to_string(file->reason());
    }
}

TEST(experiment, scales_all_times_by_the_same_factor)
{
    core::common::failure reason;
    auto config =
        parse_experiment("name = \"e\"\n"
                         "[targets]\nworkers = \"127.0.0.1:1\"\n"
                         "[[phase]]\nlength_ms = 1000\n"
                         "[[phase]]\nlength_ms = 3000\n"
                         "[[traffic]]\ncustomer = \"c\"\npath = \"/\"\n"
                         "from_ms = 1000\nuntil_ms = 2000\n"
                         "[[event]]\nat_ms = 500\nto = \"workers\"\n"
                         "path = \"/x\"\n",
                         reason);
    ASSERT_EQ(reason.code, core::common::result_code::ok) << to_string(reason);
    config.scale_to(40s);
    EXPECT_EQ(config.length(), 40s);
    EXPECT_EQ(config.streams[0].from, 10s);
    EXPECT_EQ(config.streams[0].until, 20s);
    EXPECT_EQ(config.events[0].at, 5s);
}

} // namespace fuchsia::tools::load
