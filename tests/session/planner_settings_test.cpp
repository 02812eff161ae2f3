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

/// Returns the example with all commented-out keys enabled.
std::string full_example()
{
    return std::regex_replace(
        example(), std::regex("\n# ([a-z_]+ = [^\n]+)"), "\n$1");
}

} // namespace

TEST(planner_settings, example_is_valid_with_all_its_keys_enabled)
{
    core::common::failure reason;
    auto const minimal = parse_planner_settings(example(), "plain", reason);
    ASSERT_TRUE(minimal) << to_string(reason);
    auto const full = parse_planner_settings(full_example(), "all", reason);
    ASSERT_TRUE(full) << to_string(reason);
    EXPECT_EQ(minimal->planner.cell.lease_duration,
              full->planner.cell.lease_duration);
    EXPECT_EQ(minimal->planner.cell.ramp_up_duration,
              full->planner.cell.ramp_up_duration);
    EXPECT_EQ(minimal->planner.cell.policy.index(),
              full->planner.cell.policy.index());
    EXPECT_EQ(minimal->planner.workers.report_lag,
              full->planner.workers.report_lag);
}

TEST(planner_settings, invalid_and_inconsistent_values_are_rejected)
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
