#pragma once

#include "core/membership/member_info.hpp"
#include "core/membership/own_record.hpp"

#include <cstdint>
#include <vector>

namespace fuchsia::core::membership
{

/// The witnesses that `self` should name, at most `count`: spread over the
/// data centres as evenly as the members are, so that with three or more no
/// data centre takes a majority with it; drawn by rendezvous hash, so that a
/// change of the members changes few lists. Leaving members are not chosen.
witness_list choose_witnesses(ports::member_identity const& self,
                              std::vector<member_info> const& live,
                              std::uint32_t count);

} // namespace fuchsia::core::membership
