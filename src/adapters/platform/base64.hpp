#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::adapters::platform
{

std::string to_base64(std::string_view bytes);
std::optional<std::string> from_base64(std::string_view text);

} // namespace fuchsia::adapters::platform
