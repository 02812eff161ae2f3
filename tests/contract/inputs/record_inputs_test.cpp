#include "core/pool/claim_holder.hpp"
#include "core/pool/progress.hpp"
#include "core/pool/roster.hpp"

#include <gtest/gtest.h>
#include <string>

// Odd records of the pool that were believed once.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;
using core::common::result_code;

} // namespace

// A failed attempt wrapped round, or was the last that a task can have.
TEST(record_inputs, progress_names_tasks_and_attempts_within_bounds)
{
    for (auto const* bad : {"[4294967296,0,0,1,[],\"\"]",
                            "[0,4294967296,0,1,[],\"\"]",
                            "[0,0,4294967296,1,[],\"\"]",
                            "[0,0,0,0,[4294967295],\"\"]",
                            "[0,0,0,0,[4294967297],\"\"]"})
    {
        failure reason;
        EXPECT_FALSE(core::pool::parse_progress(
            R"({"job":"a","tasks":[)" + std::string(bad) + "]}", reason))
            << bad;
    }
}

// Cells of another type ended the process; a port wrapped round to another.
TEST(record_inputs, rows_of_the_roster_that_name_no_worker_are_passed_over)
{
    failure reason;
    auto const made = core::pool::parse_roster(
        R"({"workers":[[7,"s","10.0.0.1",80],["a",7,"10.0.0.1",80],)"
        R"(["b","s",7,80],["c","s","10.0.0.1",65616],["d","s","10.0.0.1",0],)"
        R"(["","s","10.0.0.1",80],["e","s","",80],["f","s","10.0.0.1",80]]})",
        reason);
    // Of what service it is doesn't matter to who asks it.
    ASSERT_EQ(made.size(), 2U);
    EXPECT_EQ(made.front().id, "a");
    EXPECT_EQ(made.back().id, "f");
    EXPECT_EQ(reason.code, result_code::wrong_type);
    failure whole;
    EXPECT_TRUE(core::pool::parse_roster(R"({"workers":7})", whole).empty());
    EXPECT_EQ(whole.code, result_code::wrong_type);
}

// Beside a holder of endless size nobody would ever claim at once.
TEST(record_inputs, a_holder_has_a_size)
{
    for (auto const* bad : {"0", "-1", "1e300", "1e999", "\"1\""})
    {
        failure reason;
        EXPECT_FALSE(core::pool::parse_claim_holder(
            R"({"instance":"a","size":)" + std::string(bad) + "}", reason))
            << bad;
    }
}

} // namespace fuchsia::tests::contract::inputs
