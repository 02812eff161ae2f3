#include "tools/load/bench_pool.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace fuchsia::tools::load;

constexpr pool_bench_settings small{.workers = 24, .seconds = 2, .seed = 3};

} // namespace

// Figures of two commits that were taken on different decisions.
TEST(bench_pool, decides_the_same_each_time)
{
    auto const first = bench_pool(small);
    auto const second = bench_pool(small);
    EXPECT_GT(first.starts, 0U);
    EXPECT_EQ(first.signature, second.signature);
    EXPECT_EQ(first.scored, second.scored);
}

// A pool that stands empty, or one whose jobs never end, costs its owner
// little.
TEST(bench_pool, keeps_a_pool_busy)
{
    auto const seen = bench_pool(small);
    EXPECT_GT(seen.reserved, 0.6);
    EXPECT_LT(seen.reserved, 0.8);
    EXPECT_GT(seen.jobs_finished, 0U);
    EXPECT_GT(seen.placement_rounds, 0U);
    EXPECT_GT(seen.total_s(), 0);
}
