#pragma once

#include "core/common/time.hpp"
#include "core/membership/member.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

// Assignment of partitions to the members that should own them.
namespace fuchsia::core::claims
{

/// Names of the members that may own partitions, sorted.
struct owner_candidates
{
    std::vector<std::string> live;   ///< Live members that are not leaving.
    std::vector<std::string> stable; ///< Of these, this member and those that
                                     ///< have been live for `stable_after`.
};

/// Returns the members that may own partitions. `self_leaving` excludes this
/// member, which may begin to leave before its own record says so.
owner_candidates find_owner_candidates(common::time_point now,
                                       membership::member const& members,
                                       bool self_leaving,
                                       common::duration stable_after);

/// Assigns partitions to members by rendezvous hashing, with at most the even
/// share, rounded up, for each member. Without this bound the shares become
/// uneven: one of three members owned 10% of all slots and 22% of the keys.
class partition_assignment
{
public:
    /// Recomputes the assignment if a list has changed. Both lists are sorted;
    /// equal lists give the same assignment on every member.
    void update(std::vector<std::string> const& partitions,
                std::vector<std::string> const& names);
    /// Returns the name of the assigned owner; null if the partition is unknown
    /// or there are no members.
    std::string const*
    assigned_owner(std::string const& partition) const noexcept;

private:
    std::vector<std::string> partitions_;
    std::vector<std::string> names_;
    std::map<std::string, std::size_t> owners_; ///< Indices into `names_`.
};

/// Returns a pointer to the element of `names` with the highest rendezvous
/// weight for the partition; null if `names` is empty.
std::string const* rendezvous_owner(std::string const& partition,
                                    std::vector<std::string> const& names);

} // namespace fuchsia::core::claims
