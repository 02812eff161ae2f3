#include "tools/soak/observed_history.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::duration;
using core::common::time_point;
using ports::end_kind;

namespace
{

// Crashes by a task after which its job may be shown as failed.
constexpr std::size_t crashes_to_give_up = 2;

template<class Predicate>
std::optional<time_point> nth_end(std::vector<run_history> const& runs,
                                  std::size_t nth,
                                  Predicate matches)
{
    std::vector<time_point> ends;
    for (run_history const& run : runs)
    {
        if (matches(run))
        {
            ends.push_back(*run.ended_at);
        }
    }
    if (ends.size() < nth)
    {
        return std::nullopt;
    }
    std::sort(ends.begin(), ends.end());
    return ends[nth - 1];
}

} // namespace

std::optional<time_point> task_history::ended_at(end_kind wanted_outcome,
                                                 std::size_t nth) const
{
    return nth_end(runs,
                   nth,
                   [&](run_history const& run)
                   {
                       return run.outcome == wanted_outcome;
                   });
}

std::optional<time_point> task_history::acknowledged_at(end_kind wanted_outcome,
                                                        std::size_t nth) const
{
    return nth_end(runs,
                   nth,
                   [&](run_history const& run)
                   {
                       return run.outcome == wanted_outcome && run.acknowledged;
                   });
}

bool task_history::done() const
{
    return ended_at(end_kind::done, 1).has_value();
}

bool job_history::all_refused() const
{
    return unanswered == 0 && rejections == answers;
}

bool job_history::has_task(ports::task_name const& task) const
{
    return first_sent_at && task.occurrence == 0 &&
           task.step < shape.steps.size() &&
           task.index < shape.steps[task.step].count;
}

bool job_history::step_done(std::uint32_t step) const
{
    if (step >= shape.steps.size() || shape.steps[step].lasting)
    {
        return false;
    }
    for (std::uint32_t index = 0; index < shape.steps[step].count; ++index)
    {
        auto const task = tasks.find({step, index});
        if (task == tasks.end() || !task->second.done())
        {
            return false;
        }
    }
    return true;
}

std::optional<time_point> job_history::completed_at() const
{
    for (std::uint32_t step = 0; step < shape.steps.size(); ++step)
    {
        if (!step_done(step))
        {
            return std::nullopt;
        }
    }
    std::optional<time_point> latest;
    for (auto const& [task_key, task] : tasks)
    {
        auto const end = task.ended_at(end_kind::done, 1);
        latest = std::max(latest, end);
    }
    return latest;
}

std::optional<time_point> job_history::failed_at() const
{
    std::optional<time_point> earliest;
    auto const note = [&earliest](std::optional<time_point> const& at)
    {
        if (at && (!earliest || *at < *earliest))
        {
            earliest = at;
        }
    };
    for (auto const& [task_key, task] : tasks)
    {
        if (task.crashes.size() >= crashes_to_give_up)
        {
            note(task.crashes[crashes_to_give_up - 1]);
        }
        if (task_key.first < shape.steps.size() &&
            !shape.steps[task_key.first].lasting)
        {
            note(task.ended_at(end_kind::failed, shape.attempts));
        }
    }
    return earliest;
}

bool job_history::crashes_workers() const
{
    return std::any_of(tasks.begin(),
                       tasks.end(),
                       [](auto const& entry)
                       {
                           return !entry.second.crashes.empty();
                       });
}

bool job_history::must_complete() const
{
    return accepted_at && !cancel_acknowledged_at && !first_possible_cancel_at;
}

observed_history::observed_history(time_limits value)
    : bounds(value), fault_intervals(value.stable_window)
{
}

std::optional<time_point>
observed_history::cancelled_since(job_history const& job, time_point at) const
{
    std::optional<time_point> since = job.cancel_acknowledged_at;
    if (!job.first_possible_cancel_at)
    {
        return since;
    }
    time_point const effective_at =
        *job.first_possible_cancel_at + bounds.acknowledge;
    bool const deadline_passed =
        effective_at <= at && fault_intervals.is_fault_free(
                                  *job.first_possible_cancel_at, effective_at);
    if (deadline_passed && (!since || effective_at < *since))
    {
        since = effective_at;
    }
    return since;
}

bool observed_history::fault_free_for(duration length, time_point at) const
{
    return fault_intervals.is_fault_free(at - length, at);
}

void observed_history::report(rule which,
                              time_point at,
                              std::string subject,
                              std::string why)
{
    violations.push_back({which, at, std::move(subject), std::move(why)});
}

std::string name_of(ports::task_name const& task)
{
    return task.job + "." + std::to_string(task.step) + "." +
           std::to_string(task.index);
}

} // namespace fuchsia::tools::soak
