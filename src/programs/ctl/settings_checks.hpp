#pragma once

#include "core/common/result_code.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::programs::ctl
{

/// Names of the programs whose settings can be checked.
std::vector<std::string_view> checked_binaries();

/// Checks `file` as `binary` does at start; returns the first error, or `ok`.
/// Empty if `binary` is unknown.
std::optional<core::common::failure> check_settings(std::string_view binary,
                                                    std::string const& file);

} // namespace fuchsia::programs::ctl
