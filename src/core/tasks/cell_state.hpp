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

/// Where a task stands by the log; what happens to a started attempt between
/// two records is the business of life_cycle.hpp.
enum class task_status : std::uint8_t
{
    queued,
    started, ///< An attempt is committed and its end is not.
    moving,  ///< On its way to another cell's inbox.
    moved,   ///< The other cell has it.
    finished,
    failed,
    cancelled,
};

std::string_view name_of(task_status value) noexcept;

struct task_record
{
    task_status status = task_status::queued;
    std::uint32_t attempt = 0; ///< The newest; 0: never tried.
    std::string worker;        ///< Of the newest attempt.
    std::uint64_t start_before_ms = 0;
    std::uint64_t lease_until_ms = 0;
    std::string checkpoint; ///< Where the next attempt resumes.
    std::vector<std::string> failed_workers;
    std::string why; ///< Of the last end.

    bool operator==(task_record const&) const = default;
};

/// The tasks of one job that this cell has, or had.
struct job_part
{
    job definition;
    std::uint32_t moves = 0;
    std::map<std::uint32_t, task_record> tasks;
    /// Parcels taken in, so that a repeated one changes nothing.
    std::set<std::string> accepted_messages;
    bool stopped = false;
    common::result_code stop_code = common::result_code::ok;
    std::string stop_why;

    bool operator==(job_part const&) const = default;

    /// No task will change any more.
    bool ended() const noexcept;
};

/// A parcel that left and is not yet known to be in the other cell's inbox.
struct outgoing_transfer
{
    std::string target_cell;
    inbox_message message;

    bool operator==(outgoing_transfer const&) const = default;
};

/// What the log of one cell adds up to.
struct cell_state
{
    std::uint64_t last_record = 0; ///< Number of the newest record in it.
    std::uint64_t epoch = 0;       ///< Of that record's writer.
    std::uint64_t messages_sent = 0;
    std::map<std::string, job_part> jobs;
    std::map<std::string, outgoing_transfer> outgoing;

    bool operator==(cell_state const&) const = default;

    task_record const* find(task_key const& key) const noexcept;
};

/// Applies one change; a change that does not fit the state (a repeated
/// parcel, an end of an attempt that is over) changes nothing and gives false.
bool apply_change(cell_state& state, change const& what);

/// A snapshot, and back.
std::string to_json(cell_state const& state);
std::optional<cell_state> parse_cell_state(std::string_view json,
                                           common::failure& reason);

} // namespace fuchsia::core::tasks
