#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"

#include "core/common/json.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

using ports::job_state;
using ports::severity;

namespace
{

constexpr std::string_view state_name(job_state state)
{
    switch (state)
    {
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    case job_state::queued:
    case job_state::active:
        break;
    }
    return "active";
}

} // namespace

bool owner::step_may_open(job_run const& run,
                          std::uint32_t occurrence,
                          std::uint32_t step_index,
                          std::int64_t now_ms) const
{
    auto const& current = run.occurrences[occurrence];
    if (current.steps[step_index].open || current.due_unix_ms > now_ms)
    {
        return false;
    }
    for (auto const earlier : run.spec.steps[step_index].after)
    {
        if (current.steps[earlier].tasks_left > 0)
        {
            return false;
        }
    }
    return true;
}

void owner::open_steps(common::time_point now, job_run& run)
{
    if (run.phase != job_phase::active)
    {
        return;
    }
    // A job that is older than this owner's claim may have been started by an
    // earlier owner on a worker that has not reported to this one yet.
    bool const maybe_started =
        !takeover_complete_ && run.revision < claim_.epoch();
    auto const now_ms = out_.unix_ms(now);
    for (std::uint32_t k = 0; k < run.occurrences.size(); ++k)
    {
        auto& steps = run.occurrences[k].steps;
        for (std::uint32_t step_index = 0; step_index < steps.size();
             ++step_index)
        {
            if (!step_may_open(run, k, step_index, now_ms))
            {
                continue;
            }
            steps[step_index].open = true;
            for (std::uint32_t index = 0;
                 index < steps[step_index].tasks.size();
                 ++index)
            {
                auto& t = steps[step_index].tasks[index];
                if (t.phase != task_phase::blocked)
                {
                    continue;
                }
                if (maybe_started)
                {
                    t.phase = task_phase::unresolved;
                }
                else
                {
                    make_ready(run, {run.spec.id, k, step_index, index});
                }
            }
        }
    }
}

void owner::make_ready(job_run& run, ports::task_name const& name)
{
    auto& steps = run.occurrences[name.occurrence].steps[name.step];
    steps.tasks[name.index].phase = task_phase::ready;
    steps.ready.push_back(name.index);
    dispatch_requested_ = true;
    ready_.insert(key_of(run, name.occurrence, name.step));
}

void owner::place(job_run& run, ports::task_name const& name, worker& target)
{
    auto const& spec = run.step_of(name);
    auto& t = run.at(name);
    t.worker = target.info.id;
    t.worker_incarnation = target.incarnation;
    target.runs.insert(name);
    if (t.crash_history.is_suspect())
    {
        target.suspects.insert(name);
    }
    target.view_known = false;
    ++run.placed;
    target.reserved.memory_mb += spec.declared.memory_mb;
    target.reserved.accelerators += spec.declared.accelerators;
    if (spec.best_effort)
    {
        target.best_effort_cores += spec.declared.millicores;
        ++target.miss.placed;
        return;
    }
    target.reserved.millicores += spec.declared.millicores;
    target.long_running_cores +=
        spec.long_running ? spec.declared.millicores : 0;
    if (spec.tail_target.count() > 0)
    {
        target.serving_cores += spec.declared.millicores;
    }
}

void owner::remove_from_worker(job_run& run, ports::task_name const& name)
{
    auto const& spec = run.step_of(name);
    auto* const target = fleet_.find(run.at(name).worker);
    if (target == nullptr || target->runs.erase(name) == 0)
    {
        return;
    }
    target->suspects.erase(name);
    auto& crash_history = run.at(name).crash_history;
    if (!crash_history.worker.empty())
    {
        crash_history.worker.clear();
        mark_dirty(run);
    }
    target->view_known = false;
    dispatch_requested_ = true;
    --run.placed;
    target->reserved.memory_mb -= spec.declared.memory_mb;
    target->reserved.accelerators -= spec.declared.accelerators;
    if (spec.best_effort)
    {
        target->best_effort_cores -= spec.declared.millicores;
        return;
    }
    target->reserved.millicores -= spec.declared.millicores;
    target->long_running_cores -=
        spec.long_running ? spec.declared.millicores : 0;
    if (spec.tail_target.count() > 0)
    {
        target->serving_cores -= spec.declared.millicores;
    }
}

void owner::task_done(common::time_point now,
                      job_run& run,
                      ports::task_name const& name)
{
    auto& t = run.at(name);
    remove_from_worker(run, name);
    if (run.step_of(name).long_running)
    {
        task_over(now, run, name);
        return;
    }
    if (t.phase == task_phase::done)
    {
        return;
    }
    if (run.step_of(name).gang)
    {
        gang_done(now, run, name);
        return;
    }
    mark_done(run, name);
    after_done(now, run);
}

