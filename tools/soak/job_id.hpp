#pragma once

#include "tools/soak/random_source.hpp"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>

namespace fuchsia::tools::soak
{

/// Draws the name of the job with this number; names of different numbers
/// differ.
inline std::string draw_id(std::uint32_t number, random_source& random)
{
    std::array<char, 17> id{};
    std::snprintf(
        id.data(), id.size(), "%08x%08x", random.below(1U << 31U), number);
    return id.data();
}

} // namespace fuchsia::tools::soak
