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

/// Maximum size of the whole configuration as JSON. It is the store's limit for
/// one value, and the limit for one offer to a peer.
constexpr std::size_t max_configuration_bytes = 1U << 20U;
/// Maximum number of customers with a contract.
constexpr std::size_t max_contracts = 2000;
/// Maximum number of withdrawn customers in the index. Those withdrawn longest
/// ago are erased first and count as unknown from then on.
constexpr std::size_t max_withdrawn = 1000;
/// Maximum number of data centres in the index.
constexpr std::size_t max_data_centres = 256;
/// Maximum revision, which JSON readers that store numbers as doubles still
/// represent exactly.
constexpr std::int64_t max_revision = std::int64_t{1} << 53;

/// Decisions of the operators, at one revision. A higher revision replaces a
/// lower one as a whole; a lower one is never applied after a higher one.
struct configuration
{
    std::uint64_t revision = 0;
    /// Contracts by customer. The customers of withdrawn contracts are in
    /// `withdrawn` instead.
    std::map<std::string, contracts::contract, std::less<>> contracts;
    std::set<std::string, std::less<>> withdrawn;
    std::set<std::string, std::less<>> data_centres_out_of_service;
    /// Every data centre that operators or instances have named, with the
    /// revision at which it was last taken out of service or brought back; 0 if
    /// it never was.
    std::map<std::string, std::uint64_t, std::less<>> data_centre_revisions;
    /// Revision at which each customer's contract was last put or withdrawn.
    std::map<std::string, std::uint64_t, std::less<>> contract_revisions;

    bool operator==(configuration const&) const = default;
};

/// Returns the revision at which the customer's contract, or the data centre,
/// was last changed; 0 if it never was.
std::uint64_t contract_revision(configuration const& value,
                                std::string_view customer) noexcept;
std::uint64_t data_centre_revision(configuration const& value,
                                   std::string_view data_centre) noexcept;

/// Returns the whole configuration as one JSON document, as offered to peers.
std::string to_json(configuration const& value);

/// Parses a document written by `to_json`. Returns an empty value and sets
/// `reason` if the document is too large, malformed or inconsistent.
std::optional<configuration> parse_configuration(std::string_view json,
                                                 common::failure& reason);

} // namespace fuchsia::core::config
