#include "core/pool/owner.hpp"

#include <algorithm>
#include <array>

// Handles the ended attempts that workers report.
namespace fuchsia::core::pool
{

using ports::end_kind;
using ports::severity;

namespace
{

std::string_view name_of(end_kind kind)
{
    constexpr std::array<std::string_view, 6> names{
        "done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[static_cast<std::size_t>(kind)];
}

/// Failures of earlier attempts of a task, or of any member of its gang.
struct earlier_failures
{
    bool failed = false;
    std::string workers; ///< Those known to this owner: "w1,w2".
};

earlier_failures failed_before(job_run const& run, ports::task_name const& name)
{
    auto const& tasks = run.occurrences[name.occurrence].steps[name.step].tasks;
    bool const gang = run.step_of(name).gang;
    earlier_failures result;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        if (!gang && index != name.index)
        {
            continue;
        }
        auto const& t = tasks[index];
        result.failed =
            result.failed || !t.failures.empty() || !t.failed_on.empty();
        for (auto const& worker : t.failed_on)
        {
            result.workers += result.workers.empty() ? "" : ",";
            result.workers += worker;
        }
    }
    return result;
}

} // namespace

void owner::apply_end(common::time_point now,
                      worker& target,
                      ports::ended_attempt const& row)
{
    auto const [run, t] = find_task(row.attempt_id.task);
    bool const is_current = t != nullptr && t->placed() &&
                            t->worker == target.info.id &&
                            t->attempt == row.attempt_id.attempt;
    if (is_current)
    {
        apply_current_end(now, target, *run, row);
    }
    else if (t == nullptr || t->is_done())
    {
        ++counters_.ends_unused;
        log_unused_end(target, row.attempt_id);
    }
    else
    {
        apply_other_end(now, target, *run, row);
    }
}

void owner::apply_current_end(common::time_point now,
                              worker& target,
                              job_run& run,
                              ports::ended_attempt const& row)
{
    auto const& name = row.attempt_id.task;
    auto& t = run.at(name);
    t.checkpoint = row.checkpoint.empty() ? t.checkpoint : row.checkpoint;
    if (row.kind == end_kind::done)
    {
        target.failed_jobs.clear();
        task_done(now, run, name);
        return;
    }
    if (row.kind == end_kind::failed && !t.is_done())
    {
        log_failure(now, target, run, row.attempt_id);
        note_worker_failure(now, target, name.job);
        task_failed(now, run, name);
        return;
    }
    if (row.kind != end_kind::stopped)
    {
        ++counters_.tasks_lost;
        log_task(severity::warning,
                 "task_ended",
                 row.attempt_id,
                 target.info.id,
                 {{"how", std::string(name_of(row.kind))}});
    }
    task_over(now, run, name);
}

// Handles the end of an attempt that this owner did not start, or that it has
// given up, of a task that is not done. The worker forgets the end once it is
// acknowledged, and nobody could learn of it again. How an attempt of a
// long-running task ended matters only to the owner that it belongs to.
void owner::apply_other_end(common::time_point now,
                            worker& target,
                            job_run& run,
                            ports::ended_attempt const& row)
{
    auto const& name = row.attempt_id.task;
    auto& t = run.at(name);
    bool const inherited = may_belong_to_earlier_owner(run, t);
    // The end of a run that was counted as lost and was not restarted since.
    bool const late = t.phase == task_phase::ready &&
                      t.worker == target.info.id &&
                      t.attempt == row.attempt_id.attempt;
    if (!row.checkpoint.empty() && (inherited || late))
    {
        t.checkpoint = row.checkpoint;
    }
    if (!t.placed())
    {
        // Another worker may still run a later attempt of the task.
        t.attempt = std::max(t.attempt, row.attempt_id.attempt);
    }
    run.started = true;
    if (run.step_of(name).long_running)
    {
        return;
    }
    if (row.kind == end_kind::done)
    {
        apply_other_done(now, target, run, row.attempt_id);
    }
    else if (row.kind == end_kind::failed)
    {
        apply_other_failure(now, target, run, row.attempt_id);
    }
}

// Logs the end of a run that this owner didn't know of, of a task that was
// done or a job that was over: the task ran once more. Ends that were there
// before this owner reached the worker are not worth a line.
void owner::log_unused_end(worker const& target,
                           ports::pool_attempt const& attempt_id)
{
    auto const* const t = find_task(attempt_id.task).state;
    bool const known = t != nullptr && t->attempt == attempt_id.attempt;
    if (target.ends.caught_up() && !known)
    {
        log_task(severity::info,
                 "end_of_other_attempt",
                 attempt_id,
                 target.info.id,
                 other_attempt_fields(target, attempt_id.task));
    }
}

// The task is done, whatever this owner takes it for.
void owner::apply_other_done(common::time_point now,
                             worker& target,
                             job_run& run,
                             ports::pool_attempt const& attempt_id)
{
    auto const& t = run.at(attempt_id.task);
    if (!may_belong_to_earlier_owner(run, t))
    {
        log_task(severity::info,
                 "end_of_other_attempt",
                 attempt_id,
                 target.info.id,
                 other_attempt_fields(target, attempt_id.task));
    }
    target.failed_jobs.clear();
    task_done_by_other(now, run, attempt_id.task);
}

// Counts the failure, even if the task already runs again. Workers list a
// failure to each owner until it is acknowledged, so it may have been counted
// before.
void owner::apply_other_failure(common::time_point now,
                                worker& target,
                                job_run& run,
                                ports::pool_attempt const& attempt_id)
{
    auto const& name = attempt_id.task;
    auto const& failures = run.at(name).failures;
    if (std::find(failures.begin(), failures.end(), attempt_id.attempt) !=
        failures.end())
    {
        return;
    }
    log_failure(now, target, run, attempt_id);
    note_worker_failure(now, target, name.job);
    count_failure(run, name, attempt_id.attempt);
    if (run.phase == job_phase::active &&
        out_of_attempts(run, name.occurrence, name.step))
    {
        fail_exhausted_job(now, run);
    }
}

// A first failure is common and matters little, so it only goes into the
// digest. Further ones lead to the failure of the job and are logged one by
// one.
void owner::log_failure(common::time_point now,
                        worker const& target,
                        job_run const& run,
                        ports::pool_attempt const& attempt_id)
{
    digest_.task_failed(now, target.info.id);
    auto const earlier = failed_before(run, attempt_id.task);
    if (earlier.failed || run.rules.attempts <= 1)
    {
        log_task(severity::info,
                 "task_failed",
                 attempt_id,
                 target.info.id,
                 {{"failed_before_on", earlier.workers}});
    }
}

} // namespace fuchsia::core::pool
