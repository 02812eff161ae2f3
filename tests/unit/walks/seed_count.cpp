#include "unit/walks/seed_count.hpp"

#include <cstdlib>

namespace fuchsia::tests::unit::walks
{

std::uint64_t seed_count(std::uint64_t in_ci)
{
    auto const* const requested = std::getenv("FUCHSIA_WALKS");
    return requested == nullptr ? in_ci : std::strtoull(requested, nullptr, 10);
}

} // namespace fuchsia::tests::unit::walks
