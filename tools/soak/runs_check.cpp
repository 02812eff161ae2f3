#include "tools/soak/runs_check.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::duration;
using core::common::time_point;
using ports::end_kind;

namespace
{

task_history& task_of(observed_history& history, ports::task_name const& task)
{
    return history.jobs[task.job].tasks[{task.step, task.index}];
}

bool is_lasting(job_history const& job, ports::task_name const& task)
{
    return job.has_task(task) && job.shape.steps[task.step].lasting;
}

void check_submitted(observed_history& history,
                     time_point at,
                     ports::task_name const& task)
{
    job_history& job = history.jobs[task.job];
    if (!job.has_task(task))
    {
        history.report(rule::refused_job_ran,
                       at,
                       name_of(task),
                       "started, but was never submitted");
        job.unjustified_run_reported = true;
    }
    else if (job.all_refused())
    {
        history.report(
            rule::refused_job_ran,
            at,
            name_of(task),
            "started after all submissions of its job were rejected");
        job.unjustified_run_reported = true;
    }
}

void check_duplicate(observed_history& history,
                     time_point at,
                     ports::task_name const& task)
{
    task_history const& task_record = task_of(history, task);
    auto const other = std::find_if(task_record.runs.begin(),
                                    task_record.runs.end(),
                                    [](run_history const& run)
                                    {
                                        return !run.ended_at;
                                    });
    if (other != task_record.runs.end())
    {
        history.report(rule::duplicate_run,
                       at,
                       name_of(task),
                       "already runs on " + other->worker);
    }
    if (!is_lasting(history.jobs[task.job], task) &&
        task_record.acknowledged_at(end_kind::done, 1))
    {
        history.report(rule::duplicate_run,
                       at,
                       name_of(task),
                       "started after an acknowledged end");
    }
    else if (!is_lasting(history.jobs[task.job], task) &&
             task_record.done_noted_at &&
             at > *task_record.done_noted_at + history.bounds.start_after_done)
    {
        history.report(rule::duplicate_run,
                       at,
                       name_of(task),
                       "started too long after an end as done was acknowledged "
                       "that a lease had expired after");
    }
}

void check_order(observed_history& history,
                 time_point at,
                 ports::task_name const& task)
{
    job_history const& job = history.jobs[task.job];
    for (std::uint32_t const earlier : job.shape.steps[task.step].after)
    {
        if (!job.step_done(earlier))
        {
            history.report(rule::step_order,
                           at,
                           name_of(task),
                           "step " + std::to_string(earlier) + " is not done");
        }
    }
}

void check_attempts(observed_history& history,
                    time_point at,
                    ports::task_name const& task)
{
    job_history const& job = history.jobs[task.job];
    auto const last =
        task_of(history, task)
            .acknowledged_at(end_kind::failed, job.shape.attempts);
    if (!is_lasting(job, task) && last)
    {
        history.report(rule::attempt_limit,
                       at,
                       name_of(task),
                       "started after its last attempt had failed");
    }
}

// A task that crashes its workers may start twice more after the third crash.
// Only starts by instances in touch count.
void check_crash_budget(observed_history& history,
                        time_point at,
                        ports::task_name const& task)
{
    constexpr std::size_t counted_crashes = 3;
    constexpr std::size_t forbidden_start = 3;
    task_history& record = task_of(history, task);
    bool const counts = record.crashes.size() >= counted_crashes &&
                        history.fault_free_for(duration{}, at);
    if (counts && ++record.starts_after_crashes == forbidden_start)
    {
        history.report(rule::crash_budget,
                       at,
                       name_of(task),
                       "started three times more after three workers had "
                       "crashed under it");
    }
}

void check_cancelled(observed_history& history,
                     time_point at,
                     ports::task_name const& task)
{
    auto const since = history.cancelled_since(history.jobs[task.job], at);
    duration const bound = history.bounds.cancel;
    if (since && at > *since + bound && history.fault_free_for(bound, at))
    {
        history.report(rule::ran_after_cancel,
                       at,
                       name_of(task),
                       "started too long after the cancel of its job");
    }
}

/// Reports a run of a cancelled job if, up to `at`, it continued longer than
/// allowed within a fault-free interval.
void check_stopped(observed_history& history,
                   time_point at,
                   ports::task_name const& task,
                   run_history const& run)
{
    auto const since = history.cancelled_since(history.jobs[task.job], at);
    if (!since)
    {
        return;
    }
    // If the order was delayed by a fault, the instances need time to detect
    // the run.
    time_point const detected_by =
        run.started_at + history.bounds.stable_window;
    bool const in_time =
        run.started_at <= *since ||
        history.fault_intervals.is_fault_free(*since, run.started_at);
    time_point const begin = in_time ? *since : std::max(*since, detected_by);
    duration const bound = history.bounds.cancel + history.bounds.stop;
    if (history.fault_intervals.has_fault_free_interval(begin, at, bound))
    {
        history.report(rule::ran_after_cancel,
                       at,
                       name_of(task),
                       "continued to run too long after the cancel of its job");
    }
}

/// Whether a run started after the end at `decided_at`, which ruled out further
/// runs and was acknowledged at `at`. Returns false if a fault was active in
/// between, because the fault may have hidden the end.
bool started_after(observed_history const& history,
                   task_history const& task_record,
                   time_point decided_at,
                   time_point at)
{
    return history.fault_intervals.is_fault_free(decided_at, at) &&
           std::any_of(task_record.runs.begin(),
                       task_record.runs.end(),
                       [&](run_history const& run)
                       {
                           return run.started_at > decided_at;
                       });
}

void check_acknowledged(observed_history& history,
                        time_point at,
                        ports::task_name const& task,
                        end_kind outcome)
{
    job_history const& job = history.jobs[task.job];
    task_history const& task_record = task_of(history, task);
    bool const done = outcome == end_kind::done;
    std::size_t const limit = done ? 1 : job.shape.attempts;
    auto const decided_at = task_record.acknowledged_at(outcome, limit);
    bool const is_final = decided_at && (done || outcome == end_kind::failed);
    if (is_final && !is_lasting(job, task) &&
        started_after(history, task_record, *decided_at, at))
    {
        history.report(
            done ? rule::duplicate_run : rule::attempt_limit,
            at,
            name_of(task),
            "started again between its final end and the acknowledgement");
    }
}

/// Marks the unacknowledged ends on a crashed worker as lost: possibly no
/// instance has received them.
void mark_lost_ends(observed_history& history, std::string const& worker)
{
    for (auto& [name, job] : history.jobs)
    {
        for (auto& [task_key, task] : job.tasks)
        {
            for (run_history& run : task.runs)
            {
                run.lost |= run.worker == worker && !run.acknowledged;
            }
        }
    }
}

} // namespace

