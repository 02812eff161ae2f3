#pragma once

#include "core/tasks/change.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsia::core::tasks
{

/// Status of a task in the log. The phases of a started attempt between two
/// records are defined in attempt_lifecycle.hpp.
enum class task_status : std::uint8_t
{
    queued,
    started, ///< The start of an attempt is committed, its end is not.
    moving,  ///< Being transferred to the inbox of another cell.
    moved,   ///< Stored in the inbox of the other cell.
    finished,
    failed,
    cancelled,
};

std::string_view name_of(task_status value) noexcept;

/// A task as recorded in the log of its cell.
struct task_record
{
    task_status status = task_status::queued;
    std::uint32_t attempt =
        0;              ///< Number of the latest attempt; 0 before the first.
    std::string worker; ///< Worker of the latest attempt.
    std::uint64_t start_before_ms = 0;
    std::uint64_t lease_until_ms = 0;
    std::string
        checkpoint; ///< Id of the checkpoint to resume from; may be empty.
    std::vector<std::string> failed_workers;
    std::string why; ///< Reason of the latest attempt's end.

    bool operator==(task_record const&) const = default;
};

/// The tasks of one job that are or were in this cell.
struct job_part
{
    job definition;
    std::uint32_t moves = 0;
    std::map<std::uint32_t, task_record> tasks;
    /// Names of the accepted messages, so that a repeated one has no effect.
    std::set<std::string> accepted_messages;
    bool stopped = false;
    common::result_code stop_code = common::result_code::ok;
    std::string stop_why;

    bool operator==(job_part const&) const = default;

    /// Whether no task of the job can change its status any more.
    bool ended() const noexcept;
};

/// A message to another cell that is not yet confirmed to be in its inbox.
struct outgoing_transfer
{
    std::string target_cell;
    inbox_message message;

    bool operator==(outgoing_transfer const&) const = default;
};

/// State of a cell that results from its log.
struct cell_state
{
    std::uint64_t last_record = 0; ///< Number of the latest record applied.
    std::uint64_t epoch = 0;       ///< Epoch of that record's writer.
    std::uint64_t messages_sent = 0;
    std::map<std::string, job_part> jobs;
    std::map<std::string, outgoing_transfer> outgoing;

    bool operator==(cell_state const&) const = default;

    task_record const* find(task_key const& key) const noexcept;
};

/// Applies one change. Returns false, without effect, if the change does not
/// fit the state, such as a repeated message or the end of an attempt that has
/// ended.
bool apply_change(cell_state& state, change const& new_change);

/// Serialization of a cell state as a snapshot.
std::string to_json(cell_state const& state);
std::optional<cell_state> parse_cell_state(std::string_view json,
                                           common::failure& reason);

} // namespace fuchsia::core::tasks
