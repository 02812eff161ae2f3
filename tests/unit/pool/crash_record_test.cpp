#include "core/pool/crash_record.hpp"

#include <gtest/gtest.h>

// What crashes say about a task, without an owner.
using namespace fuchsia::core::pool;
using namespace std::chrono_literals;

namespace
{

crash_record record_of(int alone, int shared, int confirmed)
{
    crash_record result;
    for (int number = 0; number < alone; ++number)
    {
        result.blame(crash_evidence::alone);
    }
    for (int number = 0; number < shared; ++number)
    {
        result.blame(crash_evidence::shared);
    }
    for (int number = 0; number < confirmed; ++number)
    {
        result.confirm();
    }
    return result;
}

} // namespace

// Guards against a task that is given up for less than two crashes of its own
// and one more, or for workers that may only have been cut off.
TEST(pool_crash_record, evidence_and_confirmation_end_the_attempts)
{
    EXPECT_FALSE(record_of(0, 0, 0).is_exhausted());
    EXPECT_FALSE(record_of(2, 0, 2).is_exhausted());
    EXPECT_TRUE(record_of(2, 1, 2).is_exhausted());
    EXPECT_TRUE(record_of(3, 0, 2).is_exhausted());
    EXPECT_FALSE(record_of(1, 2, 3).is_exhausted());
    EXPECT_FALSE(record_of(4, 0, 1).is_exhausted());
}

// Guards against more starts than the fifth crash allows, whatever is known.
TEST(pool_crash_record, the_fifth_crash_ends_the_attempts)
{
    EXPECT_FALSE(record_of(0, 4, 4).is_exhausted());
    EXPECT_TRUE(record_of(0, 5, 0).is_exhausted());
    EXPECT_TRUE(record_of(5, 0, 0).is_exhausted());
}

// Guards against blame that stays after it was withdrawn, or that is withdrawn
// twice.
TEST(pool_crash_record, withdrawn_blame_takes_its_confirmation_along)
{
    auto record = record_of(1, 0, 1);
    record.withdraw(crash_evidence::alone);
    record.withdraw(crash_evidence::alone);
    EXPECT_EQ(record.crashes(), 0U);
    EXPECT_EQ(record.confirmed, 0U);
    EXPECT_FALSE(record.is_suspect());
}

// Guards against a late crash that is taken for survival.
TEST(pool_crash_record, a_run_has_to_outlive_twice_the_age_of_lost_ones)
{
    crash_record record;
    EXPECT_EQ(record.clearing_run(), min_clearing_run);
    record.note_lost_run(4s);
    record.note_lost_run(2s);
    EXPECT_EQ(record.clearing_run(), 8s);
    record.note_lost_run(1h);
    EXPECT_EQ(record.clearing_run(), max_clearing_run);
}
