#pragma once

#include "core/common/result_code.hpp"
#include "core/pool/fleet.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::pool
{

/// Serialises the roster: the workers that may run tasks, without those that
/// have ended. An owner that takes over polls each of them, even if the
/// platform no longer lists it.
std::string to_json(fleet& workers);
/// Parses the roster. Rows that can't be parsed are skipped; `reason` names the
/// first failure.
std::vector<ports::pool_worker> parse_roster(std::string_view text,
                                             common::failure& reason);

} // namespace fuchsia::core::pool
