#include "tools/load/bench_pool.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace fuchsia::tools::load;

constexpr pool_bench_settings small_settings{
    .workers = 24, .seconds = 2, .seed = 3};

} // namespace

// Guards against comparing the times of two commits that made different
// decisions: equal settings must give equal decisions.
TEST(bench_pool, makes_the_same_decisions_on_every_run)
{
    auto const first = bench_pool(small_settings);
    auto const second = bench_pool(small_settings);
    EXPECT_GT(first.starts, 0U);
    EXPECT_EQ(first.signature, second.signature);
    EXPECT_EQ(first.scored, second.scored);
}

// Guards against a benchmark of an idle pool, or of one whose jobs never end:
// its owner would have little work to measure.
TEST(bench_pool, reserves_most_cores_and_finishes_jobs)
{
    auto const result = bench_pool(small_settings);
    EXPECT_GT(result.reserved, 0.6);
    EXPECT_LT(result.reserved, 0.8);
    EXPECT_GT(result.jobs_finished, 0U);
    EXPECT_GT(result.placement_rounds, 0U);
    EXPECT_GT(result.total_s(), 0);
}
