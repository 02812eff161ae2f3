#pragma once

#include "core/common/result_code.hpp"
#include "core/pool/fleet.hpp"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::pool
{

/// Ids of the workers of the stored roster.
struct roster_ids
{
    std::set<std::string> workers;
    /// Those of `workers` that did not answer the owner when it wrote the
    /// roster.
    std::set<std::string> silent;

    /// Returns `workers` without `silent`.
    std::set<std::string> answering() const;
    bool operator==(roster_ids const&) const = default;
};

/// Serialises the roster: the workers `ids`, which may run tasks. An owner that
/// takes over polls each of them, even if the platform no longer lists it.
std::string to_json(fleet& workers, roster_ids const& ids);
/// Parses the roster. Rows that can't be parsed are skipped; `reason` names the
/// first failure.
std::vector<ports::pool_worker> parse_roster(std::string_view text,
                                             common::failure& reason);
/// Parses the ids of the silent workers of the roster. Without a readable list
/// there are none.
std::set<std::string> parse_silent_workers(std::string_view text);

} // namespace fuchsia::core::pool
