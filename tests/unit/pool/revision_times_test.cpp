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

time_point at(std::chrono::milliseconds offset)
{
    return time_point{} + offset;
}

} // namespace

// Guards against considering a record newer than it is when answers arrive late
// or out of order.
TEST(revision_times, the_age_of_a_record_counts_from_the_time_the_call_was_sent)
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

// Guards against taking an answer without a revision for an answer from an
// empty store.
TEST(revision_times, an_answer_without_a_revision_is_ignored)
{
    revision_times times;
    times.note(at(1000ms), 0);
    EXPECT_FALSE(times.complete_until(100).has_value());
}

// Guards against accepting a malformed record of waiting jobs, on which an
// instance would fail.
TEST(backlog, a_malformed_record_is_rejected_with_a_reason)
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
    auto const parsed =
        parse_backlog(to_json(backlog{7, {{"a", 2}, {"b", 0}}}), reason);
    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(parsed->synced_revision, 7U);
    EXPECT_EQ(parsed->waiting.at("a"), 2U);
}
