#include "core/pool/progress.hpp"

#include <gtest/gtest.h>
#include <string>

// Odd records of the pool that were believed once.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;

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

} // namespace fuchsia::tests::contract::inputs
