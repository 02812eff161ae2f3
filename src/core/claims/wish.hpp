#pragma once

#include "core/common/time.hpp"
#include "core/membership/member.hpp"

#include <string>
#include <vector>

// Who should own a partition.
namespace fuchsia::core::claims
{

/// Names of the members that may own something, sorted.
struct candidates
{
    std::vector<std::string> live;    ///< All that don't leave.
    std::vector<std::string> settled; ///< Those live long enough, and we.
};

/// `leaving`: this member is about to leave, whatever its record says yet.
candidates find_candidates(common::time_point now,
                           membership::member const& members,
                           bool leaving,
                           common::duration settle);

/// Names of the live members that don't leave, sorted.
std::vector<std::string> names_not_leaving(membership::member const& members);

/// The rendezvous winner of the partition among `names`, into which it points;
/// null where there is none.
std::string const* winner(std::string const& partition,
                          std::vector<std::string> const& names);

} // namespace fuchsia::core::claims
