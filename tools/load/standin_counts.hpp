#pragma once

#include "ports/identity.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::tools::load
{

/// A stand-in's books, by the names of docs/API.md.
using counts = std::map<std::string, std::uint64_t, std::less<>>;

/// Reads the answer of GET /control/counts.
std::optional<counts> parse_counts(std::string_view body);

/// Asks a stand-in and waits for the answer; empty where none came.
std::optional<counts> fetch_counts(ports::endpoint const& endpoint);

/// What was added between two readings.
counts difference(counts const& before, counts const& after);

std::uint64_t count_of(counts const& counters, std::string_view name);

} // namespace fuchsia::tools::load
