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
                       [](char letter)
                       {
                           return (letter >= '0' && letter <= '9') ||
                                  letter == '.' || letter == '-';
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
    for (auto const& each : columns)
    {
        widths.push_back(each.heading.size());
    }
    for (auto const& row : rows)
    {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (std::size_t at = 0; at < columns.size(); ++at)
        {
            auto const* value = find(row, columns[at].key);
            line.push_back(value == nullptr ? "-" : plain_text(*value));
            widths[at] = std::max(widths[at], line.back().size());
            numeric[at] = numeric[at] && is_number(line.back());
        }
        lines.push_back(std::move(line));
    }
    auto const print = [&](std::size_t at, std::string_view text)
    {
        bool const last = at + 1 == columns.size();
        out << (numeric[at] ? std::right : std::left)
            << std::setw(last && !numeric[at] ? 0
                                              : static_cast<int>(widths[at]))
            << text << (last ? "\n" : "  ");
    };
    for (std::size_t at = 0; at < columns.size(); ++at)
    {
        print(at, columns[at].heading);
    }
    for (auto const& line : lines)
    {
        for (std::size_t at = 0; at < line.size(); ++at)
        {
            print(at, line[at]);
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
