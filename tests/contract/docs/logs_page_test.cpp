#include "contract/docs/page.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <regex>
#include <set>
#include <string>

using namespace fuchsia;

namespace
{

/// Events that stand in the sources of the pool's program.
std::set<std::string> events_in_code()
{
    std::set<std::string> events;
    std::regex const logged(R"(severity::\w+,\s*"([a-z_]+)\")");
    for (auto const* folder :
         {"/src/core/pool", "/src/programs/pool", "/platform"})
    {
        for (auto const& file : std::filesystem::directory_iterator(
                 std::string(FUCHSIA_SOURCE_DIR) + folder))
        {
            std::ifstream in(file.path());
            std::string const text{std::istreambuf_iterator<char>(in), {}};
            for (std::sregex_iterator at(text.begin(), text.end(), logged), end;
                 at != end;
                 ++at)
            {
                events.insert((*at)[1]);
            }
        }
    }
    return events;
}

} // namespace

// Somebody looks a line up and the page does not know it, or waits for one that
// no process writes.
TEST(logs_page, has_each_event_in_the_code_and_no_other)
{
    std::set<std::string> on_page;
    for (auto const& row : tests::table_rows("LOGS.md", 3))
    {
        EXPECT_TRUE(on_page.insert(row[0].substr(1, row[0].size() - 2)).second)
            << row[0] << " stands twice";
    }
    EXPECT_EQ(on_page, events_in_code());
}
