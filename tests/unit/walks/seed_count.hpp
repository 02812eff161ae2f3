#pragma once

#include <cstdint>

namespace fuchsia::tests::unit::walks
{

/// Returns the number of seeds that a walk test plays: `in_ci`, or the value of
/// the environment variable FUCHSIA_WALKS, which sets it for longer runs by
/// hand.
std::uint64_t seed_count(std::uint64_t in_ci);

} // namespace fuchsia::tests::unit::walks
