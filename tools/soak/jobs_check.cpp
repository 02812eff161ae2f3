#include "tools/soak/jobs_check.hpp"

#include <algorithm>
#include <vector>

namespace fuchsia::tools::soak
{

using core::common::duration;
using core::common::time_point;
using ports::end_kind;
using ports::job_state;

namespace
{

/// Maximum age of a reported count.
constexpr duration count_age = std::chrono::seconds(2);
/// Maximum time that an order, which the instance already counts as a start,
/// takes to reach the worker.
constexpr duration order_delay = std::chrono::milliseconds(250);
/// Minimum time that the state of an ended job is kept.
constexpr duration state_retention = std::chrono::seconds(120);
/// Maximum time after its last run until a long-running task runs again.
constexpr duration restart_limit = std::chrono::seconds(9);
/// Maximum time that a job with work left is without a run.
constexpr duration idle_limit = std::chrono::seconds(3);

bool happened_by(std::optional<time_point> const& event, time_point at)
{
    return event && *event <= at;
}

/// Whether the job ended so long before `at` that its state may have been
/// removed.
bool may_be_forgotten(job_history const& job, time_point at)
{
    return happened_by(job.completed_at(), at - state_retention) ||
           happened_by(job.failed_at(), at - state_retention);
}

void check_not_found(observed_history& history,
                     time_point at,
                     status_query_ended const& answer,
                     job_history const& job)
{
    duration const visible = history.bounds.visible;
    bool const due = job.must_complete() &&
                     *job.accepted_at + visible < answer.requested_at &&
                     !may_be_forgotten(job, answer.requested_at);
    if (due && history.fault_intervals.is_fault_free(
                   answer.requested_at - visible, at))
    {
        history.report(rule::job_lost,
                       at,
                       answer.job,
                       answer.instance + " does not know the job");
    }
}

void check_reported_state(observed_history& history,
                          time_point at,
                          status_query_ended const& answer,
                          job_history& job)
{
    if (answer.state == job_state::completed &&
        !happened_by(job.completed_at(), at))
    {
        history.report(rule::reported_state,
                       at,
                       answer.job,
                       "reported as completed before all tasks were done");
    }
    if (answer.state == job_state::failed && !happened_by(job.failed_at(), at))
    {
        history.report(
            rule::reported_state,
            at,
            answer.job,
            "reported as failed before a task used up its attempts or "
            "crashed two workers");
    }
    if (answer.state == job_state::cancelled && !job.reported_cancelled_at)
    {
        job.reported_cancelled_at = at;
    }
}

/// Whether each task of the long-running step runs, or ended its last run at
/// most `restart_limit` before `now`.
bool lasting_step_running(job_history const& job,
                          std::uint32_t step,
                          time_point now)
{
    for (std::uint32_t index = 0; index < job.shape.steps[step].count; ++index)
    {
        auto const task = job.tasks.find({step, index});
        if (task == job.tasks.end() || task->second.runs.empty())
        {
            return false;
        }
        auto const& last_end = task->second.runs.back().ended_at;
        if (last_end && *last_end + restart_limit < now)
        {
            return false;
        }
    }
    return true;
}

/// Whether a task of the step runs, or ended a run at most `idle_limit` before
/// `now`.
bool step_active(job_history const& job, std::uint32_t step, time_point now)
{
    auto const recent = [now](run_history const& run)
    {
        return !run.ended_at || *run.ended_at + idle_limit >= now;
    };
    return std::any_of(job.tasks.begin(),
                       job.tasks.end(),
                       [&](auto const& entry)
                       {
                           auto const& runs = entry.second.runs;
                           return entry.first.first == step &&
                                  std::any_of(runs.begin(), runs.end(), recent);
                       });
}

/// Whether every step whose dependencies are done is itself done or has a
/// recent run; long-running steps must keep all their tasks running.
bool all_work_served(job_history const& job, time_point now)
{
    std::vector<bool> completed_steps; // For each step: whether it is done.
    for (step_shape const& step : job.shape.steps)
    {
        auto const can_end = [&](std::uint32_t earlier)
        {
            return earlier < completed_steps.size() && completed_steps[earlier];
        };
        bool const reached =
            std::all_of(step.after.begin(), step.after.end(), can_end);
        std::uint32_t const place = completed_steps.size();
        bool const done = !step.lasting && job.step_done(place);
        bool const good = step.lasting ? lasting_step_running(job, place, now)
                                       : done || step_active(job, place, now);
        if (reached && !good)
        {
            return false;
        }
        completed_steps.push_back(reached && done);
    }
    return true;
}

/// Whether the job must be reported as completed at `at`: each task was done by
/// then, and none of these ends was lost with its worker.
bool must_report_completed(job_history const& job, time_point at)
{
    auto const qualifies = [&](run_history const& run)
    {
        return run.outcome == end_kind::done && !run.lost &&
               happened_by(run.ended_at, at);
    };
    return job.completed_at() &&
           std::all_of(job.tasks.begin(),
                       job.tasks.end(),
                       [&](auto const& entry)
                       {
                           auto const& runs = entry.second.runs;
                           return std::any_of(
                               runs.begin(), runs.end(), qualifies);
                       });
}

void finish_accepted(observed_history& history,
                     time_point now,
                     std::string const& name,
                     job_history const& job)
{
    auto const& final_status = job.last_status;
    bool const is_known =
        final_status && final_status->outcome == call_outcome::done;
    if (!is_known && !may_be_forgotten(job, now))
    {
        history.report(rule::job_lost,
                       now,
                       name,
                       "no instance reported the job after the traffic");
        return;
    }
    time_point const due = *history.traffic_end + history.bounds.finish;
    bool const qualifies = due < now && !job.failed_at() &&
                           !job.crashes_workers() &&
                           history.fault_free_for(history.bounds.finish, now);
    if (qualifies && !all_work_served(job, now))
    {
        history.report(
            rule::job_lost, now, name, "work left without a recent run");
    }
    else if (qualifies && is_known && due < final_status->requested_at &&
             final_status->state != job_state::completed &&
             must_report_completed(
                 job, final_status->requested_at - history.bounds.visible))
    {
        history.report(rule::job_lost,
                       now,
                       name,
                       "all tasks done, but never reported as completed");
    }
}

} // namespace

void jobs_check::record(observed_history& history,
                        time_point at,
                        submit_sent const& call)
{
    job_history& job = history.jobs[call.job];
    if (!job.first_sent_at)
    {
        job.first_sent_at = at;
        job.shape = call.shape;
        job.shape.attempts = std::max(call.shape.attempts, 1U);
    }
    ++job.unanswered;
}

void jobs_check::record(observed_history& history,
                        time_point at,
                        submit_ended const& call)
{
    job_history& job = history.jobs[call.job];
    job.unanswered -= std::min<std::size_t>(job.unanswered, 1);
    ++job.answers;
    if (call.outcome == call_outcome::refused ||
        call.outcome == call_outcome::not_found)
    {
        ++job.rejections;
    }
    if (call.outcome == call_outcome::done && !job.accepted_at)
    {
        job.accepted_at = at;
    }
}

void jobs_check::record(observed_history& history,
                        time_point at,
                        cancel_ended const& call)
{
    job_history& job = history.jobs[call.job];
    if (call.outcome == call_outcome::done && !job.cancel_acknowledged_at)
    {
        job.cancel_acknowledged_at = at;
    }
    if (call.outcome != call_outcome::refused && !job.first_possible_cancel_at)
    {
        job.first_possible_cancel_at = at;
    }
}

void jobs_check::check_answer(observed_history& history,
                              time_point at,
                              status_query_ended const& answer)
{
    if (answer.outcome != call_outcome::done &&
        answer.outcome != call_outcome::not_found)
    {
        return;
    }
    auto const entry = history.jobs.find(answer.job);
    if (entry == history.jobs.end() ||
        !happened_by(entry->second.first_sent_at, at))
    {
        if (answer.outcome == call_outcome::done)
        {
            history.report(rule::reported_state,
                           at,
                           answer.job,
                           "state reported for a job that was never submitted");
        }
        return;
    }
    job_history& job = entry->second;
    if (history.traffic_end && *history.traffic_end <= answer.requested_at)
    {
        job.last_status = answer;
    }
    if (answer.outcome == call_outcome::not_found)
    {
        check_not_found(history, at, answer, job);
    }
    else
    {
        check_reported_state(history, at, answer, job);
    }
}

void jobs_check::check_answer(observed_history& history,
                              time_point at,
                              waiting_query_ended const& answer)
{
    duration const age = history.bounds.visible + count_age;
    if (answer.outcome != call_outcome::done ||
        !history.fault_intervals.is_fault_free(answer.requested_at - age, at))
    {
        return;
    }
    auto const waits = [&](auto const& entry)
    {
        job_history const& job = entry.second;
        return job.shape.queue == answer.queue && job.must_complete() &&
               *job.accepted_at + age < answer.requested_at &&
               !happened_by(job.first_started_at, at + order_delay);
    };
    std::uint64_t const due =
        std::count_if(history.jobs.begin(), history.jobs.end(), waits);
    if (2 * answer.jobs < due)
    {
        history.report(rule::waiting_count,
                       at,
                       answer.queue,
                       answer.instance + " reports " +
                           std::to_string(answer.jobs) + " waiting jobs of " +
                           std::to_string(due));
    }
}

void jobs_check::finish(observed_history& history, time_point now)
{
    for (auto const& [name, job] : history.jobs)
    {
        if (job.reported_cancelled_at && !job.cancel_acknowledged_at &&
            !job.first_possible_cancel_at)
        {
            history.report(rule::reported_state,
                           *job.reported_cancelled_at,
                           name,
                           "reported as cancelled without a cancel request");
        }
        if (history.traffic_end && job.must_complete())
        {
            finish_accepted(history, now, name, job);
        }
    }
}

} // namespace fuchsia::tools::soak
