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

/// Number of the partition with this name; `partition_count` if there is none.
std::uint32_t partition_number(std::string const& name) noexcept;

/// Names of all partitions.
std::vector<std::string> partition_names();

/// Owner of one partition as this entry last learned it.
struct key_owner
{
    ports::member_identity member; ///< Empty name: no owner.
    std::uint64_t epoch = 0;
    common::time_point learned_at; ///< Time at which this owner and epoch were
                                   ///< first seen.
};

/// Owners of all partitions as this entry last learned them, and when it did.
/// The time lets the entry confirm that a caller sent a request after the
/// owner's claim began.
class key_owners
{
public:
    /// Updates the owners from the claims. Returns the partitions whose owner
    /// or epoch changed.
    std::vector<std::uint32_t> refresh(common::time_point now,
                                       claims::claim_table const& claims);
    key_owner const& owner_of(std::uint32_t partition) const noexcept;

private:
    std::array<key_owner, common::partition_count> owners_;
};

} // namespace fuchsia::core::requests
