#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

// State machine of one attempt between the decision to start it and the commit
// of its end. The phase is kept in memory only: a new owner of the cell treats
// every committed attempt as running and learns its actual state from the
// worker.
namespace fuchsia::core::tasks
{

enum class attempt_phase : std::uint8_t
{
    committing_start, ///< The start is sent only after its commit.
    starting,         ///< The start was sent or is about to be.
    running,
    checkpointing,         ///< Evicted; the worker is to write a checkpoint.
    committing_checkpoint, ///< The checkpoint id is not yet in the store.
    stopping,              ///< A stop was sent or is about to be.
    awaiting_final_report, ///< Stopped; a report must show whether it had
                           ///< finished before.
    complete,              ///< The end is being committed.
};

enum class attempt_event : std::uint8_t
{
    start_committed,
    running_observed, ///< By the reply to the start or by a report.
    evict,            ///< Stop after a checkpoint.
    stop,             ///< Stop without a checkpoint.
    checkpoint_made,
    checkpoint_committed,
    checkpoint_impossible,
    stop_confirmed, ///< Does not run; may have finished before the stop.
    ended,          ///< The end is certain.
};

std::string_view name_of(attempt_phase value) noexcept;

/// Returns the phase after `event`; empty if the state machine has no such
/// transition, in which case the event has no effect.
std::optional<attempt_phase> next_phase(attempt_phase from,
                                        attempt_event event) noexcept;

} // namespace fuchsia::core::tasks
