#include "standins/upstreams/upstream_pool.hpp"

#include <gtest/gtest.h>

namespace fuchsia::standins::upstreams
{

namespace
{

using namespace std::chrono_literals;

constexpr core::common::time_point start(1h);

work_request post(std::string customer, std::string key)
{
    return {std::move(customer),
            ports::request_class::latency_critical,
            "POST",
            "/lots/1",
            std::move(key)};
}

upstream_pool_settings two_slots()
{
    upstream_pool_settings settings;
    settings.count = 2;
    settings.slots = 2;
    settings.data_centres = {"kochi-a"};
    return settings;
}

} // namespace

TEST(upstream_pool, counts_requests_started_beyond_the_slots)
{
    upstream_pool pool(two_slots());
    for (int request = 0; request < 5; ++request)
    {
        pool.begin(start, 0, post("c", ""));
    }
    pool.begin(start, 1, post("c", ""));
    EXPECT_EQ(pool.counters().over_capacity, 3U);
    pool.end(0, work_outcome::complete);
    EXPECT_EQ(pool.running(0), 4U);
    EXPECT_EQ(pool.counters().answered, 1U);
    EXPECT_EQ(pool.counters().running, 5U);
}

TEST(upstream_pool, counts_duplicate_runs_of_an_idempotency_key)
{
    // A caller's retry reaches another upstream while the first request is
    // still running, so a lot receives two bids.
    struct row
    {
        std::string_view description;
        work_request first;
        work_request second;
        std::uint64_t duplicate_runs;
    };
    auto put = post("c", "k");
    put.method = "PUT";
    std::vector<row> const rows{
        {"the same key", post("c", "k"), post("c", "k"), 1},
        {"another key", post("c", "k"), post("c", "l"), 0},
        {"another customer", post("c", "k"), post("d", "k"), 0},
        {"no key", post("c", ""), post("c", ""), 0},
        {"idempotent method", put, put, 0},
    };
    for (auto const& row : rows)
    {
        upstream_pool pool(two_slots());
        pool.begin(start, 0, row.first);
        pool.begin(start, 1, row.second);
        EXPECT_EQ(pool.counters().duplicate_runs, row.duplicate_runs)
            << row.description;
    }
}

TEST(upstream_pool, a_refused_request_does_not_run)
{
    upstream_pool pool(two_slots());
    upstream_faults faults;
    faults.refuse_permille = 1000;
    ASSERT_TRUE(pool.set_faults(start, "upstream-1", faults));
    EXPECT_EQ(pool.begin(start, 0, post("c", "k")).outcome,
              work_outcome::refused);
    EXPECT_EQ(pool.running(0), 0U);
    pool.begin(start, 1, post("c", "k"));
    EXPECT_EQ(pool.counters().duplicate_runs, 0U);
    EXPECT_FALSE(pool.set_faults(start, "upstream-9", faults));
}

TEST(upstream_pool, injected_faults_determine_the_outcome_of_a_request)
{
    struct row
    {
        std::string_view description;
        std::optional<std::uint32_t> fail;
        std::optional<std::uint32_t> partial;
        work_outcome expected_outcome;
    };
    std::vector<row> const rows{
        {"none", std::nullopt, std::nullopt, work_outcome::complete},
        {"fail", 1000, std::nullopt, work_outcome::failed},
        {"partial", std::nullopt, 1000, work_outcome::partial},
        {"both: the failure comes first", 1000, 1000, work_outcome::failed},
    };
    for (auto const& row : rows)
    {
        upstream_pool pool(two_slots());
        upstream_faults faults;
        faults.fail_permille = row.fail;
        faults.partial_permille = row.partial;
        pool.set_faults(start, "*", faults);
        EXPECT_EQ(pool.begin(start, 0, post("c", "k")).outcome,
                  row.expected_outcome)
            << row.description;
    }
}

TEST(upstream_pool, counts_requests_started_after_the_leaving_grace)
{
    upstream_pool pool(two_slots());
    upstream_faults faults;
    faults.leaving = true;
    pool.set_faults(start, "upstream-1", faults);
    pool.set_faults(start + 3s, "upstream-1", faults);
    pool.begin(start + 5s, 0, post("c", ""));
    EXPECT_EQ(pool.counters().started_after_leaving, 0U);
    pool.begin(start + 5001ms, 0, post("c", ""));
    EXPECT_EQ(pool.counters().started_after_leaving, 1U);
    EXPECT_TRUE(pool.leaving(0));
    faults.leaving = false;
    pool.set_faults(start + 6s, "upstream-1", faults);
    pool.begin(start + 20s, 0, post("c", ""));
    EXPECT_EQ(pool.counters().started_after_leaving, 1U);
}

TEST(upstream_pool, load_on_the_machine_and_faults_lengthen_the_service_time)
{
    auto settings = two_slots();
    settings.latency_critical = {10.0, 0.0, 1'000.0};
    settings.per_machine = 2;
    settings.interference = 1.0;
    settings.paths = {{"/valuations", 3.0}};
    upstream_pool pool(settings);
    auto const expect_time = [](work const& started, double expected_ms)
    {
        double const time_ms =
            static_cast<double>(started.time.count()) / 1'000.0;
        EXPECT_NEAR(time_ms, expected_ms, 0.1);
    };
    expect_time(pool.begin(start, 0, post("c", "")), 10.0);
    expect_time(pool.begin(start, 1, post("c", "")), 12.5);
    expect_time(pool.begin(start, 1, post("c", "")), 15.0);
    expect_time(pool.begin(start, 1, post("c", "")), 10.0 * 1.75 * 1.5);
    auto slow_path = post("c", "");
    slow_path.target = "/valuations/7";
    expect_time(pool.begin(start, 0, slow_path), 10.0 * 2.0 * 3.0);
    upstream_faults faults;
    faults.slow_factor = 4.0;
    pool.set_faults(start, "*", faults);
    pool.end(0, work_outcome::complete);
    expect_time(pool.begin(start, 0, post("c", "")), 10.0 * 2.0 * 4.0);
}

} // namespace fuchsia::standins::upstreams
