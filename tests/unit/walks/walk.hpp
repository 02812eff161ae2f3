#pragma once

#include "core/membership/safety_rules.hpp"
#include "membership_simulation.hpp"

#include <cstdint>
#include <string>

// Random walks through the faults that the takeover rule is made for.
namespace fuchsia::tests::unit::walks
{

struct walk_options
{
    std::uint64_t seed = 1;
    core::membership::safety_rules parts;
    /// How long faults come, after a calm start.
    duration faults = std::chrono::seconds(30);
    /// Whether all partitions must be owned again once all is mended.
    bool must_recover = true;
};

struct walk_result
{
    std::string violation; ///< Empty where all held.
    std::uint64_t fencing_writes = 0;
    std::uint64_t checks_proved_by_witnesses = 0;
    std::uint64_t pauses = 0;
    bool recovered = false;
};

/// One walk: five members (three witnesses each), delays to 4 s, loss,
/// duplicates, one-way cuts, store outages, lost answers, stale reads, freezes,
/// restarts, planned stops, clocks that drift by 3%. After every event no
/// partition may have two members that act on it, and no buried member may act.
/// In every second walk the platform's word counts for nothing
/// (`list_stands_in` off), and it may run a second process under the name of
/// one that is frozen.
walk_result run_walk(walk_options const& options);

} // namespace fuchsia::tests::unit::walks
