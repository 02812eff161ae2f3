#include "model.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <ostream>

using namespace fuchsia::tests::unit::soak;

namespace
{

constexpr std::uint64_t honest_walks = 300;
constexpr std::uint64_t walks_with_a_lie = 40;

struct planted
{
    char const* name;
    lie what;
    rule which; ///< Has to be reported.
};

std::ostream& operator<<(std::ostream& out, planted const& one)
{
    return out << one.name;
}

bool reports(walk_result const& walked, rule which)
{
    return std::any_of(walked.found.begin(),
                       walked.found.end(),
                       [&](violation const& one)
                       {
                           return one.broken_rule == which;
                       });
}

class soak_lies : public testing::TestWithParam<planted>
{
};

} // namespace

// A check that blames a system which keeps the rules, whatever happens around
// it, would have to be ignored.
TEST(soak_walks, honest_system_is_never_blamed)
{
    std::size_t starts = 0;
    std::size_t crashes = 0;
    std::size_t cancels = 0;
    for (std::uint64_t seed = 1; seed <= honest_walks; ++seed)
    {
        walk_result const walked = walk(seed, lie::none);
        for (violation const& one : walked.found)
        {
            ADD_FAILURE() << "seed " << seed << ": rule "
                          << static_cast<int>(one.broken_rule) << " of "
                          << one.subject << ": " << one.reason;
        }
        starts += walked.starts;
        crashes += walked.crashes;
        cancels += walked.cancels;
    }
    EXPECT_GT(starts, 100 * honest_walks);
    EXPECT_GT(crashes, honest_walks);
    EXPECT_GT(cancels, honest_walks);
}

// One wrong step among thousands of right ones goes unnoticed.
TEST_P(soak_lies, told_once_is_caught_in_every_walk)
{
    std::uint64_t told = 0;
    for (std::uint64_t seed = 1; seed <= walks_with_a_lie; ++seed)
    {
        walk_result const walked = walk(seed, GetParam().what);
        told += walked.told ? 1 : 0;
        EXPECT_EQ(reports(walked, GetParam().which), walked.told)
            << "seed " << seed;
    }
    EXPECT_GT(told, walks_with_a_lie / 2);
}

INSTANTIATE_TEST_SUITE_P(
    each,
    soak_lies,
    testing::Values(
        planted{"forgotten_job", lie::forgotten_job, rule::job_lost},
        planted{"idle_job", lie::idle_job, rule::job_lost},
        planted{"refused_job", lie::refused_job, rule::refused_job_ran},
        planted{"second_run", lie::second_run, rule::duplicate_run},
        planted{"repeated_run", lie::repeated_run, rule::duplicate_run},
        planted{"early_start", lie::early_start, rule::step_order},
        planted{"extra_attempt", lie::extra_attempt, rule::attempt_limit},
        planted{
            "forgotten_cancel", lie::forgotten_cancel, rule::ran_after_cancel},
        planted{"draining_worker", lie::draining_worker, rule::drain},
        planted{
            "closed_data_centre", lie::closed_data_centre, rule::data_centre},
        planted{
            "old_configuration", lie::old_configuration, rule::configuration},
        planted{"low_count", lie::low_count, rule::waiting_count},
        planted{"false_completed", lie::false_completed, rule::reported_state},
        planted{"false_failed", lie::false_failed, rule::reported_state},
        planted{"no_recovery", lie::no_recovery, rule::recovery}),
    [](auto const& one)
    {
        return std::string(one.param.name);
    });
