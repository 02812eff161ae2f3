#pragma once

#include "core/tasks/job.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Change records of a cell's log. Applying them in order rebuilds the state of
// the cell (cell_state.hpp), which is changed in no other way.
namespace fuchsia::core::tasks
{

/// One task of a job; its name on the workers is "<job>/<index>".
struct task_key
{
    std::string job;
    std::uint32_t index = 0;

    auto operator<=>(task_key const&) const = default;
};

std::string task_name(task_key const& key);
std::optional<task_key> parse_task_name(std::string_view name);

/// State of a task that is transferred with it to another cell.
struct transferred_task
{
    std::uint32_t index = 0;
    std::uint32_t attempt = 0; ///< Last attempt; the next is one higher.
    std::string checkpoint;
    std::vector<std::string> failed_workers; ///< Distinct workers.

    bool operator==(transferred_task const&) const = default;
};

/// Tasks of one job that are sent to a cell, by a submission or by a transfer
/// from another cell. The name makes accepting the message idempotent.
struct inbox_message
{
    std::string name;
    job definition;
    std::vector<transferred_task> tasks;
    std::uint32_t moves = 0;

    bool operator==(inbox_message const&) const = default;
};

std::string to_json(inbox_message const& value);
std::optional<inbox_message> parse_inbox_message(std::string_view json,
                                                 common::failure& reason);

/// Returns a message with all tasks of a submitted job, none attempted yet.
inbox_message make_submission_message(job const& definition);

struct message_accepted
{
    inbox_message message;

    bool operator==(message_accepted const&) const = default;
};

/// Start of an attempt, committed before the start is sent to the worker. Both
/// times are on the worker's clock.
struct attempt_started
{
    task_key task;
    std::uint32_t attempt = 0;
    std::string worker;
    std::uint64_t start_before_ms = 0;
    std::uint64_t lease_until_ms = 0;

    bool operator==(attempt_started const&) const = default;
};

enum class attempt_outcome : std::uint8_t
{
    finished,
    failed,  ///< The task itself failed on the worker.
    refused, ///< The worker did not accept the attempt.
    stopped, ///< Evicted or cancelled; the worker confirmed the end.
    lost,    ///< The worker was lost, or the lease expired.
    unsent,  ///< The start was never sent to the worker.
};

std::string_view name_of(attempt_outcome value) noexcept;

struct attempt_ended
{
    task_key task;
    std::uint32_t attempt = 0;
    attempt_outcome outcome = attempt_outcome::finished;
    std::string why;

    bool operator==(attempt_ended const&) const = default;
};

/// Checkpoint of an attempt, committed before the attempt is stopped. The next
/// attempt resumes from it.
struct checkpoint_taken
{
    task_key task;
    std::uint32_t attempt = 0;
    std::string checkpoint;

    bool operator==(checkpoint_taken const&) const = default;
};

/// End of a job: no further attempt is started, and running ones are stopped.
struct job_stopped
{
    std::string job;
    common::result_code code = common::result_code::job_cancelled;
    std::string why;

    bool operator==(job_stopped const&) const = default;
};

/// First record of a transfer of queued tasks to another cell. The message is
/// then written to the inbox of that cell, with retries until the write is
/// confirmed.
struct transfer_started
{
    std::string message_name;
    std::string target_cell;
    std::string job;
    std::vector<std::uint32_t> tasks;
    std::uint32_t moves = 0;

    bool operator==(transfer_started const&) const = default;
};

/// Last record of a transfer: the message is in the inbox of the other cell.
struct transfer_completed
{
    std::string message_name;

    bool operator==(transfer_completed const&) const = default;
};

/// Removal of an ended job after its retention period.
struct job_removed
{
    std::string job;

    bool operator==(job_removed const&) const = default;
};

using change = std::variant<message_accepted,
                            attempt_started,
                            attempt_ended,
                            checkpoint_taken,
                            job_stopped,
                            transfer_started,
                            transfer_completed,
                            job_removed>;

/// One value of the log: changes that are committed together, and their writer.
struct log_record
{
    std::uint64_t number = 0; ///< Starts at 1, without gaps.
    std::uint64_t epoch = 0;  ///< Epoch of the writer's claim.
    std::string writer; ///< Incarnation and write id; unique for each write.
    std::vector<change> changes;

    bool operator==(log_record const&) const = default;
};

std::string to_json(log_record const& value);
std::optional<log_record> parse_log_record(std::string_view json,
                                           common::failure& reason);

} // namespace fuchsia::core::tasks
