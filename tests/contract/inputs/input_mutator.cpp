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

constexpr std::size_t max_mutations = 3;
constexpr std::size_t long_text_bytes = 20'000;
constexpr std::size_t long_list_size = 5000;
constexpr std::size_t deep_nesting = 5000;

/// Numbers at the limits of types and ranges, and values that may be mistaken
/// for a number.
constexpr std::array<std::string_view, 32> edge_values{
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

constexpr std::array<std::string_view, 12> invalid_texts{
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

constexpr std::array<std::string_view, 10> invalid_bytes{
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

void collect(json::value& root, std::vector<json::value*>& nodes)
{
    nodes.push_back(&root);
    if (root.is_object())
    {
        for (auto& member : root.as_object())
        {
            collect(member.value(), nodes);
        }
    }
    else if (root.is_array())
    {
        for (auto& element : root.as_array())
        {
            collect(element, nodes);
        }
    }
}

json::value nested(std::size_t depth)
{
    json::value result = 1;
    for (std::size_t level = 0; level < depth; ++level)
    {
        result = json::array{std::move(result)};
    }
    return result;
}

json::value parsed(std::string_view text)
{
    json::error_code error;
    auto result = json::parse(text, error);
    return error ? json::value() : result;
}

} // namespace

input_mutator::input_mutator(std::uint64_t seed) : random_(seed)
{
}

std::size_t input_mutator::random_below(std::size_t bound)
{
    return bound == 0 ? 0 : static_cast<std::size_t>(random_() % bound);
}

std::string input_mutator::mutated(std::string_view sample)
{
    std::string text(sample);
    auto const mutations = 1 + random_below(max_mutations);
    for (std::size_t index = 0; index < mutations; ++index)
    {
        // Bytes are mutated last, since the result is rarely valid JSON.
        bool const bytes = index + 1 == mutations && random_below(3) == 0;
        auto values = bytes ? std::string() : mutate_values(text);
        text =
            values.empty() ? mutate_bytes(std::move(text)) : std::move(values);
    }
    return text;
}

std::string input_mutator::mutate_bytes(std::string text)
{
    auto const position = random_below(text.size() + 1);
    auto const length =
        random_below(std::min<std::size_t>(text.size() - position, 64) + 1);
    switch (random_below(8))
    {
    case 0:
        text.resize(position);
        break;
    case 1:
        text.erase(position, length);
        break;
    case 2:
        text.insert(position, text.substr(position, length));
        break;
    case 3:
        if (position < text.size())
        {
            text[position] =
                static_cast<char>(text[position] ^ (1 << random_below(8)));
        }
        break;
    case 4:
        text.insert(position,
                    invalid_bytes[random_below(invalid_bytes.size())]);
        break;
    case 5:
        text.insert(position, edge_values[random_below(edge_values.size())]);
        break;
    case 6:
        text.insert(position, std::string(deep_nesting, '['));
        break;
    default:
        text.insert(position,
                    std::string(1 + random_below(8),
                                static_cast<char>(random_below(256))));
        break;
    }
    return text;
}

std::string input_mutator::mutate_values(std::string_view text)
{
    json::error_code error;
    auto document = json::parse(text, error);
    if (error)
    {
        return {};
    }
    std::vector<json::value*> nodes;
    collect(document, nodes);
    auto& node = *nodes[random_below(nodes.size())];
    auto const kind = random_below(12);
    if (kind < 6 || node.is_primitive())
    {
        switch (random_below(10))
        {
        case 0:
            node = std::string(long_text_bytes, 'x');
            break;
        case 1:
            node = json::array(long_list_size, 0);
            break;
        case 2:
            node = nested(2 + random_below(60));
            break;
        case 3:
            node = json::object{};
            break;
        case 4:
        case 5:
            node =
                json::string(invalid_texts[random_below(invalid_texts.size())]);
            break;
        default:
            node = parsed(edge_values[random_below(edge_values.size())]);
            break;
        }
    }
    else if (node.is_object() && !node.as_object().empty())
    {
        auto& members = node.as_object();
        auto const member = members.begin() + random_below(members.size());
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
    else if (node.is_array() && !node.as_array().empty())
    {
        auto& rows = node.as_array();
        auto const first = random_below(rows.size());
        auto const second = random_below(rows.size());
        if (kind < 8)
        {
            rows.erase(rows.begin() + first);
        }
        else if (kind < 10)
        {
            auto const copy = rows[first];
            rows.insert(rows.begin() + second, copy);
        }
        else
        {
            rows[first].swap(rows[second]);
        }
    }
    auto result = json::serialize(document);
    // A duplicate member has to be written as text, since no JSON tree can hold
    // it.
    if (result.size() > 2 && result.starts_with('{') && random_below(16) == 0)
    {
        auto const name = result.substr(1, result.find(':'));
        result.insert(1, name + "0,");
    }
    return result;
}

} // namespace fuchsia::tests::contract::inputs
