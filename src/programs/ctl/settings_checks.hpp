#pragma once

#include "core/common/result_code.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::programs::ctl
{

/// Binaries whose settings can be checked.
std::vector<std::string_view> checked_binaries();

/// Checks `file` as a start of `binary` would; what is wrong with it, or `ok`.
/// Empty where the binary is not known.
std::optional<core::common::failure> check_settings(std::string_view binary,
                                                    std::string const& file);

} // namespace fuchsia::programs::ctl
