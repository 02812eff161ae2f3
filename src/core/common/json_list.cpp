#include "core/common/json_list.hpp"

#include <algorithm>
#include <cstddef>

namespace fuchsia::core::common
{

namespace
{

constexpr std::string_view json_spaces = " \t\r\n";

std::string_view trimmed(std::string_view text)
{
    auto const start = text.find_first_not_of(json_spaces);
    if (start == std::string_view::npos)
    {
        return {};
    }
    auto const last = text.find_last_not_of(json_spaces);
    return text.substr(start, last + 1 - start);
}

constexpr std::size_t no_end = std::string_view::npos;

// Returns the position behind the string that begins at `start`, if it ends.
std::size_t end_of_string(std::string_view text, std::size_t start)
{
    for (std::size_t at = start + 1; at < text.size(); ++at)
    {
        if (text[at] == '\\')
        {
            ++at;
        }
        else if (text[at] == '"')
        {
            return at + 1;
        }
    }
    return no_end;
}

// Returns the position behind the object, array or string that begins at
// `start`, by its brackets alone, if it ends.
std::size_t end_of_value(std::string_view text, std::size_t start)
{
    std::size_t depth = 0;
    for (std::size_t at = start; at < text.size();)
    {
        char const character = text[at];
        depth += character == '[' || character == '{' ? 1 : 0;
        depth -= character == ']' || character == '}' ? 1 : 0;
        at = character == '"' ? end_of_string(text, at) : at + 1;
        if (depth == 0)
        {
            return at;
        }
    }
    return no_end;
}

// Returns the position behind the first element of `text`, and behind the
// spaces that follow it, if it ends.
std::size_t end_of_element(std::string_view text)
{
    bool const delimited =
        std::string_view("[{\"").find(text.front()) != std::string_view::npos;
    if (!delimited)
    {
        return std::min(text.find_first_of(",[]{}\""), text.size());
    }
    auto const end = end_of_value(text, 0);
    return end == no_end ? no_end
                         : std::min(text.find_first_not_of(json_spaces, end),
                                    text.size());
}

} // namespace

std::optional<std::vector<std::string_view>>
split_json_array(std::string_view text)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != '[' || text.back() != ']')
    {
        return std::nullopt;
    }
    auto rest = trimmed(text.substr(1, text.size() - 2));
    std::vector<std::string_view> result;
    while (!rest.empty())
    {
        auto const end = end_of_element(rest);
        if (end == no_end)
        {
            return std::nullopt;
        }
        auto const element = trimmed(rest.substr(0, end));
        bool const last = end == rest.size();
        if (element.empty() || (!last && rest[end] != ','))
        {
            return std::nullopt;
        }
        result.push_back(element);
        if (last)
        {
            return result;
        }
        rest = trimmed(rest.substr(end + 1));
        if (rest.empty())
        {
            return std::nullopt; // Nothing follows the last comma.
        }
    }
    return result;
}

} // namespace fuchsia::core::common
