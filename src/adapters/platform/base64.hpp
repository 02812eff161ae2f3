#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::adapters::platform
{

/// Encodes with the standard alphabet and padding.
std::string to_base64(std::string_view bytes);
/// Returns the decoded bytes; empty if `text` is not padded base64.
std::optional<std::string> from_base64(std::string_view text);

} // namespace fuchsia::adapters::platform
