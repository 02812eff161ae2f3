#pragma once

#include "core/pool/configuration.hpp"
#include "core/pool/job.hpp"
#include "core/pool/progress.hpp"
#include "ports/pool_actions.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// A job while its owner works on it.
namespace fuchsia::core::pool
{

enum class task_phase : std::uint8_t
{
    blocked,    ///< Earlier steps are not done, or its time has not come.
    unresolved, ///< A previous owner may have started it; not yet known where.
    ready,      ///< Waits for a worker.
    starting,   ///< The order is on its way.
    running,
    stopping, ///< Ordered to stop; may run until its end is known.
    done,
};

/// Cores that neighbours of one image used, as a share of the worker's.
struct neighbour_share
{
    std::uint16_t image = 0;
    double share = 0;
};

/// How a serving task fared when its worker last told.
struct serving_reading
{
    common::time_point when{};
    double headroom = 0;      ///< Target / tail.
    double headroom_loss = 0; ///< What its neighbours were taken to cost then.
    std::vector<neighbour_share> neighbours; ///< By image, ascending.
};

/// A task and its only run. At most one attempt may be at work anywhere, so
/// the next one starts only once the last is known to be over.
struct task
{
    task_phase phase = task_phase::blocked;
    std::uint32_t attempt = 0;            ///< Of the present or last run.
    std::vector<std::uint32_t> failures;  ///< Attempts that failed.
    std::string worker;                   ///< Of the present run.
    std::uint64_t worker_incarnation = 0; ///< Incarnation of that worker.
    /// Its start got no answer and may be carried out seconds late: that a
    /// worker does not show it proves nothing before the worker took a stop.
    bool start_unanswered = false;
    bool ran_before = false; ///< It waits after a run that is over.
    std::string checkpoint;
    std::uint32_t percent = 0;
    std::int64_t level = 0;
    std::uint32_t speed_limit = 100; ///< As ordered.
    common::time_point paused_at{};  ///< When it was ordered to stand still.
    serving_reading reading;         ///< Of a serving task; the last one.
    common::time_point started{};
    common::time_point reported_at{};   ///< When its percent was last told.
    common::time_point progressed_at{}; ///< Last seen to make progress.
    std::vector<std::string> failed_on; ///< Workers to avoid.

    /// Whether it takes room on its worker.
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
    std::vector<std::uint32_t> ready;      ///< Indexes, the next one last.
    std::map<std::string, ticket> tickets; ///< By worker; kept when over.
    std::set<std::string>
        policy_requested_for;     ///< Workers that the policy was asked about.
    std::uint32_t tasks_left = 0; ///< Tasks that are not done.
    bool open = false;            ///< Its tasks may start.
    std::uint16_t image = 0;      ///< Number of the image that its tasks run.
    double isolated_headroom =
        0; ///< Headroom of its serving tasks without neighbours.
    /// Of a lasting step: a worker that can't be used now has room for two of
    /// its tasks.
    bool capacity_elsewhere = false;
};

struct occurrence_run
{
    std::vector<step_run> steps;
    std::int64_t due_unix_ms = 0; ///< 0: at once.
};

enum class job_phase : std::uint8_t
{
    active,
    cancelling, ///< Nothing starts; what runs is being stopped.
    failing,    ///< The same, after too many failures.
    finished,   ///< All is over; the final state is on its way to the store.
    recorded,   ///< The final state lies in the store.
};

struct job_run
{
    job spec;
    std::uint64_t revision = 0; ///< Of the job's key.
    queue rules;                ///< As they were when it was loaded.
    job_phase phase = job_phase::active;
    ports::job_state outcome = ports::job_state::completed;
    std::vector<occurrence_run> occurrences;
    std::uint64_t tasks_left = 0; ///< Tasks that are not done.
    std::uint32_t placed = 0;     ///< Tasks that take room somewhere.
    bool started = false;         ///< Some task has ever been started.
    bool dirty = false;           ///< Has progress that is not in the store.
    bool has_progress = false;    ///< A progress record may lie in the store.
    bool cancel_key = false;      ///< A cancel record lies in the store.
    std::int64_t first_start_unix_ms = 0; ///< 0: not by this owner.
    std::uint32_t rank = 0; ///< Its place among the waiting: lower is first.
    std::int64_t due_unix_ms = 0;  ///< Where it earns all of its worth.
    std::int64_t late_unix_ms = 0; ///< Where it earns nothing any more.

    task& at(ports::task_name const& name);
    /// Null where the job has no such task.
    task* find(ports::task_name const& name);
    step const& step_of(ports::task_name const& name) const;
};

/// Whether a task of the step has failed as often as its queue allows; a gang
/// fails as one, whichever of its members does.
bool out_of_attempts(job_run const& run,
                     std::size_t occurrence,
                     std::size_t number);
/// The same of any step.
bool out_of_attempts(job_run const& run);

/// Lays out all tasks, as blocked; `steps` open later.
job_run make_job_run(job spec, std::uint64_t revision, queue const& rules);
void apply(progress const& known, job_run& to);
progress progress_of(job_run const& from);

} // namespace fuchsia::core::pool
