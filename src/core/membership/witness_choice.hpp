#pragma once

#include "core/membership/member_info.hpp"
#include "core/membership/own_record.hpp"

#include <cstdint>
#include <vector>

namespace fuchsia::core::membership
{

/// Chooses at most `count` witnesses for `self`. They are spread over the data
/// centres as evenly as the members are, so that with three or more data
/// centres no failure of one takes a majority. Rendezvous hashing ensures that
/// a change of the members changes few lists. Leaving members are not chosen.
witness_list choose_witnesses(ports::member_identity const& self,
                              std::vector<member_info> const& live,
                              std::uint32_t count);

} // namespace fuchsia::core::membership
