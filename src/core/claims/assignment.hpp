#pragma once

#include "core/common/time.hpp"
#include "core/membership/member.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

// Who should own a partition.
namespace fuchsia::core::claims
{

/// Names of the members that may own something, sorted.
struct owner_candidates
{
    std::vector<std::string> live;   ///< All that don't leave.
    std::vector<std::string> stable; ///< Those live long enough, and we.
};

/// `leaving`: this member is about to leave, whatever its record says yet.
owner_candidates find_owner_candidates(common::time_point now,
                                       membership::member const& members,
                                       bool leaving,
                                       common::duration settle);

/// Who should own each partition: rendezvous hashing in which nobody gets more
/// than the even share, rounded up. Without that bound one of three members
/// owned 10% of all slots and 22% of the keys.
class partition_assignment
{
public:
    /// Both sorted. Every member with the same lists names the same owners.
    void update(std::vector<std::string> const& partitions,
                std::vector<std::string> const& names);
    /// Null where the partition is unknown or there is nobody.
    std::string const*
    assigned_owner(std::string const& partition) const noexcept;

private:
    std::vector<std::string> partitions_;
    std::vector<std::string> names_;
    std::map<std::string, std::size_t> owners_; ///< Index into `names_`.
};

/// The rendezvous winner of the partition among `names`, into which it points;
/// null where there is none.
std::string const* rendezvous_owner(std::string const& partition,
                                    std::vector<std::string> const& names);

} // namespace fuchsia::core::claims
