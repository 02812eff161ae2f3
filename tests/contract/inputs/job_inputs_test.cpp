#include "core/pool/job_run.hpp"
#include "platform/job_codec.hpp"

#include <gtest/gtest.h>
#include <string>

// Odd submissions that were accepted once.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;

bool accepted(std::string const& submission)
{
    failure reason;
    bool const taken = platform::decode_job(submission, reason).has_value();
    EXPECT_TRUE(taken || !reason.where.empty()) << submission;
    return taken;
}

} // namespace

// A job that its owner could not read was accepted, and never ran.
TEST(job_inputs, jobs_that_no_owner_can_hold_are_refused_at_the_door)
{
    EXPECT_TRUE(accepted(R"({"steps":[{"count":10000}]})"));
    EXPECT_TRUE(accepted(R"({"steps":[{"count":2}],"repeatCount":10000})"));
    for (auto const* bad :
         {R"({"steps":[]})",
          R"({"taskSpec":"x"})",
          R"({"steps":[{"count":10001}]})",
          R"({"steps":[{"count":3}],"repeatCount":10000})",
          R"({"steps":[{"count":1}],"repeatCount":10001})",
          R"({"steps":[{"after":[0]}]})",
          R"({"steps":[{},{"after":[1]}]})",
          R"({"steps":[{"estimateMs":4503599627370496}]})",
          R"({"steps":[{"targetMs":4503599627370496}]})",
          R"({"steps":[{"cpu":4503599627370496}]})",
          R"({"steps":[{"memMb":4503599627370496}]})",
          R"({"steps":[{}],"repeatCount":9,"intervalMs":4503599627370496})"})
    {
        EXPECT_FALSE(accepted(bad)) << bad;
    }
    EXPECT_FALSE(accepted(R"({"steps":[{"image":")" + std::string(300, 'x') +
                          R"("}]})"));
    EXPECT_FALSE(accepted(R"({"steps":[{}],"taskSpec":")" +
                          std::string(20'000, 'x') + R"("})"));
}

// The time limit of a long job under a large stretch wrapped round, and the job
// was late before it began.
TEST(job_inputs, the_longest_job_is_due_after_it_begins)
{
    core::pool::job longest;
    longest.first_unix_ms = std::int64_t{1} << 52;
    longest.steps.resize(256);
    for (std::uint32_t number = 0; number < longest.steps.size(); ++number)
    {
        longest.steps[number].estimate = std::chrono::hours(24 * 366);
        if (number > 0)
        {
            longest.steps[number].after = {number - 1};
        }
    }
    core::pool::queue rules;
    rules.deadline_stretch = 1e6;
    auto const run = core::pool::make_job_run(longest, 1, rules);
    EXPECT_GT(run.due_unix_ms, longest.first_unix_ms);
    EXPECT_GT(run.late_unix_ms, run.due_unix_ms);
}

// The number of an earlier step wrapped round to that of another.
TEST(job_inputs, a_step_waits_for_no_other_step_than_it_says)
{
    EXPECT_TRUE(accepted(R"({"steps":[{},{"after":[0]}]})"));
    for (auto const* bad : {"4294967296",
                            "-4294967296",
                            "18446744073709551615",
                            "0.0",
                            "null",
                            "\"0\""})
    {
        EXPECT_FALSE(
            accepted(R"({"steps":[{},{"after":[)" + std::string(bad) + "]}]}"))
            << bad;
        failure reason;
        EXPECT_FALSE(core::pool::parse_job(
            R"({"id":"a","queue":"q","steps":[{},{"after":[)" +
                std::string(bad) + "]}]}",
            reason))
            << bad;
    }
}

// Workers' checkpoints made a record that the store takes from nobody: its
// owner sent it again and again, and no other write came through.
TEST(job_inputs, a_record_of_progress_fits_into_one_value_of_the_store)
{
    constexpr std::size_t largest_value = 1024 * 1024;
    for (std::size_t const size : {16, 1000, 500'000})
    {
        core::pool::job job;
        job.steps.resize(2);
        job.steps[0].count = 10'000;
        job.steps[1].count = 10'000;
        auto run = core::pool::make_job_run(job, 1, {});
        for (auto& steps : run.occurrences.front().steps)
        {
            for (std::size_t index = 0; index < steps.tasks.size(); ++index)
            {
                auto& each = steps.tasks[index];
                each.checkpoint = index < 100 || size < 100
                                      ? std::string(size, 'c')
                                      : std::string();
                each.phase = index % 2 == 0 ? core::pool::task_phase::done
                                            : core::pool::task_phase::ready;
            }
        }
        auto const known = progress_of(run);
        EXPECT_LT(to_json(known).size(), largest_value) << size;
        // What must not run again is always in it.
        EXPECT_GE(known.tasks.size(), 10'000U) << size;
    }
}

} // namespace fuchsia::tests::contract::inputs
