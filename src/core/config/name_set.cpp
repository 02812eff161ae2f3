#include "core/config/name_set.hpp"

#include <algorithm>

namespace fuchsia::core::config
{

bool is_valid_name(std::string_view name) noexcept
{
    auto const allowed = [](char letter)
    {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= '0' && letter <= '9') || letter == '-';
    };
    return !name.empty() && name.size() <= 64 &&
           std::all_of(name.begin(), name.end(), allowed);
}

boost::json::array to_json_array(name_set const& names)
{
    boost::json::array array;
    for (auto const& name : names)
    {
        array.emplace_back(name);
    }
    return array;
}

name_set read_name_set(common::json_reader& reader, std::string_view key)
{
    name_set names;
    auto const* array = reader.array(key);
    if (array == nullptr)
    {
        return names;
    }
    for (auto const& item : *array)
    {
        if (!item.is_string() || !is_valid_name(item.as_string()))
        {
            reader.fail(common::result_code::out_of_range,
                        key,
                        "a name has 1 to 64 lower-case letters, digits and "
                        "hyphens");
            return names;
        }
        names.emplace(item.as_string());
    }
    return names;
}

} // namespace fuchsia::core::config
