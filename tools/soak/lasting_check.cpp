#include "tools/soak/lasting_check.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::time_point;
using ports::end_kind;

namespace
{

constexpr std::int64_t places_needed = 2;

/// Time at which the step's turn came: its job was accepted and all tasks of
/// the steps before it were done. Empty if it has not come.
std::optional<time_point> turn_of(job_history const& job, std::uint32_t step)
{
    std::optional<time_point> result = job.accepted_at;
    for (std::uint32_t const earlier : job.shape.steps[step].after)
    {
        if (!job.step_done(earlier))
        {
            return std::nullopt;
        }
        for (auto const& [key, task] : job.tasks)
        {
            if (key.first == earlier)
            {
                result = std::max(result, task.ended_at(end_kind::done, 1));
            }
        }
    }
    return result;
}

/// Whether the job has to be worked on until it is cancelled.
bool is_due(job_history const& job)
{
    return job.must_complete() && !job.failed_at() && !job.crashes_workers();
}

bool has_run(task_history const& task)
{
    return std::any_of(task.runs.begin(),
                       task.runs.end(),
                       [](run_history const& run)
                       {
                           return !run.ended_at;
                       });
}

std::optional<time_point> last_end(task_history const& task)
{
    std::optional<time_point> result;
    for (auto const& run : task.runs)
    {
        result = std::max(result, run.ended_at);
    }
    return result;
}

} // namespace

void lasting_check::record(submit_sent const& call)
{
    auto const& steps = call.shape.steps;
    bool const lasts = std::any_of(steps.begin(),
                                   steps.end(),
                                   [](step_shape const& step)
                                   {
                                       return step.lasting;
                                   });
    if (lasts)
    {
        lasting_jobs_.insert(call.job);
    }
}

void lasting_check::record(observed_history const& history,
                           run_started const& start)
{
    room_.record(history, start);
}

void lasting_check::check_until(observed_history& history, time_point at)
{
    for (auto const& name : lasting_jobs_)
    {
        check_job(history, at, name);
    }
}

void lasting_check::check_job(observed_history& history,
                              time_point at,
                              std::string const& name)
{
    auto const& job = history.jobs[name];
    for (std::uint32_t step = 0; step < job.shape.steps.size(); ++step)
    {
        auto const& shape = job.shape.steps[step];
        auto const turn =
            shape.lasting && is_due(job) ? turn_of(job, step) : std::nullopt;
        for (std::uint32_t index = 0; turn && index < shape.count; ++index)
        {
            check_task(history, at, {name, 0, step, index}, *turn);
        }
    }
}

void lasting_check::check_task(observed_history& history,
                               time_point at,
                               ports::task_name const& task,
                               time_point turn)
{
    auto const& bounds = history.bounds;
    auto const& job = history.jobs[task.job];
    auto const found = job.tasks.find({task.step, task.index});
    bool const started = found != job.tasks.end();
    if (started && has_run(found->second))
    {
        gaps_.erase(task);
        return;
    }
    auto& without_run = gaps_[task];
    if (room_.places(job.shape.steps[task.step].millicores) < places_needed)
    {
        without_run.full_at = at;
    }
    auto since = turn;
    if (auto const end = started ? last_end(found->second) : std::nullopt)
    {
        since = std::max(since, *end + bounds.restart);
    }
    since = std::max(since, without_run.full_at.value_or(since));
    auto const calm = history.fault_intervals.fault_free_since();
    bool const broken = calm && since + bounds.idle < at &&
                        *calm + bounds.calm_before + bounds.idle < at;
    if (broken && !without_run.reported)
    {
        without_run.reported = true;
        history.report(rule::job_lost,
                       at,
                       name_of(task),
                       "long-running task without a run");
    }
}

} // namespace fuchsia::tools::soak
