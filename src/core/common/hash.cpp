#include "core/common/hash.hpp"

#include <xxhash.h>

namespace fuchsia::core::common
{

std::uint64_t hash_of(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint32_t partition_of(std::string_view key) noexcept
{
    return static_cast<std::uint32_t>(hash_of(key) % partition_count);
}

std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view candidate) noexcept
{
    return hash_of(key, hash_of(candidate));
}

std::size_t rendezvous_winner(std::string_view key,
                              std::span<std::string const> candidates) noexcept
{
    std::size_t winner = 0;
    std::uint64_t best = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        auto const weight = rendezvous_weight(key, candidates[index]);
        if (index == 0 || weight > best)
        {
            winner = index;
            best = weight;
        }
    }
    return winner;
}

} // namespace fuchsia::core::common
