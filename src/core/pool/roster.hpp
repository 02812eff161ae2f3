#pragma once

#include "core/common/result_code.hpp"
#include "core/pool/fleet.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::pool
{

/// What the stored roster tells about its workers, by their ids.
struct roster_ids
{
    std::set<std::string> workers;
    /// Those of `workers` that did not answer the owner when it wrote the
    /// roster.
    std::set<std::string> silent;
    /// Incarnations by whose clocks the owner computed the leases of `workers`.
    /// Workers of an unknown incarnation are left out.
    std::map<std::string, std::uint64_t> incarnations;
    /// Those of `workers` that may hold a longer lease than usual, because an
    /// order named the end of a lease by the clock of an earlier incarnation,
    /// with the time for which it may still last.
    std::map<std::string, std::chrono::seconds> long_leases;

    /// Returns `workers` without `silent`.
    std::set<std::string> answering() const;
    /// Returns the incarnation of a worker; 0 if it is unknown.
    std::uint64_t incarnation_of(std::string const& id) const;
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
/// Parses the workers that may hold a longer lease than usual, likewise.
std::map<std::string, std::chrono::seconds>
parse_long_leases(std::string_view text);

} // namespace fuchsia::core::pool
