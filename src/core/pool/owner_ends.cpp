#include "core/pool/owner.hpp"

#include <algorithm>
#include <array>
#include <utility>

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

// Counts the end of an attempt that changes nothing.
void owner::note_unused_end(worker const& target,
                            ports::ended_attempt const& row)
{
    auto const* const t = find_task(row.attempt_id.task).state;
    if (row.kind != end_kind::done && row.kind != end_kind::failed)
    {
        return;
    }
    if (t == nullptr || t->phase == task_phase::done ||
        t->done_by_other_attempt)
    {
        ++counters_.ends_known;
        return;
    }
    ++counters_.ends_ignored;
    log_other_end(severity::warning,
                  "end_ignored",
                  target,
                  row.attempt_id,
                  {{"how", std::string(name_of(row.kind))}});
}

// Logs the end of another attempt than the present one.
void owner::log_other_end(severity level,
                          char const* event,
                          worker const& target,
                          ports::pool_attempt const& attempt_id,
                          std::vector<ports::header> extra_fields)
{
    auto const& t = *find_task(attempt_id.task).state;
    extra_fields.push_back({"phase", std::string(name_of(t.phase))});
    extra_fields.push_back({"present_attempt", std::to_string(t.attempt)});
    extra_fields.push_back({"present_worker", t.worker});
    log_task(level, event, attempt_id, target.info.id, std::move(extra_fields));
}

// Returns whether the end changed anything.
bool owner::apply_end(common::time_point now,
                      worker& target,
                      ports::ended_attempt const& row)
{
    auto const& name = row.attempt_id.task;
    auto const [run, t] = find_task(name);
    if (t == nullptr || t->phase == task_phase::done)
    {
        return false;
    }
    bool const is_current = t->placed() && t->worker == target.info.id &&
                            t->attempt == row.attempt_id.attempt;
    if (is_current)
    {
        apply_current_end(now, target, *run, row);
        return true;
    }
    return row.kind == end_kind::done
               ? apply_other_done(now, target, *run, row.attempt_id)
               : apply_other_end(now, target, *run, row);
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
    if (row.kind == end_kind::failed && !t.done_by_other_attempt)
    {
        apply_failure(now, target, run, row.attempt_id, true);
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

// Handles the end as done of an attempt that this owner did not start, or that
// it has given up. The task is done whatever this owner takes it for: the
// worker forgets the end once it is acknowledged, and nobody could learn of it
// again. A long-running task is never done.
bool owner::apply_other_done(common::time_point now,
                             worker& target,
                             job_run& run,
                             ports::pool_attempt const& attempt_id)
{
    auto& t = run.at(attempt_id.task);
    if (run.step_of(attempt_id.task).long_running || t.done_by_other_attempt)
    {
        return false;
    }
    if (!may_belong_to_earlier_owner(run, t))
    {
        log_other_end(
            severity::info, "end_of_other_attempt", target, attempt_id);
    }
    t.attempt =
        t.placed() ? t.attempt : std::max(t.attempt, attempt_id.attempt);
    run.started = true;
    target.failed_jobs.clear();
    task_done_by_other(now, run, attempt_id.task);
    return true;
}

// Handles any other end of such an attempt.
bool owner::apply_other_end(common::time_point now,
                            worker& target,
                            job_run& run,
                            ports::ended_attempt const& row)
{
    auto& t = run.at(row.attempt_id.task);
    bool const inherited = may_belong_to_earlier_owner(run, t);
    // The end of a run that was counted as lost and was not restarted since.
    bool const late = t.phase == task_phase::ready &&
                      t.worker == target.info.id &&
                      t.attempt == row.attempt_id.attempt;
    if (!row.checkpoint.empty() && (inherited || late))
    {
        t.checkpoint = row.checkpoint;
    }
    if (!inherited)
    {
        return false;
    }
    // Another worker may still run a later attempt of the task.
    t.attempt = std::max(t.attempt, row.attempt_id.attempt);
    run.started = true;
    if (row.kind == end_kind::failed)
    {
        apply_failure(now, target, run, row.attempt_id, false);
    }
    return true;
}

// Counts the failure of another attempt than the present one: of an earlier
// owner, which may have handled it, or of one that this owner has given up. The
// failure counts even if the task already runs again on another worker. Returns
// whether the end is such a failure, counted now or before.
bool owner::count_other_failure(common::time_point now,
                                ports::ended_attempt const& row)
{
    auto const& name = row.attempt_id.task;
    auto const [run, t] = find_task(name);
    if (t == nullptr || row.kind != end_kind::failed ||
        t->phase == task_phase::done || t->done_by_other_attempt)
    {
        return false;
    }
    if (std::find(t->failures.begin(),
                  t->failures.end(),
                  row.attempt_id.attempt) != t->failures.end())
    {
        return true;
    }
    count_failure(*run, name, row.attempt_id.attempt);
    if (run->phase == job_phase::active &&
        out_of_attempts(*run, name.occurrence, name.step))
    {
        fail_exhausted_job(now, *run);
    }
    return true;
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

// Workers report an end until it is acknowledged, so the failure may have been
// counted already.
void owner::apply_failure(common::time_point now,
                          worker& target,
                          job_run& run,
                          ports::pool_attempt const& attempt_id,
                          bool is_current)
{
    auto& t = run.at(attempt_id.task);
    auto const& failures = t.failures;
    bool const already_counted =
        std::find(failures.begin(), failures.end(), attempt_id.attempt) !=
        failures.end();
    if (already_counted && is_current)
    {
        task_over(now, run, attempt_id.task);
    }
    if (already_counted)
    {
        return;
    }
    log_failure(now, target, run, attempt_id);
    t.worker = target.info.id;
    note_worker_failure(now, target, attempt_id.task.job);
    if (is_current)
    {
        task_failed(now, run, attempt_id.task);
        return;
    }
    count_failure(run, attempt_id.task, attempt_id.attempt);
}

} // namespace fuchsia::core::pool
