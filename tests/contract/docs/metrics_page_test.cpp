#include "contract/docs/page.hpp"

#include <algorithm>
#include <filesystem>
#include <gtest/gtest.h>
#include <regex>
#include <set>

using namespace fuchsia;

namespace
{

/// Returns the metric names that are literals in the sources of the programs.
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
        for (std::sregex_iterator match(text.begin(), text.end(), literal);
             match != end;
             ++match)
        {
            names.insert((*match)[1]);
        }
    }
    return names;
}

} // namespace

// Guards against a metric that the page lacks, and against a documented metric
// that no process has.
TEST(metrics_page, documents_exactly_the_names_in_the_code_once)
{
    std::set<std::string> documented_names;
    for (auto const& row : tests::table_rows("METRICS.md", 5))
    {
        auto const& cell = row[0];
        ASSERT_GT(cell.size(), 2U);
        EXPECT_TRUE(
            documented_names.insert(cell.substr(1, cell.size() - 2)).second)
            << cell << " is listed twice";
        EXPECT_FALSE(row[3].empty()) << cell;
    }
    EXPECT_EQ(documented_names, names_in_code());
}
