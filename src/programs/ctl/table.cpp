#include "programs/ctl/table.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <ostream>

namespace fuchsia::programs::ctl
{

namespace
{

boost::json::value const* find(boost::json::value const& row,
                               std::string_view key)
{
    if (!row.is_object())
    {
        return nullptr;
    }
    auto const dot = key.find('.');
    auto const* value = row.get_object().if_contains(key.substr(0, dot));
    if (value == nullptr || dot == std::string_view::npos)
    {
        return value;
    }
    return find(*value, key.substr(dot + 1));
}

bool is_number(std::string const& text)
{
    return !text.empty() &&
           std::all_of(text.begin(),
                       text.end(),
                       [](char character)
                       {
                           return (character >= '0' && character <= '9') ||
                                  character == '.' || character == '-';
                       });
}

} // namespace

std::string plain_text(boost::json::value const& value)
{
    if (value.is_null())
    {
        return "-";
    }
    if (value.is_string())
    {
        return value.get_string().empty() ? "-"
                                          : std::string(value.get_string());
    }
    if (value.is_bool())
    {
        return value.get_bool() ? "yes" : "no";
    }
    return boost::json::serialize(value);
}

void print_table(std::ostream& out,
                 std::vector<column> const& columns,
                 boost::json::array const& rows)
{
    std::vector<std::vector<std::string>> lines;
    lines.reserve(rows.size());
    std::vector<std::size_t> widths;
    std::vector<bool> numeric(columns.size(), true);
    widths.reserve(columns.size());
    for (auto const& definition : columns)
    {
        widths.push_back(definition.heading.size());
    }
    for (auto const& row : rows)
    {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (std::size_t index = 0; index < columns.size(); ++index)
        {
            auto const* value = find(row, columns[index].key);
            line.push_back(value == nullptr ? "-" : plain_text(*value));
            widths[index] = std::max(widths[index], line.back().size());
            numeric[index] = numeric[index] && is_number(line.back());
        }
        lines.push_back(std::move(line));
    }
    auto const print = [&](std::size_t index, std::string_view text)
    {
        bool const last = index + 1 == columns.size();
        out << (numeric[index] ? std::right : std::left)
            << std::setw(last && !numeric[index]
                             ? 0
                             : static_cast<int>(widths[index]))
            << text << (last ? "\n" : "  ");
    };
    for (std::size_t index = 0; index < columns.size(); ++index)
    {
        print(index, columns[index].heading);
    }
    for (auto const& line : lines)
    {
        for (std::size_t index = 0; index < line.size(); ++index)
        {
            print(index, line[index]);
        }
    }
}

void print_members(std::ostream& out,
                   boost::json::object const& object,
                   std::string const& prefix)
{
    for (auto const& member : object)
    {
        std::string const key = prefix + std::string(member.key());
        if (member.value().is_object())
        {
            print_members(out, member.value().get_object(), key + ".");
        }
        else if (!member.value().is_array())
        {
            out << key << ": " << plain_text(member.value()) << '\n';
        }
    }
}

} // namespace fuchsia::programs::ctl
