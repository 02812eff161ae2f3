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

/// A count may be this old.
constexpr duration count_age = std::chrono::seconds(2);
/// An order that an instance counts as a start may be this long on its way.
constexpr duration order_under_way = std::chrono::milliseconds(250);
/// The state of a job that has ended is kept at least this long.
constexpr duration state_kept = std::chrono::seconds(120);
/// A lasting task runs again this long after its last run.
constexpr duration restart = std::chrono::seconds(9);
/// A job with work left has a run again within this time.
constexpr duration idle_limit = std::chrono::seconds(3);

bool by(std::optional<time_point> const& event, time_point at)
{
    return event && *event <= at;
}

/// The job ended so long before `at` that its state may be forgotten.
bool forgotten(job_history const& job, time_point at)
{
    return by(job.completed_at(), at - state_kept) ||
           by(job.failed_at(), at - state_kept);
}

void judge_absent(observed_history& seen,
                  time_point at,
                  status_query_ended const& answer,
                  job_history const& job)
{
    duration const visible = seen.bounds.visible;
    bool const due = job.must_complete() &&
                     *job.accepted_at + visible < answer.requested_at &&
                     !forgotten(job, answer.requested_at);
    if (due &&
        seen.fault_intervals.is_fault_free(answer.requested_at - visible, at))
    {
        seen.report(rule::job_lost,
                    at,
                    answer.job,
                    answer.instance + " does not know it");
    }
}

void judge_state(observed_history& seen,
                 time_point at,
                 status_query_ended const& answer,
                 job_history& job)
{
    if (answer.state == job_state::completed && !by(job.completed_at(), at))
    {
        seen.report(rule::reported_state,
                    at,
                    answer.job,
                    "shown as completed, and is not");
    }
    if (answer.state == job_state::failed && !by(job.failed_at(), at))
    {
        seen.report(rule::reported_state,
                    at,
                    answer.job,
                    "shown as failed, and is not");
    }
    if (answer.state == job_state::cancelled && !job.reported_cancelled_at)
    {
        job.reported_cancelled_at = at;
    }
}

/// Whether each task of the lasting step runs, or ran just before `now`.
bool kept_up(job_history const& job, std::uint32_t step, time_point now)
{
    for (std::uint32_t index = 0; index < job.shape.steps[step].count; ++index)
    {
        auto const task = job.tasks.find({step, index});
        if (task == job.tasks.end() || task->second.runs.empty())
        {
            return false;
        }
        auto const& gone = task->second.runs.back().ended_at;
        if (gone && *gone + restart < now)
        {
            return false;
        }
    }
    return true;
}

/// Whether a task of the step runs, or ran just before `now`.
bool at_work(job_history const& job, std::uint32_t step, time_point now)
{
    auto const lately = [now](run_history const& run)
    {
        return !run.ended_at || *run.ended_at + idle_limit >= now;
    };
    return std::any_of(job.tasks.begin(),
                       job.tasks.end(),
                       [&](auto const& entry)
                       {
                           auto const& runs = entry.second.runs;
                           return entry.first.first == step &&
                                  std::any_of(runs.begin(), runs.end(), lately);
                       });
}

/// All that could be done has been or is at work, and so is all that lasts.
bool served(job_history const& job, time_point now)
{
    std::vector<bool> finite; // Whether all tasks of the step can end done.
    for (step_shape const& step : job.shape.steps)
    {
        auto const can_end = [&](std::uint32_t earlier)
        {
            return earlier < finite.size() && finite[earlier];
        };
        bool const reached =
            std::all_of(step.after.begin(), step.after.end(), can_end);
        std::uint32_t const place = finite.size();
        bool const done = !step.lasting && job.step_done(place);
        bool const good = step.lasting ? kept_up(job, place, now)
                                       : done || at_work(job, place, now);
        if (reached && !good)
        {
            return false;
        }
        finite.push_back(reached && done);
    }
    return true;
}

/// All tasks ended so early, and so that it must have been heard of, that the
/// job has to be shown as completed by `at`.
bool must_show(job_history const& job, time_point at)
{
    auto const counts = [&](run_history const& run)
    {
        return run.outcome == end_kind::done && !run.lost &&
               by(run.ended_at, at);
    };
    return job.completed_at() &&
           std::all_of(job.tasks.begin(),
                       job.tasks.end(),
                       [&](auto const& entry)
                       {
                           auto const& runs = entry.second.runs;
                           return std::any_of(runs.begin(), runs.end(), counts);
                       });
}

