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

std::vector<duration> all_of(arrival_stream stream)
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
                                                  [&](duration at)
                                                  {
                                                      return at >= from &&
                                                             at < until;
                                                  }));
}

experiment parsed(std::string_view text, core::common::failure& reason)
{
    auto const file =
        adapters::settings::toml_file::parse(text, "e.toml", reason);
    if (!file)
    {
        return {};
    }
    auto root = file->root();
    auto what = read_experiment(root, {});
    reason = file->reason();
    return what;
}

} // namespace

TEST(histogram, quantiles_are_exact_to_the_width_of_a_bucket)
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

TEST(histogram, takes_every_value)
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
    auto const first = all_of(arrival_stream(shape, phases, 7));
    EXPECT_EQ(first, all_of(arrival_stream(shape, phases, 7)));
    EXPECT_NE(first, all_of(arrival_stream(shape, phases, 8)));
    EXPECT_NEAR(static_cast<double>(first.size()), 1'000, 150);
}

TEST(arrivals, follow_phases_windows_and_bursts)
{
    struct row
    {
        std::string_view what;
        arrival_stream::shape shape;
        duration from;
        duration until;
        std::size_t least;
        std::size_t most;
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
        auto const times = all_of(arrival_stream(row.shape, phases, 1));
        EXPECT_TRUE(std::is_sorted(times.begin(), times.end())) << row.what;
        auto const count = count_within(times, row.from, row.until);
        EXPECT_GE(count, row.least) << row.what;
        EXPECT_LE(count, row.most) << row.what;
    }
}

TEST(book, judges_each_answer_by_its_token_and_outcome)
{
    // Answers come late, cut short or for somebody else. A tool that counted
    // by status alone would call them good.
    struct row
    {
        std::string_view what;
        std::uint16_t status;
        std::string outcome;
        std::string body;
        bool direct;
        request_result wanted;
    };
    std::vector<row> const rows{
        {"whole", 200, "ran", "T1\nx\nT1", false, request_result::answered},
        {"an upstream's error",
         500,
         "ran",
         "T1\n\nT1",
         false,
         request_result::answered},
        {"a part", 200, "ran", "T1\nx", false, request_result::mixed},
        {"the token alone", 200, "ran", "T1", false, request_result::mixed},
        {"another's", 200, "ran", "T2\nx\nT2", false, request_result::mixed},
        {"a longer token",
         200,
         "ran",
         "T11\nx\nT11",
         false,
         request_result::mixed},
        {"refused", 503, "not-run", "{}", false, request_result::refused},
        {"unknown", 502, "unknown", "{}", false, request_result::unknown},
        {"no outcome", 200, "", "T1\nx\nT1", false, request_result::lost},
        {"no such outcome", 200, "maybe", "", false, request_result::lost},
        {"direct", 200, "", "T1\nx\nT1", true, request_result::answered},
        {"direct, a part", 200, "", "T1\n", true, request_result::mixed},
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
        EXPECT_EQ(judge(answer, "T1", row.direct), row.wanted) << row.what;
    }
    adapters::http::response refusal;
    refusal.status = 503;
    refusal.headers.push_back({"Upstream-Outcome", "not-run"});
    EXPECT_EQ(judge(refusal, "T1", true), request_result::refused);
}

TEST(book, counts_late_and_failed_answers_out_of_the_goodput)
{
    request_statistics all;
    ended_request request;
    request.label = "a";
    request.result = request_result::answered;
    request.status = 200;
    all.record(0, request);
    request.late = true;
    all.record(1, request);
    request.status = 500;
    all.record(1, request);
    request.result = request_result::refused;
    all.record(2, request);
    EXPECT_EQ(all.total().requests, 4U);
    EXPECT_EQ(all.total().good(), 1U);
    EXPECT_EQ(all.total().failed, 1U);
    EXPECT_EQ(all.total().latency.count(), 3U);
    ASSERT_EQ(all.by_second().size(), 3U);
    EXPECT_EQ(all.by_second()[2].count(request_result::refused), 1U);
}

