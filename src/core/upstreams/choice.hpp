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

/// Load of one upstream, used to choose between upstreams.
struct upstream_load
{
    std::uint32_t in_use = 0; ///< Slots taken.
    std::uint32_t limit = 0;  ///< Slots that may be in use now, at least 1.
    double latency_us = 0;    ///< Moving average; 0: no sample yet.
    double failure_rate =
        0; ///< Moving average of the share of failures, 0 to 1.
};

/// Power of two choices: draws two upstreams at random and takes the one with
/// the lower cost (see `cost_of`). Two draws are enough to avoid the worst
/// upstream, and unlike a choice of the best upstream they don't send all
/// requests to the same one.
struct weighted_two_choices
{
};

/// Baseline for comparison: one upstream after the other, regardless of load.
struct round_robin
{
    std::size_t next = 0;
};

using choice_policy = std::variant<weighted_two_choices, round_robin>;

/// Expected cost of one more request on the upstream; lower is better. The
/// share of slots in use, times the latency, times a weight for failures.
double cost_of(upstream_load const& load) noexcept;

/// Position in `candidates` of the upstream to use; empty if there are no
/// candidates. The elements of `candidates` are indices of `loads`.
/// `avoided_upstream`, also an index of `loads`, is chosen only if it is the
/// only candidate.
std::optional<std::size_t>
choose_upstream(choice_policy& policy,
                std::span<std::uint32_t const> candidates,
                std::span<upstream_load const> loads,
                std::optional<std::uint32_t> avoided_upstream,
                std::mt19937_64& random) noexcept;

} // namespace fuchsia::core::upstreams
