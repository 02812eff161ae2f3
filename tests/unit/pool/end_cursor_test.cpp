#include "core/pool/end_cursor.hpp"

#include <gtest/gtest.h>

#include <initializer_list>

using fuchsia::core::pool::end_cursor;

namespace
{

void report(end_cursor& cursor,
            std::initializer_list<std::uint64_t> ends,
            bool full)
{
    for (auto const end : ends)
    {
        cursor.add(end);
    }
    cursor.finish_report(full);
}

} // namespace

// Guards against an acknowledgement of ends that a full list has left out.
TEST(pool_end_cursor, a_gap_in_a_full_list_is_not_passed)
{
    end_cursor cursor;
    report(cursor, {1, 2, 4}, true);
    EXPECT_EQ(cursor.processed(), 2U);
    EXPECT_TRUE(cursor.has_gap());
    report(cursor, {3, 4, 5}, true);
    EXPECT_EQ(cursor.processed(), 5U);
    EXPECT_FALSE(cursor.has_gap());
}

// Guards against the same with a worker that lists its newest ends first.
TEST(pool_end_cursor, the_oldest_ends_may_come_last)
{
    end_cursor cursor;
    report(cursor, {1}, false);
    report(cursor, {4, 5}, true);
    EXPECT_EQ(cursor.processed(), 1U);
    report(cursor, {2, 3}, true);
    EXPECT_EQ(cursor.processed(), 5U);
}

// Guards against a wait for ends that an earlier owner has acknowledged.
TEST(pool_end_cursor, the_first_list_may_begin_anywhere)
{
    end_cursor cursor;
    report(cursor, {301, 302}, true);
    EXPECT_EQ(cursor.processed(), 302U);
    EXPECT_FALSE(cursor.caught_up());
}

// Guards against a wait for numbers that no end has.
TEST(pool_end_cursor, a_list_that_is_not_full_holds_all_ends)
{
    end_cursor cursor;
    report(cursor, {2, 7, 5}, false);
    EXPECT_EQ(cursor.processed(), 7U);
    EXPECT_TRUE(cursor.caught_up());
    EXPECT_FALSE(cursor.has_unlisted());
}

// Guards against a takeover that never ends since a worker skips numbers.
TEST(pool_end_cursor, a_gap_that_stays_is_passed_in_the_end)
{
    end_cursor cursor;
    report(cursor, {1, 2}, true);
    for (int reports = 0; reports < 8; ++reports)
    {
        EXPECT_EQ(cursor.processed(), 2U);
        report(cursor, {4, 5, 7}, true);
    }
    EXPECT_EQ(cursor.processed(), 5U);
    report(cursor, {7, 8}, true);
    EXPECT_EQ(cursor.processed(), 5U);
}

// Guards against a second count of an end that is listed again.
TEST(pool_end_cursor, an_end_is_new_once)
{
    end_cursor cursor;
    EXPECT_TRUE(cursor.add(2));
    EXPECT_FALSE(cursor.add(2));
    cursor.finish_report(true);
    EXPECT_FALSE(cursor.add(2));
    EXPECT_TRUE(cursor.add(4));
    cursor.finish_report(true);
    EXPECT_FALSE(cursor.add(4));
}
