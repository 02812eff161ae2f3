#pragma once

#include "core/common/result_code.hpp"
#include "core/pool/fleet.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::pool
{

/// The workers that may hold tasks, as they lie in the store: who takes over
/// asks each of them, listed by the platform or not.
std::string to_json(fleet& workers);
std::vector<ports::pool_worker> parse_roster(std::string_view text,
                                             common::failure& reason);

} // namespace fuchsia::core::pool
