#pragma once

#include "core/tasks/job.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The change records of a cell's log. Applying them in order rebuilds the
// cell's state (cell_state.hpp); nothing else may change it.
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

/// What of a task goes with it from cell to cell.
struct transferred_task
{
    std::uint32_t index = 0;
    std::uint32_t attempt = 0; ///< The last one; the next is one higher.
    std::string checkpoint;
    std::vector<std::string> failed_workers; ///< Different workers.

    bool operator==(transferred_task const&) const = default;
};

/// Tasks of one job on their way into a cell: a submission, or a move from
/// another cell. The name makes taking it in idempotent.
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

/// The whole job as submitted: all its tasks, none ever tried.
inbox_message make_submission_message(job const& what);

struct message_accepted
{
    inbox_message message;

    bool operator==(message_accepted const&) const = default;
};

/// Committed before the worker is told. Both times are on the worker's clock.
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
    refused, ///< The worker did not take it.
    stopped, ///< Evicted or cancelled; the worker said that it is over.
    lost,    ///< Gone with its worker, or its lease ran out.
    unsent,  ///< The worker was never told.
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

/// Committed before the attempt is stopped: the next one resumes from it.
struct checkpoint_taken
{
    task_key task;
    std::uint32_t attempt = 0;
    std::string checkpoint;

    bool operator==(checkpoint_taken const&) const = default;
};

/// No further attempt of this job; running ones are stopped.
struct job_stopped
{
    std::string job;
    common::result_code code = common::result_code::job_cancelled;
    std::string why;

    bool operator==(job_stopped const&) const = default;
};

/// Queued tasks leave for another cell: the first record of a move. The
/// parcel is then written to that cell's inbox until it is known to be there.
struct transfer_started
{
    std::string message_name;
    std::string target_cell;
    std::string job;
    std::vector<std::uint32_t> tasks;
    std::uint32_t moves = 0;

    bool operator==(transfer_started const&) const = default;
};

/// The parcel is in the other cell's inbox; this cell is done with it.
struct transfer_completed
{
    std::string message_name;

    bool operator==(transfer_completed const&) const = default;
};

/// An ended job whose time in the list is over.
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

/// One value of the log: the changes committed together, and who wrote them.
struct log_record
{
    std::uint64_t number = 0; ///< From 1, without gaps.
    std::uint64_t epoch = 0;  ///< Of the writer's claim.
    std::string writer;       ///< Incarnation and write id; never repeated.
    std::vector<change> changes;

    bool operator==(log_record const&) const = default;
};

std::string to_json(log_record const& value);
std::optional<log_record> parse_log_record(std::string_view json,
                                           common::failure& reason);

} // namespace fuchsia::core::tasks
