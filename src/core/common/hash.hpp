#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace fuchsia::core::common
{

/// Number of partitions that upstreams and request keys are spread over.
constexpr std::uint32_t partition_count = 64;

/// Stable 64-bit hash (XXH3); the same on every instance and in every version.
std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) noexcept;

/// The partition of a key, below `partition_count`.
std::uint32_t partition_of(std::string_view key) noexcept;

/// How strongly rendezvous hashing draws `key` to `candidate`.
std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view candidate) noexcept;

/// Index in `candidates` of the rendezvous-hash winner for `key`; every
/// instance with the same candidates names the same one, and a change of the
/// candidates moves only the keys that it must. `candidates` is not empty.
std::size_t rendezvous_winner(std::string_view key,
                              std::span<std::string const> candidates) noexcept;

} // namespace fuchsia::core::common
