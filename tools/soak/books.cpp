#include "tools/soak/books.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::duration;
using core::common::time_point;
using ports::end_kind;

namespace
{

template<class Wanted>
std::optional<time_point>
nth_end(std::vector<run_book> const& runs, std::size_t nth, Wanted wanted)
{
    std::vector<time_point> ends;
    for (run_book const& run : runs)
    {
        if (wanted(run))
        {
            ends.push_back(*run.gone);
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

std::optional<time_point> task_book::ended(end_kind how, std::size_t nth) const
{
    return nth_end(runs,
                   nth,
                   [&](run_book const& run)
                   {
                       return run.how == how;
                   });
}

std::optional<time_point> task_book::acknowledged(end_kind how,
                                                  std::size_t nth) const
{
    return nth_end(runs,
                   nth,
                   [&](run_book const& run)
                   {
                       return run.how == how && run.acknowledged;
                   });
}

bool task_book::done() const
{
    return ended(end_kind::done, 1).has_value();
}

bool job_book::refused() const
{
    return unanswered == 0 && rejections == answers;
}

bool job_book::has(ports::task_name const& task) const
{
    return sent && task.occurrence == 0 && task.step < shape.steps.size() &&
           task.index < shape.steps[task.step].count;
}

bool job_book::step_done(std::uint32_t step) const
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

std::optional<time_point> job_book::completed() const
{
    for (std::uint32_t step = 0; step < shape.steps.size(); ++step)
    {
        if (!step_done(step))
        {
            return std::nullopt;
        }
    }
    std::optional<time_point> last;
    for (auto const& [place, task] : tasks)
    {
        auto const end = task.ended(end_kind::done, 1);
        last = std::max(last, end);
    }
    return last;
}

std::optional<time_point> job_book::failed() const
{
    std::optional<time_point> first;
    for (auto const& [place, task] : tasks)
    {
        if (place.first >= shape.steps.size() ||
            shape.steps[place.first].lasting)
        {
            continue;
        }
        auto const end = task.ended(end_kind::failed, shape.attempts);
        if (end && (!first || *end < *first))
        {
            first = end;
        }
    }
    return first;
}

bool job_book::owed() const
{
    return accepted && !cancelled && !cancel_tried;
}

books::books(limits value) : bounds(value), calm(value.stable_window)
{
}

std::optional<time_point> books::cancelled_since(job_book const& job,
                                                 time_point at) const
{
    std::optional<time_point> since = job.cancelled;
    if (!job.cancel_tried)
    {
        return since;
    }
    time_point const assumed = *job.cancel_tried + bounds.acknowledge;
    bool const had_time =
        assumed <= at && calm.calm(*job.cancel_tried, assumed);
    if (had_time && (!since || assumed < *since))
    {
        since = assumed;
    }
    return since;
}

bool books::calm_for(duration length, time_point at) const
{
    return calm.calm(at - length, at);
}

void books::report(rule which,
                   time_point at,
                   std::string subject,
                   std::string why)
{
    found.push_back({which, at, std::move(subject), std::move(why)});
}

std::string name_of(ports::task_name const& task)
{
    return task.job + "." + std::to_string(task.step) + "." +
           std::to_string(task.index);
}

} // namespace fuchsia::tools::soak
