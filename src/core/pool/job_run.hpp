#pragma once

#include "core/pool/configuration.hpp"
#include "core/pool/crash_record.hpp"
#include "core/pool/job.hpp"
#include "core/pool/progress.hpp"
#include "ports/pool_actions.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// State of a job while its owner runs it.
namespace fuchsia::core::pool
{

enum class task_phase : std::uint8_t
{
    blocked, ///< Earlier steps are not done, or the occurrence is not due yet.
    unresolved, ///< A previous owner may have started it on a worker that is
                ///< not known yet.
    ready,      ///< Waiting for a worker.
    starting,   ///< The start order has been sent and not answered.
    running,
    stopping, ///< The stop order has been sent; the task may run until its end
              ///< is known.
    done,
};

std::string_view name_of(task_phase phase) noexcept;

/// Cores that the neighbours of one image use, as a share of the worker's.
struct neighbour_share
{
    std::uint16_t image = 0;
    double share = 0;
};

/// Measurement of a serving task from its worker's last report.
struct serving_reading
{
    common::time_point when{};
    double headroom = 0;      ///< Target / tail latency.
    double headroom_loss = 0; ///< Headroom that its neighbours were estimated
                              ///< to take at that time.
    std::vector<neighbour_share> neighbours; ///< Sorted by image.
};

/// A task and its only attempt. At most one attempt may run anywhere, so the
/// next one starts only once the previous one is known to be over.
struct task
{
    task_phase phase = task_phase::blocked;
    std::uint32_t attempt = 0; ///< Number of the present or last attempt.
    std::vector<std::uint32_t> failures;  ///< Attempts that failed.
    std::string worker;                   ///< Worker of the present attempt.
    std::uint64_t worker_incarnation = 0; ///< Incarnation of that worker.
    /// The start order got no answer and may be carried out seconds late. That
    /// the worker does not list the task proves nothing until the worker has
    /// accepted a stop order.
    bool start_unanswered = false;
    /// Its worker no longer runs it, but has not listed its end yet.
    bool end_unlisted = false;
    bool ran_before =
        false; ///< The task is waiting after an attempt that is over.
    /// Another attempt has ended as done; the present one is being stopped.
    bool done_by_other_attempt = false;
    std::string checkpoint;
    std::uint32_t percent = 0;
    std::int64_t level = 0;
    std::uint32_t speed_limit =
        100; ///< Last speed limit sent to the worker, in percent.
    /// Time of the last change of the speed limit; the time of the pause while
    /// the limit is 0.
    common::time_point paused_at{};
    common::time_point speed_limit_sent_at{}; ///< Time of the last order of it.
    bool speed_limit_unanswered = false; ///< That order waits for its answer.
    /// An order got no answer. It may be carried out after newer ones.
    bool speed_limit_unclear = false;
    serving_reading reading; ///< Last reading of a serving task.
    common::time_point started{};
    /// Time for which its worker has reported the present attempt as running.
    common::duration seen_running{};
    common::time_point
        reported_at{}; ///< Time of the last report of its progress.
    common::time_point
        progressed_at{}; ///< Time of the last report that showed progress.
    std::vector<std::string> failed_on; ///< Workers to avoid.
    crash_record crash_history;

    /// Whether an attempt has ended as done.
    bool is_done() const noexcept
    {
        return phase == task_phase::done || done_by_other_attempt;
    }

    /// Whether the task occupies capacity on its worker.
    bool placed() const noexcept
    {
        return phase == task_phase::starting || phase == task_phase::running ||
               phase == task_phase::stopping;
    }
};

/// Permission of a policy to start tasks of a step on a worker.
struct ticket
{
    std::string text;
    std::uint64_t worker_incarnation = 0; ///< Incarnation of the worker.
    common::time_point until{};
};

struct step_run
{
    std::vector<task> tasks;
    std::vector<std::uint32_t>
        ready; ///< Indexes of the ready tasks; the next one is last.
    std::map<std::string, ticket>
        tickets; ///< By worker; expired tickets are kept.
    std::set<std::string>
        policy_requested_for; ///< Workers that a policy request has named.
    /// Time for which other steps are asked about first, since the last policy
    /// requests led to no start, and its end.
    common::duration policy_deferral{};
    common::time_point policy_deferred_until{};
    std::uint32_t tasks_left = 0; ///< Tasks that are not done.
    bool open = false;            ///< Whether its tasks may start.
    std::uint16_t image = 0;      ///< Number of the image that its tasks run.
    double isolated_headroom =
        0; ///< Headroom of its serving tasks without neighbours.
    /// For a gang that wishes for one rack: since when it could have started on
    /// several; zero: it could not yet.
    common::time_point could_spread_since{};
    /// For a long-running step: whether a worker that can't be used now has
    /// capacity for two of its tasks.
    bool capacity_elsewhere = false;
};

struct occurrence_run
{
    std::vector<step_run> steps;
    std::int64_t due_unix_ms = 0; ///< 0: due immediately.
};

enum class job_phase : std::uint8_t
{
    active,
    cancelling, ///< No task starts any more; running tasks are being stopped.
    failing,    ///< Like `cancelling`, after too many failures.
    finished,   ///< All tasks are over; the final state is being written to the
                ///< store.
    recorded,   ///< The final state is in the store.
};

struct job_run
{
    job spec;
    std::uint64_t revision = 0; ///< Revision of the job's key in the store.
    queue rules; ///< Rules of its queue at the time the job was loaded.
    job_phase phase = job_phase::active;
    ports::job_state outcome = ports::job_state::completed;
    std::vector<occurrence_run> occurrences;
    std::uint64_t tasks_left = 0; ///< Tasks that are not done.
    std::uint32_t placed =
        0;                ///< Number of tasks that occupy capacity on a worker.
    bool started = false; ///< Whether any task has ever been started.
    bool dirty =
        false; ///< Whether there is progress that is not in the store yet.
    bool has_progress =
        false; ///< Whether the store may contain a progress record.
    bool cancel_key = false; ///< Whether the store contains a cancel record.
    std::int64_t first_start_unix_ms = 0; ///< 0: not started by this owner.
    std::uint32_t rank =
        0; ///< Rank among the waiting jobs; the lowest starts first.
    std::int64_t due_unix_ms =
        0; ///< Time until which the job earns its full value.
    std::int64_t late_unix_ms = 0; ///< Time from which the job earns nothing.

    task& at(ports::task_name const& name);
    /// Returns null if the job has no such task.
    task* find(ports::task_name const& name);
    step const& step_of(ports::task_name const& name) const;
};

/// Whether a task of the step has failed as often as its queue allows, or has
/// crashed as many workers as any task may. A gang fails as a whole, whichever
/// of its members fails. Long-running tasks may fail without limit.
bool out_of_attempts(job_run const& run,
                     std::size_t occurrence,
                     std::size_t step_index);
/// Whether any step of the job is out of attempts.
bool out_of_attempts(job_run const& run);

/// Creates the run of a job with all tasks blocked; the owner opens the steps
/// later.
job_run make_job_run(job spec, std::uint64_t revision, queue const& rules);
void apply(progress const& saved, job_run& run);
progress progress_of(job_run const& run);

} // namespace fuchsia::core::pool
