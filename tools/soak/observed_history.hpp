#pragma once

#include "tools/soak/fault_intervals.hpp"
#include "tools/soak/observation.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// History of a soak run by job and task, built from its observations.
namespace fuchsia::tools::soak
{

/// One run of a task on one worker.
struct run_history
{
    std::string worker;
    std::uint32_t attempt = 0;
    core::common::time_point started_at{};
    std::optional<core::common::time_point>
        ended_at;                           ///< Time of the end or the crash.
    std::optional<ports::end_kind> outcome; ///< Empty after a crash.
    bool acknowledged = false; ///< Not after an expiry of the lease.
    bool lost = false; ///< The worker crashed before the end was acknowledged.
};

struct task_history
{
    std::vector<run_history> runs; ///< Runs in order of their start.
    /// Time of the first acknowledgement of an end as done, whether or not the
    /// worker's lease had expired since that end.
    std::optional<core::common::time_point> done_noted_at;
    /// Times at which it crashed a worker, in order.
    std::vector<core::common::time_point> crashes;
    /// Starts since its third crash by instances in touch.
    std::size_t starts_after_crashes = 0;

    /// Time of the `nth` end (from 1) with this outcome; empty if there are
    /// fewer.
    std::optional<core::common::time_point> ended_at(ports::end_kind end,
                                                     std::size_t nth) const;
    /// Time of the `nth` end (from 1) with this outcome among the acknowledged
    /// ends; empty if there are fewer.
    std::optional<core::common::time_point>
    acknowledged_at(ports::end_kind end, std::size_t nth) const;
    bool done() const;
};

struct job_history
{
    job_shape shape;
    std::optional<core::common::time_point> first_sent_at;
    std::size_t unanswered = 0; ///< Submissions without an answer so far.
    std::size_t answers = 0;
    std::size_t rejections = 0;
    std::optional<core::common::time_point> accepted_at;
    std::optional<core::common::time_point> cancel_acknowledged_at;
    /// End of the first cancel call that may have taken effect.
    std::optional<core::common::time_point> first_possible_cancel_at;
    std::optional<core::common::time_point> first_started_at;
    std::optional<core::common::time_point> reported_cancelled_at;
    /// Last answer to a status query sent after the end of the traffic.
    std::optional<status_query_ended> last_status;
    bool unjustified_run_reported = false;
    std::map<std::pair<std::uint32_t, std::uint32_t>, task_history> tasks;

    /// Whether each submission so far has been answered with a rejection.
    bool all_refused() const;
    bool has_task(ports::task_name const& task) const;
    /// Whether all tasks of the step have ended as done. Always false for a
    /// long-running step.
    bool step_done(std::uint32_t step) const;
    /// Time when the last task ended as done; empty if a task has not, and
    /// always empty for a job with a long-running step.
    std::optional<core::common::time_point> completed_at() const;
    /// Time when the first task had failed in all its attempts or had crashed
    /// two workers; empty if no task has. Failures of tasks of long-running
    /// steps do not count.
    std::optional<core::common::time_point> failed_at() const;
    /// Whether a task has crashed a worker. Such a job need not complete.
    bool crashes_workers() const;
    /// Whether the job was accepted and no cancel can have taken effect.
    bool must_complete() const;
};

struct observed_history
{
    explicit observed_history(time_limits value);

    time_limits bounds;
    fault_interval_log fault_intervals;
    std::map<std::string, job_history> jobs;
    std::optional<core::common::time_point> traffic_end;
    std::vector<violation> violations;

    /// Time from which a cancel of the job must take effect, as known at `at`.
    /// A cancel that was not acknowledged but may have taken effect counts too,
    /// once the time limit of an acknowledgement has passed without a fault.
    std::optional<core::common::time_point>
    cancelled_since(job_history const& job, core::common::time_point at) const;
    /// Returns whether no fault was active for `length` before `at` and for the
    /// stable window before that.
    bool fault_free_for(core::common::duration length,
                        core::common::time_point at) const;
    void report(rule which,
                core::common::time_point at,
                std::string subject,
                std::string reason);
};

/// Returns the name of the task as JOB.STEP.INDEX.
std::string name_of(ports::task_name const& task);

} // namespace fuchsia::tools::soak
