#pragma once

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>
#include <vector>

namespace fuchsia::tests
{

/// Returns the text of a page in docs/.
inline std::string page(std::string const& name)
{
    std::ifstream file(std::string(FUCHSIA_SOURCE_DIR "/docs/") + name);
    EXPECT_TRUE(file) << name;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the cells of all rows of a page's tables with `columns` columns,
/// without the headings and the separator lines below them.
inline std::vector<std::vector<std::string>> table_rows(std::string const& name,
                                                        std::size_t columns)
{
    std::vector<std::vector<std::string>> rows;
    std::istringstream lines(page(name));
    std::string line;
    bool in_table = false;
    while (std::getline(lines, line))
    {
        if (!line.starts_with("| ") && !line.starts_with("|-"))
        {
            in_table = false;
            continue;
        }
        bool const heading = !in_table;
        in_table = true;
        std::vector<std::string> cells;
        std::size_t begin = 1;
        for (auto end = line.find('|', begin); end != std::string::npos;
             end = line.find('|', begin))
        {
            auto const cell = line.substr(begin, end - begin);
            auto const first = cell.find_first_not_of(' ');
            auto const last = cell.find_last_not_of(' ');
            cells.push_back(first == std::string::npos
                                ? std::string{}
                                : cell.substr(first, last - first + 1));
            begin = end + 1;
        }
        if (!heading && cells.size() == columns && !line.starts_with("|-"))
        {
            rows.push_back(std::move(cells));
        }
    }
    return rows;
}

} // namespace fuchsia::tests