void finish_accepted(observed_history& seen,
                     time_point now,
                     std::string const& name,
                     job_history const& job)
{
    auto const& word = job.last_status;
    bool const known = word && word->outcome == call_outcome::done;
    if (!known && !forgotten(job, now))
    {
        seen.report(rule::job_lost, now, name, "not known at the end");
        return;
    }
    time_point const due = *seen.traffic_end + seen.bounds.finish;
    bool const counts = due < now && !job.failed_at() &&
                        seen.fault_free_for(seen.bounds.finish, now);
    if (counts && !served(job, now))
    {
        seen.report(rule::job_lost, now, name, "never done");
    }
    else if (counts && known && due < word->requested_at &&
             word->state != job_state::completed &&
             must_show(job, word->requested_at - seen.bounds.visible))
    {
        seen.report(rule::job_lost, now, name, "never shown as completed");
    }
}

} // namespace

void jobs_check::take(observed_history& seen,
                      time_point at,
                      submit_sent const& call)
{
    job_history& job = seen.jobs[call.job];
    if (!job.first_sent_at)
    {
        job.first_sent_at = at;
        job.shape = call.shape;
        job.shape.attempts = std::max(call.shape.attempts, 1U);
    }
    ++job.unanswered;
}

void jobs_check::take(observed_history& seen,
                      time_point at,
                      submit_ended const& call)
{
    job_history& job = seen.jobs[call.job];
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

void jobs_check::take(observed_history& seen,
                      time_point at,
                      cancel_ended const& call)
{
    job_history& job = seen.jobs[call.job];
    if (call.outcome == call_outcome::done && !job.cancel_acknowledged_at)
    {
        job.cancel_acknowledged_at = at;
    }
    if (call.outcome != call_outcome::refused && !job.first_possible_cancel_at)
    {
        job.first_possible_cancel_at = at;
    }
}

void jobs_check::judge(observed_history& seen,
                       time_point at,
                       status_query_ended const& answer)
{
    if (answer.outcome != call_outcome::done &&
        answer.outcome != call_outcome::not_found)
    {
        return;
    }
    auto const entry = seen.jobs.find(answer.job);
    if (entry == seen.jobs.end() || !by(entry->second.first_sent_at, at))
    {
        if (answer.outcome == call_outcome::done)
        {
            seen.report(
                rule::reported_state, at, answer.job, "nobody handed it in");
        }
        return;
    }
    job_history& job = entry->second;
    if (seen.traffic_end && *seen.traffic_end <= answer.requested_at)
    {
        job.last_status = answer;
    }
    if (answer.outcome == call_outcome::not_found)
    {
        judge_absent(seen, at, answer, job);
    }
    else
    {
        judge_state(seen, at, answer, job);
    }
}

void jobs_check::judge(observed_history& seen,
                       time_point at,
                       waiting_query_ended const& answer)
{
    duration const age = seen.bounds.visible + count_age;
    if (answer.outcome != call_outcome::done ||
        !seen.fault_intervals.is_fault_free(answer.requested_at - age, at))
    {
        return;
    }
    auto const waits = [&](auto const& entry)
    {
        job_history const& job = entry.second;
        return job.shape.queue == answer.queue && job.must_complete() &&
               *job.accepted_at + age < answer.requested_at &&
               !by(job.first_started_at, at + order_under_way);
    };
    std::uint64_t const due =
        std::count_if(seen.jobs.begin(), seen.jobs.end(), waits);
    if (2 * answer.jobs < due)
    {
        seen.report(rule::waiting_count,
                    at,
                    answer.queue,
                    answer.instance + " tells " + std::to_string(answer.jobs) +
                        " of " + std::to_string(due));
    }
}

void jobs_check::finish(observed_history& seen, time_point now)
{
    for (auto const& [name, job] : seen.jobs)
    {
        if (job.reported_cancelled_at && !job.cancel_acknowledged_at &&
            !job.first_possible_cancel_at)
        {
            seen.report(rule::reported_state,
                        *job.reported_cancelled_at,
                        name,
                        "shown as cancelled, and nobody asked for it");
        }
        if (seen.traffic_end && job.must_complete())
        {
            finish_accepted(seen, now, name, job);
        }
    }
}

} // namespace fuchsia::tools::soak
