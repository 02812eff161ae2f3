#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace
{

std::string text_of(std::filesystem::path const& path)
{
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// Returns "suite.name" of every test in the test sources.
std::set<std::string> tests_in_sources()
{
    std::regex const test(R"(TEST(?:_F|_P)?\(\s*(\w+),\s*(\w+)\s*\))");
    std::set<std::string> names;
    auto const folder = std::filesystem::path(FUCHSIA_SOURCE_DIR) / "tests";
    for (auto const& entry :
         std::filesystem::recursive_directory_iterator(folder))
    {
        if (entry.path().extension() != ".cpp")
        {
            continue;
        }
        auto const text = text_of(entry.path());
        for (std::sregex_iterator match(text.begin(), text.end(), test), end;
             match != end;
             ++match)
        {
            names.insert((*match)[1].str() + "." + (*match)[2].str());
        }
    }
    return names;
}

} // namespace

// Guards against a page that names a renamed or deleted test.
TEST(proofs_page, every_named_test_exists)
{
    auto const page = text_of(std::filesystem::path(FUCHSIA_SOURCE_DIR) /
                              "docs" / "PROOFS.md");
    auto const existing_tests = tests_in_sources();
    std::regex const quoted_test(R"(`(\w+\.\w+)`)");
    std::size_t count = 0;
    for (std::sregex_iterator match(page.begin(), page.end(), quoted_test), end;
         match != end;
         ++match)
    {
        auto const name = (*match)[1].str();
        bool const is_file = name.ends_with(".cpp") || name.ends_with(".hpp") ||
                             name.ends_with(".py");
        if (!is_file)
        {
            EXPECT_TRUE(existing_tests.contains(name)) << name;
            ++count;
        }
    }
    // The page has ten items, and each must name at least one test.
    EXPECT_GE(count, 10U);
}
