#include "contract/inputs/input_mutator.hpp"

#include <array>
#include <boost/json.hpp>
#include <utility>
#include <vector>

namespace fuchsia::tests::contract::inputs
{

namespace
{

namespace json = boost::json;

constexpr std::size_t most_damages = 3;
constexpr std::size_t long_text = 20'000;
constexpr std::size_t long_list = 5000;
constexpr std::size_t deep_nesting = 5000;

/// Numbers at which types and bounds end, and what is mistaken for a number.
constexpr std::array<std::string_view, 32> odd_values{
    "0",
    "1",
    "-1",
    "2",
    "100",
    "101",
    "-0.0",
    "0.5",
    "-2.5",
    "1e3",
    "1e300",
    "-1e300",
    "1e999",
    "5e-324",
    "65536",
    "1000001",
    "2147483648",
    "4294967295",
    "4294967296",
    "4294967297",
    "4503599627370497",
    "9007199254740993",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551615",
    "1e18",
    "\"NaN\"",
    "\"\"",
    "\"1\"",
    "null",
    "true",
    "false",
};

constexpr std::array<std::string_view, 12> odd_texts{
    "a.0.0.0.0",
    "a.4294967296.0.1",
    "a.99999999999999999999.0.1",
    "a.-1.0.1",
    "a.+1.0.1",
    "....",
    "a.0.0",
    "../../x",
    "x&staleOk=1",
    "a\r\nb: c",
    "\xc3\xa4\xe2\x82\xac",
    "=====",
};

constexpr std::array<std::string_view, 10> odd_bytes{
    "\xff\xfe",
    "\xc0\x80",
    "\xed\xa0\x80",
    "\\ud800",
    std::string_view("\0", 1),
    "\"",
    "}",
    "[",
    "\r\n\r\n",
    "=",
};

void collect(json::value& from, std::vector<json::value*>& into)
{
    into.push_back(&from);
    if (from.is_object())
    {
        for (auto& member : from.as_object())
        {
            collect(member.value(), into);
        }
    }
    else if (from.is_array())
    {
        for (auto& each : from.as_array())
        {
            collect(each, into);
        }
    }
}

json::value nested(std::size_t depth)
{
    json::value made = 1;
    for (std::size_t level = 0; level < depth; ++level)
    {
        made = json::array{std::move(made)};
    }
    return made;
}

json::value parsed(std::string_view text)
{
    json::error_code error;
    auto made = json::parse(text, error);
    return error ? json::value() : made;
}

} // namespace

input_mutator::input_mutator(std::uint64_t seed) : random_(seed)
{
}

std::size_t input_mutator::below(std::size_t bound)
{
    return bound == 0 ? 0 : static_cast<std::size_t>(random_() % bound);
}

std::string input_mutator::mutated(std::string_view sample)
{
    std::string text(sample);
    auto const damages = 1 + below(most_damages);
    for (std::size_t number = 0; number < damages; ++number)
    {
        // Bytes last: what they leave is mostly no JSON any more.
        bool const bytes = number + 1 == damages && below(3) == 0;
        auto values = bytes ? std::string() : damage_values(text);
        text =
            values.empty() ? damage_bytes(std::move(text)) : std::move(values);
    }
    return text;
}

std::string input_mutator::damage_bytes(std::string text)
{
    auto const at = below(text.size() + 1);
    auto const length = below(std::min<std::size_t>(text.size() - at, 64) + 1);
    switch (below(8))
    {
    case 0:
        text.resize(at);
        break;
    case 1:
        text.erase(at, length);
        break;
    case 2:
        text.insert(at, text.substr(at, length));
        break;
    case 3:
        if (at < text.size())
        {
            text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
        }
        break;
    case 4:
        text.insert(at, odd_bytes[below(odd_bytes.size())]);
        break;
    case 5:
        text.insert(at, odd_values[below(odd_values.size())]);
        break;
    case 6:
        text.insert(at, std::string(deep_nesting, '['));
        break;
    default:
        text.insert(at,
                    std::string(1 + below(8), static_cast<char>(below(256))));
        break;
    }
    return text;
}

std::string input_mutator::damage_values(std::string_view text)
{
    json::error_code error;
    auto whole = json::parse(text, error);
    if (error)
    {
        return {};
    }
    std::vector<json::value*> all;
    collect(whole, all);
    auto& chosen = *all[below(all.size())];
    auto const kind = below(12);
    if (kind < 6 || chosen.is_primitive())
    {
        switch (below(10))
        {
        case 0:
            chosen = std::string(long_text, 'x');
            break;
        case 1:
            chosen = json::array(long_list, 0);
            break;
        case 2:
            chosen = nested(2 + below(60));
            break;
        case 3:
            chosen = json::object{};
            break;
        case 4:
        case 5:
            chosen = json::string(odd_texts[below(odd_texts.size())]);
            break;
        default:
            chosen = parsed(odd_values[below(odd_values.size())]);
            break;
        }
    }
    else if (chosen.is_object() && !chosen.as_object().empty())
    {
        auto& members = chosen.as_object();
        auto const member = members.begin() + below(members.size());
        if (kind < 9)
        {
            members.erase(member);
        }
        else
        {
            json::value const copy = member->value();
            members["odd"] = copy;
        }
    }
    else if (chosen.is_array() && !chosen.as_array().empty())
    {
        auto& rows = chosen.as_array();
        auto const one = below(rows.size());
        auto const other = below(rows.size());
        if (kind < 8)
        {
            rows.erase(rows.begin() + one);
        }
        else if (kind < 10)
        {
            auto const copy = rows[one];
            rows.insert(rows.begin() + other, copy);
        }
        else
        {
            rows[one].swap(rows[other]);
        }
    }
    auto made = json::serialize(whole);
    // The same member twice, which no tree holds.
    if (made.size() > 2 && made.starts_with('{') && below(16) == 0)
    {
        auto const name = made.substr(1, made.find(':'));
        made.insert(1, name + "0,");
    }
    return made;
}

} // namespace fuchsia::tests::contract::inputs
