#include "tools/soak/runs_check.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::duration;
using core::common::time_point;
using ports::end_kind;

namespace
{

task_history& task_of(observed_history& seen, ports::task_name const& task)
{
    return seen.jobs[task.job].tasks[{task.step, task.index}];
}

bool lasting(job_history const& job, ports::task_name const& task)
{
    return job.has_task(task) && job.shape.steps[task.step].lasting;
}

void check_asked(observed_history& seen,
                 time_point at,
                 ports::task_name const& task)
{
    job_history& job = seen.jobs[task.job];
    if (!job.has_task(task))
    {
        seen.report(
            rule::refused_job_ran, at, name_of(task), "nobody handed it in");
        job.unjustified_run_reported = true;
    }
    else if (job.all_refused())
    {
        seen.report(rule::refused_job_ran,
                    at,
                    name_of(task),
                    "starts after the refusal");
        job.unjustified_run_reported = true;
    }
}

void check_doubled(observed_history& seen,
                   time_point at,
                   ports::task_name const& task)
{
    task_history const& book = task_of(seen, task);
    auto const other = std::find_if(book.runs.begin(),
                                    book.runs.end(),
                                    [](run_history const& run)
                                    {
                                        return !run.ended_at;
                                    });
    if (other != book.runs.end())
    {
        seen.report(rule::duplicate_run,
                    at,
                    name_of(task),
                    "runs already on " + other->worker);
    }
    if (!lasting(seen.jobs[task.job], task) &&
        book.acknowledged_at(end_kind::done, 1))
    {
        seen.report(rule::duplicate_run, at, name_of(task), "was done");
    }
}

void check_order(observed_history& seen,
                 time_point at,
                 ports::task_name const& task)
{
    job_history const& job = seen.jobs[task.job];
    for (std::uint32_t const earlier : job.shape.steps[task.step].after)
    {
        if (!job.step_done(earlier))
        {
            seen.report(rule::step_order,
                        at,
                        name_of(task),
                        "step " + std::to_string(earlier) + " is not done");
        }
    }
}

void check_attempts(observed_history& seen,
                    time_point at,
                    ports::task_name const& task)
{
    job_history const& job = seen.jobs[task.job];
    auto const last =
        task_of(seen, task)
            .acknowledged_at(end_kind::failed, job.shape.attempts);
    if (!lasting(job, task) && last)
    {
        seen.report(
            rule::attempt_limit, at, name_of(task), "had failed for good");
    }
}

void check_cancelled(observed_history& seen,
                     time_point at,
                     ports::task_name const& task)
{
    auto const since = seen.cancelled_since(seen.jobs[task.job], at);
    duration const bound = seen.bounds.cancel;
    if (since && at > *since + bound && seen.fault_free_for(bound, at))
    {
        seen.report(
            rule::ran_after_cancel, at, name_of(task), "its job is cancelled");
    }
}

/// Whether a run of a cancelled job worked on, up to `at`, longer than it may
/// in some calm stretch.
void check_stopped(observed_history& seen,
                   time_point at,
                   ports::task_name const& task,
                   run_history const& run)
{
    auto const since = seen.cancelled_since(seen.jobs[task.job], at);
    if (!since)
    {
        return;
    }
    // An order that came late leaves time to hear of the run.
    time_point const heard = run.started_at + seen.bounds.stable_window;
    bool const in_time =
        run.started_at <= *since ||
        seen.fault_intervals.is_fault_free(*since, run.started_at);
    time_point const begin = in_time ? *since : std::max(*since, heard);
    duration const bound = seen.bounds.cancel + seen.bounds.stop;
    if (seen.fault_intervals.has_fault_free_interval(begin, at, bound))
    {
        seen.report(rule::ran_after_cancel,
                    at,
                    name_of(task),
                    "ran on after the cancel");
    }
}

/// Whether a run began after what the end at `decided` ruled out, where that
/// end was acknowledged only at `at`. Trouble may have hidden the end.
bool ran_on(observed_history const& seen,
            task_history const& book,
            time_point decided,
            time_point at)
{
    return seen.fault_intervals.is_fault_free(decided, at) &&
           std::any_of(book.runs.begin(),
                       book.runs.end(),
                       [&](run_history const& run)
                       {
                           return run.started_at > decided;
                       });
}

void check_acknowledged(observed_history& seen,
                        time_point at,
                        ports::task_name const& task,
                        end_kind how)
{
    job_history const& job = seen.jobs[task.job];
    task_history const& book = task_of(seen, task);
    bool const done = how == end_kind::done;
    std::size_t const limit = done ? 1 : job.shape.attempts;
    auto const decided = book.acknowledged_at(how, limit);
    bool const decides = decided && (done || how == end_kind::failed);
    if (decides && !lasting(job, task) && ran_on(seen, book, *decided, at))
    {
        seen.report(done ? rule::duplicate_run : rule::attempt_limit,
                    at,
                    name_of(task),
                    "began again after this end");
    }
}

/// Ends that nobody may have heard of are gone with the worker.
void lose_ends(observed_history& seen, std::string const& worker)
{
    for (auto& [name, job] : seen.jobs)
    {
        for (auto& [place, task] : job.tasks)
        {
            for (run_history& run : task.runs)
            {
                run.lost |= run.worker == worker && !run.acknowledged;
            }
        }
    }
}

} // namespace

