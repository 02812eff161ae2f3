#include "contract/docs/page.hpp"
#include "core/common/result_code.hpp"

#include <gtest/gtest.h>

using namespace fuchsia;
using core::common::result_code_table;

// Guards against an operator finding no row, or a wrong one, for an error code.
TEST(errors_page, rows_match_the_result_code_table_in_order)
{
    auto const rows = tests::table_rows("ERRORS.md", 6);
    ASSERT_EQ(rows.size(), result_code_table.size());
    for (std::size_t index = 0; index < rows.size(); ++index)
    {
        auto const& expected = result_code_table[index];
        auto const& row = rows[index];
        EXPECT_EQ(row[0], std::to_string(static_cast<unsigned>(expected.code)));
        EXPECT_EQ(row[1], "`" + std::string(expected.name) + "`");
        EXPECT_EQ(row[2], std::to_string(expected.http_status))
            << expected.name;
        EXPECT_EQ(row[3], core::common::name_of(expected.request_outcome))
            << expected.name;
        EXPECT_EQ(row[4], expected.meaning) << expected.name;
        EXPECT_FALSE(row[5].empty()) << expected.name;
    }
}
