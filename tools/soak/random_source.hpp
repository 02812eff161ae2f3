#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <random>

namespace fuchsia::tools::soak
{

/// Source of random numbers that yields the same sequence for a seed on every
/// machine.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : random_(seed)
    {
    }

    /// Returns a number from 0 to `end` - 1; `end` must be above 0.
    std::uint32_t below(std::uint64_t end)
    {
        return static_cast<std::uint32_t>(random_() % end);
    }

    bool true_with_percent(std::uint32_t share)
    {
        return below(100) < share;
    }

    core::common::duration between(core::common::duration least,
                                   core::common::duration most)
    {
        auto const span = static_cast<std::uint64_t>((most - least).count());
        return least + core::common::duration(random_() % (span + 1));
    }

private:
    std::mt19937_64 random_;
};

} // namespace fuchsia::tools::soak
