#include "adapters/settings/daemon_settings.hpp"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace fuchsia;
using core::common::result_code;

namespace
{

std::string token_path()
{
    auto path = testing::TempDir() + "fuchsia_settings_test_token_" +
                std::to_string(::getpid());
    std::ofstream(path) << "0123456789abcdef\n";
    return path;
}

std::string good_settings()
{
    return "[self]\n"
           "name = \"entry-1\"\n"
           "data_centre = \"kochi-a\"\n"
           "http_listen = \"127.0.0.1:8080\"\n"
           "peer_listen = \"127.0.0.1:8081\"\n"
           "[platform]\n"
           "store = \"127.0.0.1:8500\"\n"
           "[security]\n"
           "token_file = \"" +
           token_path() +
           "\"\n"
           "[membership]\n"
           "hold_ms = 2000\n";
}

core::common::failure read(std::string const& text)
{
    core::common::failure reason;
    auto const file =
        adapters::settings::toml_file::parse(text, "a.toml", reason);
    if (!file)
    {
        return reason;
    }
    auto root = file->root();
    adapters::settings::read_daemon_settings(root, false);
    root.reject_unknown_keys();
    return file->reason();
}

std::string with_replacement(std::string text,
                             std::string const& from,
                             std::string const& to)
{
    auto const position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return text.replace(position, from.size(), to);
}

} // namespace

TEST(daemon_settings, valid_file_is_accepted)
{
    EXPECT_EQ(to_string(read(good_settings())), "0 ok");
}

// An error in a settings file must be reported with its line and a reason.
TEST(daemon_settings, each_error_names_its_line_and_reason)
{
    struct fault_case
    {
        std::string from;
        std::string to;
        result_code code;
        std::string where;
    };
    std::vector<fault_case> const cases{
        {"name = \"entry-1\"", "name = 7", result_code::wrong_type, ":2"},
        {"name = \"entry-1\"", "nome = \"x\"", result_code::missing_key, ":1"},
        {"data_centre", "x = 1\ndata_centre", result_code::unknown_key, ":3"},
        {"127.0.0.1:8080", "localhost:8080", result_code::out_of_range, ":4"},
        {"hold_ms = 2000", "hold_ms = 600", result_code::inconsistent, ":11"},
        {"hold_ms = 2000", "bury_ms = 2050", result_code::inconsistent, ":11"},
        {"hold_ms = 2000", "hold_ms = -1", result_code::out_of_range, ":11"},
        {"hold_ms = 2000", "hold_ms = ", result_code::malformed_toml, ":11"},
        {"[membership]", "[member]", result_code::unknown_key, ":10"},
    };
    for (auto const& test_case : cases)
    {
        auto const reason = read(
            with_replacement(good_settings(), test_case.from, test_case.to));
        EXPECT_EQ(reason.code, test_case.code)
            << test_case.to << to_string(reason);
        EXPECT_EQ(reason.where, "a.toml" + test_case.where)
            << to_string(reason);
        EXPECT_FALSE(reason.why.empty());
    }
}
