#pragma once

#include "core/common/json.hpp"
#include "core/common/json_list.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fuchsia::adapters::platform
{

/// Parses a JSON array of objects that other programs wrote, each with `read`,
/// which returns an optional value and sets the failure that it is given.
/// Elements that can't be parsed are left out; `ignored` tells the last of
/// them, with `where` as its place. Empty if `body` is no array.
template<class T, class Read>
std::optional<std::vector<T>> parse_objects(std::string_view body,
                                            std::string const& where,
                                            Read read,
                                            core::common::failure& ignored)
{
    auto const elements = core::common::split_json_array(body);
    if (!elements)
    {
        return std::nullopt;
    }
    std::vector<T> result;
    for (auto const element : *elements)
    {
        auto const object =
            core::common::parse_json_object(element, where, ignored);
        auto parsed =
            object ? read(*object, ignored) : std::optional<T>(std::nullopt);
        if (parsed)
        {
            result.push_back(std::move(*parsed));
        }
    }
    return result;
}

} // namespace fuchsia::adapters::platform
