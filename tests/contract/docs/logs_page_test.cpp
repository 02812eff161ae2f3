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

/// Returns the log events in the sources of the pool program and in the
/// platform folder.
std::set<std::string> events_in_code()
{
    std::set<std::string> events;
    std::regex const log_call(R"(severity::\w+,\s*"([a-z_]+)\")");
    for (auto const* folder :
         {"/src/core/pool", "/src/programs/pool", "/platform"})
    {
        for (auto const& file : std::filesystem::directory_iterator(
                 std::string(FUCHSIA_SOURCE_DIR) + folder))
        {
            std::ifstream stream(file.path());
            std::string const text{std::istreambuf_iterator<char>(stream), {}};
            for (std::sregex_iterator match(text.begin(), text.end(), log_call),
                 end;
                 match != end;
                 ++match)
            {
                events.insert((*match)[1]);
            }
        }
    }
    return events;
}

} // namespace

// Guards against a logged event that is missing in docs/LOGS.md, and against a
// documented event that no source file writes.
TEST(logs_page, documents_exactly_the_events_in_the_code)
{
    std::set<std::string> documented_events;
    for (auto const& row : tests::table_rows("LOGS.md", 3))
    {
        EXPECT_TRUE(
            documented_events.insert(row[0].substr(1, row[0].size() - 2))
                .second)
            << row[0] << " is listed twice";
    }
    EXPECT_EQ(documented_events, events_in_code());
}
