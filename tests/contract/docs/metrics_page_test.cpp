#include "contract/docs/page.hpp"

#include <algorithm>
#include <filesystem>
#include <gtest/gtest.h>
#include <regex>
#include <set>

using namespace fuchsia;

namespace
{

/// Names of metrics that stand as literals in the sources of both daemons.
std::set<std::string> names_in_code()
{
    std::set<std::string> names;
    std::regex const literal("\"(fuchsia_[a-z_]+)\"");
    namespace fs = std::filesystem;
    for (auto const& file :
         fs::recursive_directory_iterator(FUCHSIA_SOURCE_DIR "/src"))
    {
        if (file.path().extension() != ".cpp")
        {
            continue;
        }
        std::ifstream stream(file.path());
        std::ostringstream buffer;
        buffer << stream.rdbuf();
        auto const text = buffer.str();
        std::sregex_iterator const end;
        for (std::sregex_iterator at(text.begin(), text.end(), literal);
             at != end;
             ++at)
        {
            names.insert((*at)[1]);
        }
    }
    return names;
}

} // namespace

// Somebody on call sees a metric move, and the page does not know it; or the
// page sends them to one that no process has.
TEST(metrics_page, has_each_name_in_the_code_once_and_no_other)
{
    std::set<std::string> on_page;
    for (auto const& row : tests::table_rows("METRICS.md", 5))
    {
        auto const& cell = row[0];
        ASSERT_GT(cell.size(), 2U);
        EXPECT_TRUE(on_page.insert(cell.substr(1, cell.size() - 2)).second)
            << cell << " stands twice";
        EXPECT_FALSE(row[3].empty()) << cell;
    }
    EXPECT_EQ(on_page, names_in_code());
}
