#include "adapters/logging/logger.hpp"

#include <gtest/gtest.h>

namespace fuchsia::adapters::logging
{

TEST(logging, writes_lines_at_or_above_the_level_to_standard_output)
{
    // With properties that log4cplus does not know it prints one warning at the
    // start and then nothing, and an operator sees an empty log.
    testing::internal::CaptureStdout();
    initialize("program-a", ports::severity::info);
    write(ports::severity::debug, "too_small", {});
    write(ports::severity::warning, "takeover", {{"partition", "7"}});
    auto const text = testing::internal::GetCapturedStdout();
    EXPECT_NE(text.find("WARN program-a takeover partition=7\n"),
              std::string::npos)
        << text;
    EXPECT_EQ(text.find("too_small"), std::string::npos) << text;
}

} // namespace fuchsia::adapters::logging
