#include "core/common/result_code.hpp"

#include <gtest/gtest.h>
#include <set>

using namespace fuchsia::core::common;

TEST(result_code, codes_and_names_are_unique)
{
    std::set<result_code> codes;
    std::set<std::string_view> names;
    for (auto const& row : result_code_table)
    {
        EXPECT_TRUE(codes.insert(row.code).second) << row.name;
        EXPECT_TRUE(names.insert(row.name).second) << row.name;
        EXPECT_EQ(&row_of(row.code), &row);
    }
}

TEST(result_code, failure_text_has_code_name_place_and_reason)
{
    failure const reason{
        result_code::out_of_range, "a.toml:7", "hold must be below bury"};
    EXPECT_EQ(to_string(reason),
              "1009 out_of_range at a.toml:7: hold must be below bury");
}
