#include "adapters/settings/planner_settings.hpp"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <sstream>
#include <unistd.h>

using namespace fuchsia;
using adapters::settings::parse_planner_settings;
using core::common::result_code;

namespace
{

std::string example()
{
    std::ifstream file(FUCHSIA_SOURCE_DIR "/examples/planner.toml");
    std::ostringstream text;
    text << file.rdbuf();
    auto const token = testing::TempDir() + "planner_settings_token_" +
                       std::to_string(::getpid());
    std::ofstream(token) << "0123456789abcdef\n";
    return std::regex_replace(text.str(),
                              std::regex("token_file = \"token\""),
                              "token_file = \"" + token + "\"");
}

/// The example with each key that it shows as a comment switched on.
std::string whole_example()
{
    return std::regex_replace(
        example(), std::regex("\n# ([a-z_]+ = [^\n]+)"), "\n$1");
}

} // namespace

TEST(planner_settings, reads_the_example_with_every_key_it_shows)
{
    core::common::failure reason;
    auto const plain = parse_planner_settings(example(), "plain", reason);
    ASSERT_TRUE(plain) << to_string(reason);
    auto const whole = parse_planner_settings(whole_example(), "all", reason);
    ASSERT_TRUE(whole) << to_string(reason);
    EXPECT_EQ(plain->planner.cell.lease_duration,
              whole->planner.cell.lease_duration);
    EXPECT_EQ(plain->planner.cell.ramp_up_duration,
              whole->planner.cell.ramp_up_duration);
    EXPECT_EQ(plain->planner.cell.policy.index(),
              whole->planner.cell.policy.index());
    EXPECT_EQ(plain->planner.workers.report_lag,
              whole->planner.workers.report_lag);
}

TEST(planner_settings, refuses_what_contradicts_itself)
{
    std::vector<std::pair<std::string, result_code>> const cases{
        {"lease_ms = 5000", result_code::inconsistent},
        {"renew_interval_ms = 9000", result_code::inconsistent},
        {"send_window_ms = 9000", result_code::inconsistent},
        {"lease_ms = 1", result_code::out_of_range},
        {"leese_ms = 15000", result_code::unknown_key},
        {"lease_ms = \"long\"", result_code::wrong_type},
    };
    for (auto const& [line, code] : cases)
    {
        core::common::failure reason;
        auto const text = std::regex_replace(
            example(), std::regex("\n\\[tasks\\]"), "\n[tasks]\n" + line);
        EXPECT_FALSE(parse_planner_settings(text, "bad.toml", reason)) << line;
        EXPECT_EQ(reason.code, code) << line << ": " << to_string(reason);
        EXPECT_NE(reason.where.find("bad.toml"), std::string::npos);
    }
}
