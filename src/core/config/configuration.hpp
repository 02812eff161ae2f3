#pragma once

#include "core/common/result_code.hpp"
#include "core/contracts/contract.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace fuchsia::core::config
{

/// Bound of the whole configuration as JSON: the store's bound of one value,
/// and what one offer to a peer may carry.
constexpr std::size_t max_configuration_bytes = 1U << 20U;
/// Customers with a contract.
constexpr std::size_t max_contracts = 2000;
/// Withdrawn customers that are remembered; the longest withdrawn are
/// forgotten first and count as unknown from then on.
constexpr std::size_t max_withdrawn = 1000;
constexpr std::size_t max_data_centres = 256;
/// Revisions stay exact in JSON readers that keep numbers as doubles.
constexpr std::int64_t max_revision = std::int64_t{1} << 53;

/// What operators have decided, at one revision. A higher revision replaces a
/// lower one whole; a lower one is never applied after it.
struct configuration
{
    std::uint64_t revision = 0;
    /// By customer; a withdrawn contract is absent here and in `withdrawn`.
    std::map<std::string, contracts::contract, std::less<>> contracts;
    std::set<std::string, std::less<>> withdrawn;
    std::set<std::string, std::less<>> data_centres_out_of_service;
    /// Every data centre that operators or instances have named, with the
    /// revision at which it was last taken out or in; 0: never.
    std::map<std::string, std::uint64_t, std::less<>> data_centre_revisions;
    /// The revision at which each customer's contract was last put or
    /// withdrawn.
    std::map<std::string, std::uint64_t, std::less<>> contract_revisions;

    bool operator==(configuration const&) const = default;
};

/// The revision at which `customer`'s contract, or `data_centre`, was last
/// changed; 0 where it never was.
std::uint64_t contract_revision(configuration const& value,
                                std::string_view customer) noexcept;
std::uint64_t data_centre_revision(configuration const& value,
                                   std::string_view data_centre) noexcept;

/// The whole configuration as one JSON document, offered to peers.
std::string to_json(configuration const& value);

/// Reads what `to_json` wrote; refuses a document that is too large,
/// malformed or contradicts itself.
std::optional<configuration> parse_configuration(std::string_view json,
                                                 common::failure& reason);

} // namespace fuchsia::core::config
