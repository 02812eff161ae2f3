#pragma once

#include "core/claims/claim_table.hpp"
#include "core/common/hash.hpp"
#include "core/common/time.hpp"
#include "ports/identity.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace fuchsia::core::requests
{

/// Name of a partition in the claim table.
std::string const& partition_name(std::uint32_t partition);

/// Number of a partition by its name; `partition_count` where it is none.
std::uint32_t partition_number(std::string const& name) noexcept;

/// Names of all partitions.
std::vector<std::string> partition_names();

/// What this entry knows of one partition's owner.
struct key_owner
{
    ports::member_identity member; ///< Empty name: nobody.
    std::uint64_t epoch = 0;
    common::time_point learned_at; ///< When it was first seen with this epoch.
};

/// Owners of all partitions as this entry last learned them, and since when it
/// knows. The time is what lets it vouch that a caller sent a request after
/// the owner's claim began.
class key_owners
{
public:
    /// Takes over what the claims show; returns the partitions whose owner
    /// changed.
    std::vector<std::uint32_t> refresh(common::time_point now,
                                       claims::claim_table const& claims);
    key_owner const& owner_of(std::uint32_t partition) const noexcept;

private:
    std::array<key_owner, common::partition_count> owners_;
};

} // namespace fuchsia::core::requests
