#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace fuchsia::core::common
{

/// Number of partitions over which upstreams and request keys are distributed.
constexpr std::uint32_t partition_count = 64;

/// Returns a 64-bit hash (XXH3) that is the same on every instance and in every
/// version.
std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) noexcept;

/// Returns the partition of a key, which is less than `partition_count`.
std::uint32_t partition_of(std::string_view key) noexcept;

/// Returns the rendezvous-hashing weight of `candidate` for `key`; the
/// candidate with the highest weight wins.
std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view candidate) noexcept;

/// Returns the index in `candidates` of the rendezvous-hashing winner for
/// `key`. All instances with the same candidates agree on the winner, and a
/// change of the candidates moves keys only to added or from removed ones.
/// `candidates` must not be empty.
std::size_t rendezvous_winner(std::string_view key,
                              std::span<std::string const> candidates) noexcept;

} // namespace fuchsia::core::common
