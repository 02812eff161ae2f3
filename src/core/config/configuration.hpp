#pragma once

#include "core/contracts/contract.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace fuchsia::core::config
{

/// What operators have decided, at one revision. A higher revision replaces a
/// lower one whole; a lower one is never applied after it.
struct configuration
{
    std::uint64_t revision = 0;
    /// By customer; a withdrawn contract is absent here and in `withdrawn`.
    std::map<std::string, contracts::contract, std::less<>> contracts;
    std::set<std::string, std::less<>> withdrawn;
    std::set<std::string, std::less<>> data_centres_out;

    bool operator==(configuration const&) const = default;
};

} // namespace fuchsia::core::config