void runs_check::record(observed_history& history,
                        time_point at,
                        run_started const& start)
{
    ports::task_name const& task = start.run.task;
    job_history& job = history.jobs[task.job];
    check_submitted(history, at, task);
    if (job.has_task(task))
    {
        check_duplicate(history, at, task);
        check_order(history, at, task);
        check_attempts(history, at, task);
        check_crash_budget(history, at, task);
        check_cancelled(history, at, task);
    }
    check_place(history, at, start);
    if (!job.first_started_at)
    {
        job.first_started_at = at;
    }
    auto& runs = task_of(history, task).runs;
    running_[{start.worker, start.run}] = runs.size();
    runs.push_back({start.worker, start.run.attempt, at, {}, {}});
    capacity_.check_start(history, at, start, used_on(history, start.worker));
}

std::int64_t runs_check::used_on(observed_history const& history,
                                 std::string const& worker) const
{
    std::int64_t used = 0;
    for (auto entry = running_.lower_bound({worker, ports::pool_attempt{}});
         entry != running_.end() && entry->first.first == worker;
         ++entry)
    {
        ports::task_name const& task = entry->first.second.task;
        auto const job = history.jobs.find(task.job);
        if (job != history.jobs.end() && job->second.has_task(task))
        {
            used += job->second.shape.steps[task.step].millicores;
        }
    }
    return used;
}

