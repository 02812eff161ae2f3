#pragma once

#include "core/membership/safety_rules.hpp"
#include "membership_simulation.hpp"

#include <cstdint>
#include <string>

// Random sequences of the faults that the takeover rule must tolerate.
namespace fuchsia::tests::unit::walks
{

struct walk_options
{
    std::uint64_t seed = 1;
    core::membership::safety_rules rules;
    /// Length of the fault phase, which follows a start without faults.
    duration faults = std::chrono::seconds(30);
    /// Whether all partitions must be owned again after all faults have ended.
    bool must_recover = true;
};

struct walk_result
{
    std::string violation; ///< Empty if all invariants held.
    std::uint64_t fencing_writes = 0;
    std::uint64_t checks_proved_by_witnesses = 0;
    std::uint64_t pauses = 0;
    bool recovered = false;
};

/// Runs one walk: five members (three witnesses each, none in every fourth
/// walk), delays of up to 4 s, loss, duplicates, one-way cuts, store outages,
/// lost replies, stale reads, freezes, restarts, planned stops and clocks that
/// drift by 3%. After every event no partition may have two members that act on
/// it, and no fenced member may act. In every second walk the platform's list
/// does not replace consent (`platform_list_replaces_consent` is off), and the
/// platform may run a second process under the name of a frozen one.
walk_result run_walk(walk_options const& options);

} // namespace fuchsia::tests::unit::walks