// Handles the end as done of another attempt than the present one. Such an end
// of one member stands for all members of a gang.
void owner::task_done_by_other(common::time_point now,
                               job_run& run,
                               ports::task_name const& name)
{
    auto const count = run.step_of(name).count;
    bool const gang = run.step_of(name).gang;
    auto const first = gang ? 0U : name.index;
    auto const end = gang ? count : name.index + 1;
    for (auto index = first; index < end; ++index)
    {
        mark_done_by_other(
            now, run, {name.job, name.occurrence, name.step, index});
    }
    after_done(now, run);
}

// The present attempt occupies its capacity until it is over.
void owner::mark_done_by_other(common::time_point now,
                               job_run& run,
                               ports::task_name const& name)
{
    auto& t = run.at(name);
    if (t.placed())
    {
        t.done_by_other_attempt = true;
        mark_dirty(run);
        stop_attempt(now, run, name);
    }
    else if (t.phase != task_phase::done)
    {
        std::erase(run.occurrences[name.occurrence].steps[name.step].ready,
                   name.index);
        mark_done(run, name);
    }
}

void owner::mark_done(job_run& run, ports::task_name const& name)
{
    auto& t = run.at(name);
    remove_from_worker(run, name);
    ++counters_.tasks_done;
    t.phase = task_phase::done;
    t.checkpoint.clear();
    --run.occurrences[name.occurrence].steps[name.step].tasks_left;
    --run.tasks_left;
    mark_dirty(run);
}

void owner::after_done(common::time_point now, job_run& run)
{
    if (run.tasks_left == 0 && run.phase == job_phase::active)
    {
        end_job(now, run, job_phase::finished);
        return;
    }
    open_steps(now, run);
    finish_if_over(run);
}

void owner::task_failed(common::time_point now,
                        job_run& run,
                        ports::task_name const& name)
{
    ++counters_.tasks_failed;
    auto& t = run.at(name);
    remove_from_worker(run, name);
    t.failed_on.push_back(t.worker);
    count_failure(run, name, t.attempt);
    if (run.phase == job_phase::active &&
        out_of_attempts(run, name.occurrence, name.step))
    {
        t.phase = task_phase::blocked;
        out_.log(severity::info,
                 "job_failing",
                 {{"job", run.spec.id},
                  {"step", std::to_string(name.step)},
                  {"task", std::to_string(name.index)},
                  {"failures", std::to_string(t.failures.size())}});
        end_job(now, run, job_phase::failing);
        return;
    }
    task_over(now, run, name);
}

void owner::count_failure(job_run& run,
                          ports::task_name const& name,
                          std::uint32_t attempt)
{
    if (run.step_of(name).long_running)
    {
        return;
    }
    auto& t = run.at(name);
    t.failures.push_back(attempt);
    mark_dirty(run);
}

// Handles a run that ended before the task was done: the next attempt may start
// on any worker, unless another attempt has ended as done.
void owner::task_over(common::time_point now,
                      job_run& run,
                      ports::task_name const& name)
{
    remove_from_worker(run, name);
    auto& t = run.at(name);
    if (t.done_by_other_attempt)
    {
        mark_done(run, name);
        after_done(now, run);
        return;
    }
    t.percent = 0;
    t.speed_limit = 100;
    if (run.phase == job_phase::active)
    {
        // Until the takeover is complete, a worker may still report failures
        // that leave the task no further attempt.
        bool const may_be_spent = !takeover_complete_ &&
                                  !run.step_of(name).long_running &&
                                  run.revision < claim_.epoch();
        if (may_be_spent)
        {
            t.phase = task_phase::unresolved;
        }
        else if (t.phase != task_phase::ready)
        {
            t.ran_before = true;
            make_ready(run, name);
        }
        if (run.step_of(name).gang)
        {
            stop_gang(now, run, name);
        }
        return;
    }
    t.phase = task_phase::blocked;
    finish_if_over(run);
}

void owner::cancel_job(common::time_point now, job_run& run)
{
    if (run.phase != job_phase::active && run.phase != job_phase::failing)
    {
        return;
    }
    out_.log(severity::info, "job_cancelled", {{"job", run.spec.id}});
    end_job(now, run, job_phase::cancelling);
}

void owner::end_job(common::time_point now, job_run& run, job_phase phase)
{
    run.phase = phase;
    run.outcome = phase == job_phase::cancelling ? job_state::cancelled
                  : phase == job_phase::failing  ? job_state::failed
                                                 : job_state::completed;
    for (std::uint32_t k = 0; k < run.occurrences.size(); ++k)
    {
        auto& steps = run.occurrences[k].steps;
        for (std::uint32_t step_index = 0; step_index < steps.size();
             ++step_index)
        {
            steps[step_index].ready.clear();
            for (std::uint32_t index = 0;
                 index < steps[step_index].tasks.size();
                 ++index)
            {
                auto& t = steps[step_index].tasks[index];
                ports::task_name const name{run.spec.id, k, step_index, index};
                if (t.phase == task_phase::ready)
                {
                    t.phase = task_phase::blocked;
                }
                release_reservation(run, name);
                stop_attempt(now, run, name);
            }
        }
    }
    finish_if_over(run);
}

