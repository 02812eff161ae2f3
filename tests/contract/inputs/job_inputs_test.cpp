#include "core/pool/job_run.hpp"
#include "platform/job_codec.hpp"

#include <gtest/gtest.h>
#include <string>

// Malformed submissions that were accepted in the past.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;

bool accepted(std::string const& submission)
{
    failure reason;
    bool const is_accepted =
        platform::decode_job(submission, reason).has_value();
    EXPECT_TRUE(is_accepted || !reason.where.empty()) << submission;
    return is_accepted;
}

} // namespace

// A job that its owner could not parse was accepted and never ran.
TEST(job_inputs, job_that_no_owner_can_parse_is_rejected_at_submission)
{
    EXPECT_TRUE(accepted(R"({"steps":[{"count":10000}]})"));
    EXPECT_TRUE(accepted(R"({"steps":[{"count":2}],"repeatCount":10000})"));
    for (auto const* invalid :
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
        EXPECT_FALSE(accepted(invalid)) << invalid;
    }
    EXPECT_FALSE(accepted(R"({"steps":[{"image":")" + std::string(300, 'x') +
                          R"("}]})"));
    EXPECT_FALSE(accepted(R"({"steps":[{}],"taskSpec":")" +
                          std::string(20'000, 'x') + R"("})"));
}

// The deadline of a long job in a queue with a large deadline stretch
// overflowed, and the job was late before it started.
TEST(job_inputs, deadline_of_the_longest_job_does_not_overflow)
{
    core::pool::job longest;
    longest.first_unix_ms = std::int64_t{1} << 52;
    longest.steps.resize(256);
    for (std::uint32_t index = 0; index < longest.steps.size(); ++index)
    {
        longest.steps[index].estimate = std::chrono::hours(24 * 366);
        if (index > 0)
        {
            longest.steps[index].after = {index - 1};
        }
    }
    core::pool::queue rules;
    rules.deadline_stretch = 1e6;
    auto const run = core::pool::make_job_run(longest, 1, rules);
    EXPECT_GT(run.due_unix_ms, longest.first_unix_ms);
    EXPECT_GT(run.late_unix_ms, run.due_unix_ms);
}

// The index of an earlier step overflowed to the index of another step.
TEST(job_inputs, step_with_an_invalid_dependency_is_rejected)
{
    EXPECT_TRUE(accepted(R"({"steps":[{},{"after":[0]}]})"));
    for (auto const* invalid : {"4294967296",
                                "-4294967296",
                                "18446744073709551615",
                                "0.0",
                                "null",
                                "\"0\""})
    {
        EXPECT_FALSE(accepted(R"({"steps":[{},{"after":[)" +
                              std::string(invalid) + "]}]}"))
            << invalid;
        failure reason;
        EXPECT_FALSE(core::pool::parse_job(
            R"({"id":"a","queue":"q","steps":[{},{"after":[)" +
                std::string(invalid) + "]}]}",
            reason))
            << invalid;
    }
}

// Workers' checkpoints made a record larger than the store accepts. Its owner
// retried the write for ever, and no other write got through.
TEST(job_inputs, progress_record_fits_into_one_store_value)
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
                auto& task = steps.tasks[index];
                task.checkpoint = index < 100 || size < 100
                                      ? std::string(size, 'c')
                                      : std::string();
                task.phase = index % 2 == 0 ? core::pool::task_phase::done
                                            : core::pool::task_phase::ready;
            }
        }
        auto const progress = progress_of(run);
        EXPECT_LT(to_json(progress).size(), largest_value) << size;
        // The tasks that must not run again are always in the record.
        EXPECT_GE(progress.tasks.size(), 10'000U) << size;
    }
}

} // namespace fuchsia::tests::contract::inputs
