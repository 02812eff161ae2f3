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
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// "suite.name" of every test that stands in the test sources.
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
        for (std::sregex_iterator at(text.begin(), text.end(), test), end;
             at != end;
             ++at)
        {
            names.insert((*at)[1].str() + "." + (*at)[2].str());
        }
    }
    return names;
}

} // namespace

TEST(proofs_page, every_test_that_it_names_exists)
{
    auto const page = text_of(std::filesystem::path(FUCHSIA_SOURCE_DIR) /
                              "docs" / "PROOFS.md");
    auto const known = tests_in_sources();
    std::regex const named(R"(`(\w+\.\w+)`)");
    std::size_t count = 0;
    for (std::sregex_iterator at(page.begin(), page.end(), named), end;
         at != end;
         ++at)
    {
        auto const name = (*at)[1].str();
        bool const is_file = name.ends_with(".cpp") || name.ends_with(".hpp") ||
                             name.ends_with(".py");
        if (!is_file)
        {
            EXPECT_TRUE(known.contains(name)) << name;
            ++count;
        }
    }
    // Each of the ten points names at least one.
    EXPECT_GE(count, 10U);
}
