#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

// What happens to one attempt between the commit of its start and the commit
// of its end. Kept in memory only: a new owner of the cell takes every
// committed attempt for running and learns the rest from the worker.
namespace fuchsia::core::tasks
{

enum class attempt_phase : std::uint8_t
{
    committing_start, ///< The worker is not told before the store has it.
    starting,         ///< The worker was told, or is about to be.
    running,
    checkpointing,         ///< Evicted: the worker was asked to checkpoint.
    committing_checkpoint, ///< The checkpoint's id is not yet in the store.
    stopping,              ///< The worker was told to stop.
    awaiting_final_report, ///< Stopped; a report is to say whether it finished
                           ///< before.
    complete,
};

enum class attempt_event : std::uint8_t
{
    start_committed,
    running_observed, ///< By the answer to the start, or by a report.
    evict,            ///< With a checkpoint first.
    stop,             ///< Without one.
    checkpoint_made,
    checkpoint_committed,
    checkpoint_impossible,
    stop_confirmed, ///< It does not run; it may have finished before.
    ended,          ///< The end is known for certain.
};

std::string_view name_of(attempt_phase value) noexcept;

/// The phase after `event`; empty where the life cycle has no such step, in
/// which case the event changes nothing.
std::optional<attempt_phase> next_phase(attempt_phase from,
                                        attempt_event event) noexcept;

} // namespace fuchsia::core::tasks
