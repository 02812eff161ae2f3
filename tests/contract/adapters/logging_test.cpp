#include "adapters/logging/logger.hpp"

#include <gtest/gtest.h>

namespace fuchsia::adapters::logging
{

TEST(logging, a_line_from_the_level_upwards_reaches_standard_output)
{
    // A logger that was set up with properties the library doesn't read
    // prints one complaint at the start and then nothing: an operator sees an
    // empty log.
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
