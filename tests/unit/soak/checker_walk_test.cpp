#include "scheduler_model.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <ostream>

using namespace fuchsia::tests::unit::soak;

namespace
{

constexpr std::uint64_t correct_runs = 300;
constexpr std::uint64_t defect_runs = 40;

struct defect_case
{
    char const* name;
    model_defect defect;
    rule expected_rule; ///< Rule that must be reported as broken.
};

std::ostream& operator<<(std::ostream& out, defect_case const& item)
{
    return out << item.name;
}

bool reports(model_result const& result, rule expected_rule)
{
    return std::any_of(result.violations.begin(),
                       result.violations.end(),
                       [&](violation const& item)
                       {
                           return item.broken_rule == expected_rule;
                       });
}

class soak_model_defects : public testing::TestWithParam<defect_case>
{
};

} // namespace

// A checker that reports violations of a correct scheduler under faults would
// be useless, because its reports would have to be ignored.
TEST(soak_model, correct_scheduler_has_no_violations)
{
    std::size_t starts = 0;
    std::size_t crashes = 0;
    std::size_t cancels = 0;
    for (std::uint64_t seed = 1; seed <= correct_runs; ++seed)
    {
        model_result const result = run_model(seed, model_defect::none);
        for (violation const& item : result.violations)
        {
            ADD_FAILURE() << "seed " << seed << ": rule "
                          << static_cast<int>(item.broken_rule) << " of "
                          << item.subject << ": " << item.reason;
        }
        starts += result.starts;
        crashes += result.crashes;
        cancels += result.cancels;
    }
    EXPECT_GT(starts, 100 * correct_runs);
    EXPECT_GT(crashes, correct_runs);
    EXPECT_GT(cancels, correct_runs);
}

// A checker could miss a single wrong step among thousands of correct ones.
TEST_P(soak_model_defects, single_defect_is_reported_in_every_run)
{
    std::uint64_t occurred = 0;
    for (std::uint64_t seed = 1; seed <= defect_runs; ++seed)
    {
        model_result const result = run_model(seed, GetParam().defect);
        occurred += result.defect_occurred ? 1 : 0;
        EXPECT_EQ(reports(result, GetParam().expected_rule),
                  result.defect_occurred)
            << "seed " << seed;
    }
    EXPECT_GT(occurred, defect_runs / 2);
}

INSTANTIATE_TEST_SUITE_P(
    each,
    soak_model_defects,
    testing::Values(
        defect_case{
            "forgotten_job", model_defect::forgotten_job, rule::job_lost},
        defect_case{"idle_job", model_defect::never_run_job, rule::job_lost},
        defect_case{
            "refused_job", model_defect::refused_job, rule::refused_job_ran},
        defect_case{
            "second_run", model_defect::second_run, rule::duplicate_run},
        defect_case{
            "repeated_run", model_defect::repeated_run, rule::duplicate_run},
        defect_case{"early_start", model_defect::early_start, rule::step_order},
        defect_case{
            "extra_attempt", model_defect::extra_attempt, rule::attempt_limit},
        defect_case{"forgotten_cancel",
                    model_defect::forgotten_cancel,
                    rule::ran_after_cancel},
        defect_case{
            "draining_worker", model_defect::draining_worker, rule::drain},
        defect_case{"closed_data_centre",
                    model_defect::closed_data_centre,
                    rule::data_centre},
        defect_case{"old_configuration",
                    model_defect::old_configuration,
                    rule::configuration},
        defect_case{
            "low_count", model_defect::low_waiting_count, rule::waiting_count},
        defect_case{"false_completed",
                    model_defect::false_completed,
                    rule::reported_state},
        defect_case{
            "false_failed", model_defect::false_failed, rule::reported_state},
        defect_case{"no_recovery", model_defect::no_recovery, rule::recovery},
        defect_case{
            "crash_budget", model_defect::crash_budget, rule::crash_budget},
        defect_case{"overfilled_worker",
                    model_defect::overfilled_worker,
                    rule::capacity}),
    [](auto const& item)
    {
        return std::string(item.param.name);
    });
