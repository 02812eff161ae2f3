#include "scheduler_model.hpp"

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
    model_defect what;
    rule which; ///< Has to be reported.
};

std::ostream& operator<<(std::ostream& out, planted const& one)
{
    return out << one.name;
}

bool reports(model_result const& walked, rule which)
{
    return std::any_of(walked.violations.begin(),
                       walked.violations.end(),
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
        model_result const walked = run_model(seed, model_defect::none);
        for (violation const& one : walked.violations)
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
        model_result const walked = run_model(seed, GetParam().what);
        told += walked.defect_occurred ? 1 : 0;
        EXPECT_EQ(reports(walked, GetParam().which), walked.defect_occurred)
            << "seed " << seed;
    }
    EXPECT_GT(told, walks_with_a_lie / 2);
}

INSTANTIATE_TEST_SUITE_P(
    each,
    soak_lies,
    testing::Values(
        planted{"forgotten_job", model_defect::forgotten_job, rule::job_lost},
        planted{"idle_job", model_defect::never_run_job, rule::job_lost},
        planted{
            "refused_job", model_defect::refused_job, rule::refused_job_ran},
        planted{"second_run", model_defect::second_run, rule::duplicate_run},
        planted{
            "repeated_run", model_defect::repeated_run, rule::duplicate_run},
        planted{"early_start", model_defect::early_start, rule::step_order},
        planted{
            "extra_attempt", model_defect::extra_attempt, rule::attempt_limit},
        planted{"forgotten_cancel",
                model_defect::forgotten_cancel,
                rule::ran_after_cancel},
        planted{"draining_worker", model_defect::draining_worker, rule::drain},
        planted{"closed_data_centre",
                model_defect::closed_data_centre,
                rule::data_centre},
        planted{"old_configuration",
                model_defect::old_configuration,
                rule::configuration},
        planted{
            "low_count", model_defect::low_waiting_count, rule::waiting_count},
        planted{"false_completed",
                model_defect::false_completed,
                rule::reported_state},
        planted{
            "false_failed", model_defect::false_failed, rule::reported_state},
        planted{"no_recovery", model_defect::no_recovery, rule::recovery}),
    [](auto const& one)
    {
        return std::string(one.param.name);
    });
