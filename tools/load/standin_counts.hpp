#pragma once

#include "ports/identity.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::tools::load
{

/// Counters of a stand-in by name. The names are documented in docs/API.md.
using counts = std::map<std::string, std::uint64_t, std::less<>>;

/// Parses the answer to GET /control/counts.
std::optional<counts> parse_counts(std::string_view body);

/// Fetches the counters of a stand-in and blocks until the answer arrives.
/// Returns nothing if there is no valid answer.
std::optional<counts> fetch_counts(ports::endpoint const& endpoint);

/// Returns the increase of each counter between two readings.
counts difference(counts const& before, counts const& after);

std::uint64_t count_of(counts const& counters, std::string_view name);

} // namespace fuchsia::tools::load
