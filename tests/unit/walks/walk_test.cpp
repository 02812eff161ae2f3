#include "unit/walks/seed_count.hpp"
#include "walk.hpp"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <string>

using namespace fuchsia::tests::unit::walks;

namespace
{

constexpr std::uint64_t shard_count = 8;
constexpr std::uint64_t walks_in_ci = 2000;

/// Returns the first seed up to `last_seed` whose walk fails, or 0.
std::uint64_t first_failing_seed(fuchsia::core::membership::safety_rules rules,
                                 std::uint64_t last_seed)
{
    for (std::uint64_t seed = 1; seed <= last_seed; ++seed)
    {
        walk_options options;
        options.seed = seed;
        options.rules = rules;
        options.must_recover = false;
        if (!run_walk(options).violation.empty())
        {
            return seed;
        }
    }
    return 0;
}

} // namespace

class safety_walks : public testing::TestWithParam<std::uint64_t>
{
};

INSTANTIATE_TEST_SUITE_P(shard,
                         safety_walks,
                         testing::Range<std::uint64_t>(0, shard_count));

// Store, links, clocks and processes fail in any order, also together and
// repeatedly. With a wrong takeover rule two members act on one partition, so
// that a slot is granted twice or a bid is recorded twice. With a rule that is
// too strict some partition stays without an owner after all faults ended.
TEST_P(safety_walks, one_owner_per_partition_and_full_recovery)
{
    std::uint64_t walks_with_fencing = 0;
    std::uint64_t walks_with_witness_proof = 0;
    std::uint64_t const walks = seed_count(walks_in_ci) / shard_count;
    for (std::uint64_t walk = 0; walk < walks; ++walk)
    {
        walk_options options;
        options.seed = 1 + GetParam() * walks + walk;
        bool const platform_is_trusted = options.seed % 2 == 0;
        options.must_recover = platform_is_trusted && walk % 8 < 2;
        auto const result = run_walk(options);
        ASSERT_EQ(result.violation, "") << "seed " << options.seed;
        ASSERT_TRUE(result.recovered || !options.must_recover)
            << "seed " << options.seed;
        walks_with_fencing += result.fencing_writes > 0 ? 1 : 0;
        walks_with_witness_proof +=
            result.checks_proved_by_witnesses > 0 ? 1 : 0;
    }
    // The walks are only meaningful if members are fenced and act on witness
    // promises in enough of them.
    EXPECT_GE(walks_with_fencing * 2, walks);
    EXPECT_GE(walks_with_witness_proof * 4, walks);
}

// With one part of the takeover rule switched off, some of the walks must fail;
// otherwise they could not detect the fault that this part prevents.
TEST(safety_walks_detect, fencing_without_consent)
{
    EXPECT_NE(first_failing_seed({.require_consent = false}, 50), 0);
}

TEST(safety_walks_detect, fencing_of_a_record_that_changes)
{
    EXPECT_NE(first_failing_seed({.require_unchanged_version = false}, 50), 0);
}

TEST(safety_walks_detect, proof_lifetime_counted_from_the_reply)
{
    EXPECT_NE(first_failing_seed({.count_proof_from_send = false}, 400), 0);
}

// Only about one walk in a few thousand detects that this part is missing, so
// the test uses seeds that are known to. A change to the core or to the walks
// changes the walks of these seeds; new ones are then found by
// `first_failing_seed` with thousands of seeds.
TEST(safety_walks_detect, majority_of_only_one_possible_witness_list)
{
    constexpr std::array<std::uint64_t, 4> failing_seeds{
        4210, 11181, 14586, 15670};
    EXPECT_TRUE(std::any_of(failing_seeds.begin(),
                            failing_seeds.end(),
                            [](std::uint64_t seed)
                            {
                                walk_options options;
                                options.seed = seed;
                                options.rules.require_both_witness_lists =
                                    false;
                                options.must_recover = false;
                                return !run_walk(options).violation.empty();
                            }));
}
