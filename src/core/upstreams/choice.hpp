#pragma once

#include "core/common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <variant>

namespace fuchsia::core::upstreams
{

/// What a choice between upstreams goes by.
struct upstream_load
{
    std::uint32_t in_use = 0; ///< Slots taken.
    std::uint32_t limit = 0;  ///< Slots it may have taken now, at least 1.
    double latency_us = 0;    ///< Moving average; 0: none seen.
    double failure_rate = 0;  ///< Moving share of failures, 0 to 1.
};

/// Draws two and takes the one that would serve sooner: share of slots in use,
/// times its latency, times its failures. Two draws already avoid the worst
/// upstream and, unlike the best of all, don't send everybody to the same one.
struct weighted_two_choices
{
};

/// The plain baseline: one after the other, whatever their load.
struct round_robin
{
    std::size_t next = 0;
};

using choice_policy = std::variant<weighted_two_choices, round_robin>;

/// Expected cost of one more request there; lower is better.
double cost_of(upstream_load const& load) noexcept;

/// Position in `open` of the upstream to use; `loads` is indexed by the
/// members of `open`. Takes `avoid` (an index of `loads`) only where there is
/// no other. Empty where `open` is.
std::optional<std::size_t> choose_upstream(choice_policy& policy,
                                           std::span<std::uint32_t const> open,
                                           std::span<upstream_load const> loads,
                                           std::optional<std::uint32_t> avoid,
                                           std::mt19937_64& random) noexcept;

} // namespace fuchsia::core::upstreams
