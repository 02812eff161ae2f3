#include "contract/docs/page.hpp"
#include "core/common/result_code.hpp"

#include <gtest/gtest.h>

using namespace fuchsia;
using core::common::result_code_table;

// An operator looks a number up and finds nothing, or something else.
TEST(errors_page, has_the_rows_of_the_table_in_its_order)
{
    auto const rows = tests::table_rows("ERRORS.md", 6);
    ASSERT_EQ(rows.size(), result_code_table.size());
    for (std::size_t at = 0; at < rows.size(); ++at)
    {
        auto const& in_code = result_code_table[at];
        auto const& on_page = rows[at];
        EXPECT_EQ(on_page[0],
                  std::to_string(static_cast<unsigned>(in_code.code)));
        EXPECT_EQ(on_page[1], "`" + std::string(in_code.name) + "`");
        EXPECT_EQ(on_page[2], std::to_string(in_code.http_status))
            << in_code.name;
        EXPECT_EQ(on_page[3], core::common::name_of(in_code.request_outcome))
            << in_code.name;
        EXPECT_EQ(on_page[4], in_code.meaning) << in_code.name;
        EXPECT_FALSE(on_page[5].empty()) << in_code.name;
    }
}