void runs_check::take(observed_history& seen,
                      time_point at,
                      run_started const& start)
{
    ports::task_name const& task = start.run.task;
    job_history& job = seen.jobs[task.job];
    check_asked(seen, at, task);
    if (job.has_task(task))
    {
        check_doubled(seen, at, task);
        check_order(seen, at, task);
        check_attempts(seen, at, task);
        check_cancelled(seen, at, task);
    }
    check_place(seen, at, start);
    if (!job.first_started_at)
    {
        job.first_started_at = at;
    }
    auto& runs = task_of(seen, task).runs;
    running_[{start.worker, start.run}] = runs.size();
    runs.push_back({start.worker, start.run.attempt, at, {}, {}});
}

void runs_check::check_place(observed_history& seen,
                             time_point at,
                             run_started const& start) const
{
    auto const late = [&](auto const& since, auto const& name, duration bound)
    {
        auto const entry = since.find(name);
        return entry != since.end() && at > entry->second + bound &&
               seen.fault_free_for(bound, at);
    };
    std::string const task = name_of(start.run.task);
    if (late(draining_, start.worker, seen.bounds.drain))
    {
        seen.report(rule::drain, at, task, start.worker + " leaves");
    }
    if (late(out_, start.data_centre, seen.bounds.data_centre))
    {
        seen.report(rule::data_centre, at, task, start.data_centre + " is out");
    }
}

void runs_check::take(observed_history& seen,
                      time_point at,
                      run_ended const& end)
{
    auto const entry = running_.find({end.worker, end.run});
    if (entry == running_.end())
    {
        return;
    }
    run_history& run = task_of(seen, end.run.task).runs[entry->second];
    run.ended_at = at;
    run.outcome = end.outcome;
    running_.erase(entry);
    check_stopped(seen, at, end.run.task, run);
}

void runs_check::take(observed_history& seen,
                      time_point at,
                      end_acknowledged const& end)
{
    auto& runs = task_of(seen, end.run.task).runs;
    auto const run = std::find_if(runs.begin(),
                                  runs.end(),
                                  [&](run_history const& known)
                                  {
                                      return known.worker == end.worker &&
                                             known.attempt == end.run.attempt &&
                                             known.outcome == end.outcome &&
                                             !known.acknowledged;
                                  });
    if (run != runs.end())
    {
        run->acknowledged = true;
        check_acknowledged(seen, at, end.run.task, end.outcome);
    }
}

void runs_check::take(observed_history& seen,
                      time_point at,
                      worker_crashed const& crash)
{
    draining_.erase(crash.worker);
    lose_ends(seen, crash.worker);
    auto entry = running_.lower_bound({crash.worker, ports::pool_attempt{}});
    while (entry != running_.end() && entry->first.first == crash.worker)
    {
        ports::task_name const& task = entry->first.second.task;
        run_history& run = task_of(seen, task).runs[entry->second];
        run.ended_at = at;
        check_stopped(seen, at, task, run);
        entry = running_.erase(entry);
    }
}

void runs_check::take(observed_history&,
                      time_point at,
                      worker_draining const& leaving)
{
    draining_.emplace(leaving.worker, at);
}

void runs_check::take(observed_history&,
                      time_point at,
                      data_centre_set const& change)
{
    if (change.out_of_service)
    {
        out_.emplace(change.name, at);
    }
    else
    {
        out_.erase(change.name);
    }
}

void runs_check::finish(observed_history& seen, time_point now) const
{
    for (auto const& [where, place] : running_)
    {
        ports::task_name const& task = where.second.task;
        check_stopped(seen, now, task, task_of(seen, task).runs[place]);
    }
    for (auto const& [name, job] : seen.jobs)
    {
        if (job.first_started_at && !job.unjustified_run_reported &&
            job.all_refused())
        {
            seen.report(rule::refused_job_ran,
                        now,
                        name,
                        "ran, and was refused each time");
        }
    }
}

} // namespace fuchsia::tools::soak