void runs_check::check_place(observed_history& history,
                             time_point at,
                             run_started const& start) const
{
    auto const late = [&](auto const& since, auto const& name, duration bound)
    {
        auto const entry = since.find(name);
        return entry != since.end() && at > entry->second + bound &&
               history.fault_free_for(bound, at);
    };
    std::string const task = name_of(start.run.task);
    if (late(draining_since_, start.worker, history.bounds.drain))
    {
        history.report(rule::drain, at, task, start.worker + " is draining");
    }
    if (late(evacuated_since_, start.data_centre, history.bounds.data_centre))
    {
        history.report(
            rule::data_centre, at, task, start.data_centre + " is evacuated");
    }
}

void runs_check::record(observed_history& history,
                        time_point at,
                        run_ended const& end)
{
    auto const entry = running_.find({end.worker, end.run});
    if (entry == running_.end())
    {
        return;
    }
    run_history& run = task_of(history, end.run.task).runs[entry->second];
    run.ended_at = at;
    run.outcome = end.outcome;
    running_.erase(entry);
    check_stopped(history, at, end.run.task, run);
}

void runs_check::record(observed_history& history,
                        time_point at,
                        end_acknowledged const& end)
{
    task_history& record = task_of(history, end.run.task);
    if (end.outcome == end_kind::done)
    {
        record.done_noted_at = record.done_noted_at.value_or(at);
    }
    if (end.lease_expired)
    {
        return; // The end may have been treated as lost before.
    }
    auto& runs = record.runs;
    auto const run =
        std::find_if(runs.begin(),
                     runs.end(),
                     [&](run_history const& candidate)
                     {
                         return candidate.worker == end.worker &&
                                candidate.attempt == end.run.attempt &&
                                candidate.outcome == end.outcome &&
                                !candidate.acknowledged;
                     });
    if (run != runs.end())
    {
        run->acknowledged = true;
        check_acknowledged(history, at, end.run.task, end.outcome);
    }
}

void runs_check::record(observed_history& history,
                        time_point at,
                        worker_crashed const& crash)
{
    draining_since_.erase(crash.worker);
    capacity_.record(crash);
    if (crash.culprit)
    {
        task_of(history, *crash.culprit).crashes.push_back(at);
    }
    mark_lost_ends(history, crash.worker);
    auto entry = running_.lower_bound({crash.worker, ports::pool_attempt{}});
    while (entry != running_.end() && entry->first.first == crash.worker)
    {
        ports::task_name const& task = entry->first.second.task;
        run_history& run = task_of(history, task).runs[entry->second];
        run.ended_at = at;
        check_stopped(history, at, task, run);
        entry = running_.erase(entry);
    }
}

void runs_check::record(observed_history&,
                        time_point at,
                        capacity_set const& change)
{
    capacity_.record(at, change);
}

void runs_check::record(observed_history&,
                        time_point at,
                        worker_draining const& draining)
{
    draining_since_.emplace(draining.worker, at);
}

void runs_check::record(observed_history&,
                        time_point at,
                        data_centre_set const& change)
{
    if (change.out_of_service)
    {
        evacuated_since_.emplace(change.name, at);
    }
    else
    {
        evacuated_since_.erase(change.name);
    }
}

void runs_check::finish(observed_history& history, time_point now) const
{
    for (auto const& [key, run_index] : running_)
    {
        ports::task_name const& task = key.second.task;
        check_stopped(
            history, now, task, task_of(history, task).runs[run_index]);
    }
    for (auto const& [name, job] : history.jobs)
    {
        if (job.first_started_at && !job.unjustified_run_reported &&
            job.all_refused())
        {
            history.report(rule::refused_job_ran,
                           now,
                           name,
                           "ran, but all submissions were rejected");
        }
    }
}

} // namespace fuchsia::tools::soak
