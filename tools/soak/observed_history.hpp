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

// What the checks have seen so far, by job and task.
namespace fuchsia::tools::soak
{

/// One run of a task on one worker.
struct run_history
{
    std::string worker;
    std::uint32_t attempt = 0;
    core::common::time_point started_at{};
    std::optional<core::common::time_point> ended_at; ///< Ended, or crashed.
    std::optional<ports::end_kind> outcome;           ///< Empty: crashed.
    bool acknowledged = false;
    bool lost = false; ///< The worker crashed before that.
};

struct task_history
{
    std::vector<run_history> runs; ///< In the order of their begin.

    /// When the `nth` (from 1) run that ended so did end; empty: fewer did.
    std::optional<core::common::time_point> ended_at(ports::end_kind end,
                                                     std::size_t nth) const;
    /// The same of the runs whose end was acknowledged.
    std::optional<core::common::time_point>
    acknowledged_at(ports::end_kind end, std::size_t nth) const;
    bool done() const;
};

struct job_history
{
    job_shape shape;
    std::optional<core::common::time_point> first_sent_at; ///< The first time.
    std::size_t unanswered = 0; ///< Sendings under way.
    std::size_t answers = 0;
    std::size_t rejections = 0;
    std::optional<core::common::time_point> accepted_at;
    std::optional<core::common::time_point>
        cancel_acknowledged_at; ///< Acknowledged.
    /// The first cancel that ended so that it may have been carried out.
    std::optional<core::common::time_point> first_possible_cancel_at;
    std::optional<core::common::time_point> first_started_at;
    std::optional<core::common::time_point> reported_cancelled_at;
    /// The last answer on its state after the end of the traffic.
    std::optional<status_query_ended> last_status;
    bool unjustified_run_reported = false;
    std::map<std::pair<std::uint32_t, std::uint32_t>, task_history> tasks;

    /// Each sending so far was answered, and none but with a rejection.
    bool all_refused() const;
    bool has_task(ports::task_name const& task) const;
    /// All tasks of the step have ended done; never, where they last.
    bool step_done(std::uint32_t step) const;
    /// When its last task ended done; empty: not all have.
    std::optional<core::common::time_point> completed_at() const;
    /// When a task had used up its attempts; empty: none has.
    std::optional<core::common::time_point> failed_at() const;
    /// Accepted, and nobody tried to cancel it.
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

    /// When a cancel of the job has to be obeyed from, as known at `at`; also
    /// an unanswered one, once it had time enough to be acknowledged.
    std::optional<core::common::time_point>
    cancelled_since(job_history const& job, core::common::time_point at) const;
    /// No trouble for the last `length` before `at`, and before that long
    /// enough for the system to be itself again.
    bool fault_free_for(core::common::duration length,
                        core::common::time_point at) const;
    void report(rule which,
                core::common::time_point at,
                std::string subject,
                std::string reason);
};

/// JOB.STEP.INDEX
std::string name_of(ports::task_name const& task);

} // namespace fuchsia::tools::soak