// Stops the task if it runs or may run: a start that is not answered yet may
// still take effect.
void owner::stop_attempt(common::time_point now,
                         job_run& run,
                         ports::task_name const& name)
{
    auto& t = run.at(name);
    if (t.phase != task_phase::starting && t.phase != task_phase::running)
    {
        return;
    }
    t.start_unanswered = t.phase == task_phase::starting;
    t.phase = task_phase::stopping;
    order_stop(now, t.worker, {name, t.attempt});
}

// Writes the final state once no task of the job runs on any worker.
void owner::finish_if_over(job_run& run)
{
    bool const ending = run.phase == job_phase::cancelling ||
                        run.phase == job_phase::failing ||
                        run.phase == job_phase::finished;
    bool has_unresolved = false;
    for (auto const& occurrence : run.occurrences)
    {
        for (auto const& steps : occurrence.steps)
        {
            for (auto const& t : steps.tasks)
            {
                has_unresolved =
                    has_unresolved || t.phase == task_phase::unresolved;
            }
        }
    }
    // Until the takeover is complete, a worker may still run a task of the job.
    bool const maybe_elsewhere = !takeover_complete_ &&
                                 run.revision < claim_.epoch() &&
                                 run.phase != job_phase::finished;
    if (!ending || run.placed > 0 || has_unresolved || maybe_elsewhere)
    {
        return;
    }
    auto const id = run.spec.id;
    run.phase = job_phase::recorded;
    ++counters_.jobs_finished;
    ledger::entry entry;
    entry.puts.push_back(
        {keys::final_state(id), std::string(state_name(run.outcome)), 0});
    entry.erases.push_back(keys::job(id));
    if (run.cancel_key)
    {
        entry.erases.push_back(keys::cancel(id));
    }
    if (run.has_progress)
    {
        entry.erases.push_back(keys::progress(id));
    }
    auto const accepted_unix_ms = run.spec.accepted_unix_ms;
    auto const due_unix_ms = run.due_unix_ms;
    auto const first_start_unix_ms = run.first_start_unix_ms;
    entry.on_durable = [this,
                        id,
                        queue = run.spec.queue,
                        outcome = run.outcome,
                        accepted_unix_ms,
                        due_unix_ms,
                        first_start_unix_ms](common::time_point at)
    {
        out_.push(ports::duration_sample{
            ports::duration_metric::job,
            std::chrono::milliseconds(out_.unix_ms(at) - accepted_unix_ms)});
        final_states_[id] = outcome;
        final_times_.emplace_back(at, id);
        jobs_.erase(id);
        std::erase(scheduled_jobs_, id);
        out_.log(
            severity::info,
            "job_ended",
            {{"job", id},
             {"queue", queue},
             {"state", std::string(state_name(outcome))},
             {"waited_ms",
              std::to_string(first_start_unix_ms > 0
                                 ? first_start_unix_ms - accepted_unix_ms
                                 : -1)},
             {"took_ms", std::to_string(out_.unix_ms(at) - accepted_unix_ms)},
             {"limit_ms", std::to_string(due_unix_ms - accepted_unix_ms)}});
    };
    unsaved_jobs_.erase(id);
    ledger_.write(write_rank::result, std::move(entry), keys::progress(id));
}

void owner::mark_dirty(job_run& run)
{
    if (run.phase != job_phase::recorded)
    {
        unsaved_jobs_.insert(run.spec.id);
    }
}

void owner::save_all_progress()
{
    for (auto const& id : std::exchange(unsaved_jobs_, {}))
    {
        if (auto* const run = find_job(id))
        {
            save_progress(*run);
        }
    }
}

void owner::save_progress(job_run& run)
{
    if (run.phase == job_phase::recorded)
    {
        return;
    }
    ledger_.write_latest(write_rank::record,
                         keys::progress(run.spec.id),
                         [this, id = run.spec.id]
                         {
                             return progress_record(id);
                         });
}

// Returns nothing once the job's end is being written, since that write erases
// the record.
std::optional<std::string> owner::progress_record(std::string const& id)
{
    auto* const run = find_job(id);
    if (run == nullptr || run->phase == job_phase::recorded)
    {
        return std::nullopt;
    }
    run->has_progress = true;
    return to_json(progress_of(*run));
}

} // namespace fuchsia::core::pool
