#include "tools/soak/owner_watch.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tools::soak;

namespace
{

constexpr char const* taken = "T INFO fuchsia-pool claim_taken epoch=1\n";
constexpr char const* settled =
    "T INFO fuchsia-pool takeover_settled epoch=1 unreached=0\n";
constexpr char const* ended =
    "T INFO fuchsia-pool owner_ended epoch=1 working=true\n";

} // namespace

// If an instance counted as a working owner from its claim on, a takeover that
// is never complete would not be found.
TEST(soak_owner_watch, instance_works_from_the_end_of_its_takeover)
{
    owner_log_reader log;
    EXPECT_FALSE(log.working());
    log.read(taken);
    EXPECT_FALSE(log.working());
    log.read(settled);
    EXPECT_TRUE(log.working());
    log.read(ended);
    EXPECT_FALSE(log.working());
}

// The log is read while the instance writes it.
TEST(soak_owner_watch, line_that_is_read_in_two_parts_counts_once_complete)
{
    owner_log_reader log;
    std::string const line = settled;
    log.read(line.substr(0, 30));
    EXPECT_FALSE(log.working());
    log.read(line.substr(30));
    EXPECT_TRUE(log.working());
}

TEST(soak_owner_watch, instance_that_was_started_again_does_not_work)
{
    owner_log_reader log;
    log.read(settled);
    log.restart();
    EXPECT_FALSE(log.working());
}

TEST(soak_owner_watch, last_of_several_changes_counts)
{
    owner_log_reader log;
    log.read(std::string(settled) + ended + taken + settled);
    EXPECT_TRUE(log.working());
}
