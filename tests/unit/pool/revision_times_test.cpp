#include "core/pool/backlog.hpp"
#include "core/pool/revision_times.hpp"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using fuchsia::core::common::time_point;
using fuchsia::core::pool::backlog;
using fuchsia::core::pool::parse_backlog;
using fuchsia::core::pool::revision_times;

namespace
{

time_point at(std::chrono::milliseconds when)
{
    return time_point{} + when;
}

} // namespace

// A record counts as newer than it is when answers come late or out of order.
TEST(revision_times, a_record_is_as_old_as_the_call_that_proves_it)
{
    revision_times times;
    times.note(at(1000ms), 10);
    times.note(at(3000ms), 30);
    times.note(at(2000ms), 30);
    EXPECT_FALSE(times.complete_until(9).has_value());
    EXPECT_EQ(times.complete_until(10), at(1000ms));
    EXPECT_EQ(times.complete_until(29), at(1000ms));
    EXPECT_EQ(times.complete_until(30), at(3000ms));
}

// Answers without a revision are taken for the beginning of the store.
TEST(revision_times, an_answer_without_a_revision_says_nothing)
{
    revision_times times;
    times.note(at(1000ms), 0);
    EXPECT_FALSE(times.complete_until(100).has_value());
}

// An instance fails on a record that is no record of waiting jobs.
TEST(backlog, a_record_that_is_none_gives_a_reason)
{
    for (auto const* const text : {"",
                                   "7",
                                   "{}",
                                   R"({"heard":1})",
                                   R"({"heard":-1,"waiting":{}})",
                                   R"({"heard":1,"waiting":{"q":-3}})",
                                   R"({"heard":1,"waiting":[]})",
                                   R"({"waiting":{"q":3}})"})
    {
        fuchsia::core::common::failure reason;
        EXPECT_FALSE(parse_backlog(text, reason).has_value()) << text;
        EXPECT_NE(reason.code, fuchsia::core::common::result_code::ok) << text;
    }
    fuchsia::core::common::failure reason;
    auto const read =
        parse_backlog(to_json(backlog{7, {{"a", 2}, {"b", 0}}}), reason);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->synced_revision, 7U);
    EXPECT_EQ(read->waiting.at("a"), 2U);
}
