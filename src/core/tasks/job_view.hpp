#pragma once

#include "core/config/configuration.hpp"
#include "core/tasks/cell_state.hpp"
#include "core/tasks/inbox.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Builds the view of jobs that operators see, from the tasks in several cells
// and the messages that wait in inboxes.
namespace fuchsia::core::tasks
{

struct task_view
{
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    std::string cell;
    std::string worker;
    std::string state;
    std::string checkpoint;
    std::string why;
};

struct job_view
{
    job definition;
    std::string state; ///< queued, running, finished, failed or cancelled.
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t finished = 0;
    std::uint32_t failed = 0;
    std::uint32_t cancelled = 0;
    std::string why; ///< Why the job waits or ended; empty while it runs.
    std::vector<task_view> tasks;
};

/// Returns the jobs in the entries below `inbox/` and `tasks/`, by job id. The
/// inboxes must be read first: a job that is accepted by its cell between the
/// two reads is then found twice rather than missed.
std::map<std::string, job_view>
build_job_views(std::vector<ports::store_entry> const& inbox_entries,
                std::vector<ports::store_entry> const& cell_entries,
                config::configuration const& config);

std::string to_json(job_view const& value, bool with_tasks);
/// Returns the jobs in the state `state_filter`, or all jobs if it is empty.
std::string to_json(std::map<std::string, job_view> const& jobs,
                    std::string const& state_filter);

} // namespace fuchsia::core::tasks
