#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace fuchsia::core::common
{

/// Splits the text of a JSON array into the texts of its elements, which are
/// to be parsed one by one, so that one that can't be parsed (nested too deep,
/// a number too large, bytes that aren't UTF-8) leaves the others. Empty if
/// `text` is no array, or cut short.
std::optional<std::vector<std::string_view>>
split_json_array(std::string_view text);

} // namespace fuchsia::core::common
