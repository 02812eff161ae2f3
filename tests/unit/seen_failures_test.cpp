#include "core/common/seen_failures.hpp"

#include <gtest/gtest.h>
#include <string>

using namespace fuchsia::core::common;

namespace
{

failure wrong(result_code code, std::string where, std::string why = "")
{
    return {code, std::move(where), std::move(why)};
}

} // namespace

// Guards against a line for each failure of a subject, and against a cause that
// is never logged since another one came first.
TEST(seen_failures, a_cause_is_new_once_for_each_subject)
{
    seen_failures seen;
    auto const cause = wrong(result_code::out_of_range, "worker.seq", "-1");
    EXPECT_TRUE(seen.is_new("a", cause));
    EXPECT_FALSE(seen.is_new("a", cause));
    EXPECT_FALSE(
        seen.is_new("a", wrong(result_code::out_of_range, "worker.seq", "-2")));
    EXPECT_TRUE(seen.is_new("b", cause));
    EXPECT_TRUE(seen.is_new("a", wrong(result_code::wrong_type, "worker.seq")));
    EXPECT_TRUE(seen.is_new("a", cause));
    seen.forget("a");
    EXPECT_TRUE(seen.is_new("a", cause));
    EXPECT_FALSE(seen.is_new("b", cause));
}

// Guards against a table that grows with each new key of another program.
TEST(seen_failures, so_many_subjects_that_all_are_forgotten)
{
    constexpr int more_than_kept = 10'001;
    seen_failures seen;
    auto const cause = wrong(result_code::out_of_range, "worker.seq");
    for (int number = 0; number < more_than_kept; ++number)
    {
        EXPECT_TRUE(seen.is_new(std::to_string(number), cause));
    }
    EXPECT_TRUE(seen.is_new("0", cause));
}