TEST(verdict, breaks_for_each_promise_alone)
{
    struct row
    {
        std::string_view what;
        std::string summary;
        counts upstreams;
        counts workers;
        bool holds;
    };
    auto const summary = [](int lost, int mixed)
    {
        return R"({"requests":9,"answered":5,"refused":2,"unknown":1,"lost":)" +
               std::to_string(lost) + R"(,"mixed":)" + std::to_string(mixed) +
               "}";
    };
    std::vector<row> const rows{
        {"all is well", summary(0, 0), {{"received", 9}}, {}, true},
        {"lost", summary(1, 0), {}, {}, false},
        {"mixed", summary(0, 1), {}, {}, false},
        {"doubled", summary(0, 0), {{"doubled", 1}}, {}, false},
        {"an upstream overfilled",
         summary(0, 0),
         {{"overfilled", 1}},
         {},
         false},
        {"a worker overfilled", summary(0, 0), {}, {{"overfilled", 1}}, false},
        {"two places", summary(0, 0), {}, {{"two_places", 1}}, false},
        {"resumed twice", summary(0, 0), {}, {{"resumed_twice", 1}}, false},
        {"late start", summary(0, 0), {}, {{"late_starts", 1}}, false},
    };
    for (auto const& row : rows)
    {
        verdict all;
        ASSERT_TRUE(all.add_summary(row.summary));
        all.add_upstreams(row.upstreams);
        all.add_workers(row.workers);
        EXPECT_EQ(all.passed(), row.holds) << row.what;
    }
    verdict all;
    all.add_summary(summary(0, 0));
    EXPECT_EQ(to_line(all),
              "requests=9 answered=5 refused=2 unknown=1 lost=0 doubled=0 "
              "mixed=0 overfilled=0 two_places=0 late_starts=0");
    EXPECT_FALSE(all.add_summary("{}"));
    EXPECT_FALSE(all.add_summary("["));
}

TEST(report, summary_csv_and_plot_carry_the_run)
{
    run_report report;
    report.name = "e";
    ended_request request;
    request.label = "a";
    request.result = request_result::answered;
    request.status = 200;
    request.took = 7ms;
    report.requests.record(1, request);
    verdict all;
    EXPECT_TRUE(all.add_summary(to_json(report)));
    EXPECT_EQ(all.answered, 1U);
    EXPECT_EQ(to_csv(report),
              "second,ended,answered,good,refused,unknown,lost,mixed,p50_us,"
              "p99_us\n0,0,0,0,0,0,0,0,0,0\n1,1,1,1,0,0,0,0,7000,7000\n");
    EXPECT_TRUE(to_svg(report).ends_with("</svg>\n"));
}

TEST(experiment, names_the_place_of_what_is_wrong)
{
    struct row
    {
        std::string text;
        std::string_view place;
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
        parsed(row.text, reason);
        EXPECT_NE(reason.code, core::common::result_code::ok) << row.text;
        EXPECT_TRUE(reason.where.starts_with(row.place))
            << to_string(reason) << " in\n"
            << row.text;
    }
}

TEST(experiment, the_files_that_are_shipped_are_read)
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

TEST(experiment, stretches_all_times_alike)
{
    core::common::failure reason;
    auto what = parsed("name = \"e\"\n"
                       "[targets]\nworkers = \"127.0.0.1:1\"\n"
                       "[[phase]]\nlength_ms = 1000\n"
                       "[[phase]]\nlength_ms = 3000\n"
                       "[[traffic]]\ncustomer = \"c\"\npath = \"/\"\n"
                       "from_ms = 1000\nuntil_ms = 2000\n"
                       "[[event]]\nat_ms = 500\nto = \"workers\"\n"
                       "path = \"/x\"\n",
                       reason);
    ASSERT_EQ(reason.code, core::common::result_code::ok) << to_string(reason);
    what.scale_to(40s);
    EXPECT_EQ(what.length(), 40s);
    EXPECT_EQ(what.streams[0].from, 10s);
    EXPECT_EQ(what.streams[0].until, 20s);
    EXPECT_EQ(what.events[0].at, 5s);
}

} // namespace fuchsia::tools::load
