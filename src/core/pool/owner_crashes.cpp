#include "core/pool/owner.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

// Tasks of workers that crashed or can no longer be reached: which of them are
// to blame, and when a task is given up.
namespace fuchsia::core::pool
{

using ports::severity;

namespace
{

// Time for which the owner remembers whom it blamed for the loss of a worker.
constexpr common::duration blame_retention = std::chrono::seconds(60);

// In the order of `loss_reason`.
constexpr std::array<std::string_view, 2> loss_reasons{
    "worker restarted", "lease expired without an answer"};

// Whether the present run is too young to clear its task of a crash. A run that
// had ended before can't have caused one.
bool is_uncleared(task const& t)
{
    return !t.end_unlisted && t.seen_running < t.crash_history.clearing_run();
}

} // namespace

// Handles the loss of the runs `lost` of a worker. Where it has restarted, its
// new incarnation may still carry out a start that was never answered; such a
// task stays on the worker until that has taken its stop.
void owner::mark_attempts_lost(common::time_point now,
                               worker& target,
                               task_names const& lost,
                               loss_reason reason)
{
    bool const restarted = reason == loss_reason::restarted;
    bool const confirmed = restarted || is_replaced(target);
    auto const blamed = blamed_for_loss(target, lost);
    log_worker_lost(target, lost, reason, blamed);
    target.may_have_crashed = has_uncleared_run(lost);
    if (!confirmed && !blamed.empty())
    {
        remember_blame(now, target, blamed);
    }
    for (auto const& name : lost)
    {
        auto const [run, t] = find_task(name);
        if (t == nullptr)
        {
            target.runs.erase(name);
            continue;
        }
        t->crash_history.note_lost_run(t->seen_running);
        auto const found = blamed.find(name);
        if (found != blamed.end() && !t->done_by_other_attempt)
        {
            count_crash(*run, name, found->second, confirmed);
        }
        bool const may_still_start = restarted && t->start_unanswered;
        if (!may_still_start)
        {
            end_lost_attempt(now, target, *run, name, reason);
        }
        fail_if_crash_limit_reached(now, *run, name);
    }
}

void owner::end_lost_attempt(common::time_point now,
                             worker const& target,
                             job_run& run,
                             ports::task_name const& name,
                             loss_reason reason)
{
    auto& t = run.at(name);
    ++counters_.tasks_lost;
    log_task(
        severity::warning,
        "task_lost",
        {name, t.attempt},
        target.info.id,
        {{"why", std::string(name_in(loss_reasons, reason))},
         {"ran_ms", std::to_string(common::to_milliseconds(t.seen_running))}});
    t.phase = task_phase::blocked;
    task_over(now, run, name);
}

// Whether another worker is listed at the address of the lost one, which is
// then over.
bool owner::is_replaced(worker const& lost) const
{
    return std::any_of(fleet_.all().begin(),
                       fleet_.all().end(),
                       [&lost](auto const& entry)
                       {
                           worker const& other = entry.second;
                           return other.listed &&
                                  other.info.id != lost.info.id &&
                                  other.info.remote_endpoint ==
                                      lost.info.remote_endpoint;
                       });
}

bool owner::has_uncleared_run(task_names const& names)
{
    return std::any_of(names.begin(),
                       names.end(),
                       [this](ports::task_name const& name)
                       {
                           auto const* const t = find_task(name).state;
                           return t != nullptr && is_uncleared(*t);
                       });
}

// Returns the tasks that may have crashed the worker, with the evidence against
// each: those whose run was too young to clear them. If all runs were old
// enough, those below `max_clearing_run` may have crashed it late. A suspect
// among tasks that are not blamed for earlier crashes is to blame alone.
owner::blamed_tasks owner::blamed_for_loss(worker const& target,
                                           task_names const& lost)
{
    if (target.info.draining || lost_workers_.lost_with_rack(fleet_, target))
    {
        return {};
    }
    std::vector<ports::task_name> uncleared;
    std::vector<ports::task_name> young;
    std::size_t suspects = 0;
    for (auto const& name : lost)
    {
        auto const* const t = find_task(name).state;
        if (t == nullptr)
        {
            continue;
        }
        if (is_uncleared(*t))
        {
            uncleared.push_back(name);
            suspects += t->crash_history.is_suspect() ? 1 : 0;
        }
        if (!t->end_unlisted && t->seen_running < max_clearing_run)
        {
            young.push_back(name);
        }
    }
    auto const& chosen = uncleared.empty() ? young : uncleared;
    blamed_tasks result;
    for (auto const& name : chosen)
    {
        bool const only_suspect =
            suspects == 1 && find_task(name).state->crash_history.is_suspect();
        result[name] = chosen.size() == 1 || only_suspect
                           ? crash_evidence::alone
                           : crash_evidence::shared;
    }
    return result;
}

void owner::count_crash(job_run& run,
                        ports::task_name const& name,
                        crash_evidence evidence,
                        bool confirmed)
{
    ++counters_.tasks_blamed;
    auto& history = run.at(name).crash_history;
    history.blame(evidence);
    if (confirmed)
    {
        history.confirm();
    }
    mark_dirty(run);
}

// Ends the job of a task that has crashed as many workers as any task may.
void owner::fail_if_crash_limit_reached(common::time_point now,
                                        job_run& run,
                                        ports::task_name const& name)
{
    auto const& history = run.at(name).crash_history;
    if (run.phase != job_phase::active || !history.is_exhausted())
    {
        return;
    }
    out_.log(severity::warning,
             "job_crashes_workers",
             {{"job", name.job},
              {"step", std::to_string(name.step)},
              {"task", std::to_string(name.index)},
              {"crashes", std::to_string(history.crashes())}});
    end_job(now, run, job_phase::failing);
}

// Clears a suspect whose run has got older than a run that crashes the worker
// gets.
void owner::clear_if_proven(worker& target,
                            job_run& run,
                            ports::task_name const& name)
{
    auto& t = run.at(name);
    if (!t.crash_history.is_suspect() || is_uncleared(t))
    {
        return;
    }
    log_task(
        severity::info,
        "task_cleared",
        {name, t.attempt},
        target.info.id,
        {{"crashes", std::to_string(t.crash_history.crashes())},
         {"ran_ms", std::to_string(common::to_milliseconds(t.seen_running))}});
    t.crash_history = {};
    target.suspects.erase(name);
    mark_dirty(run);
}

// Records which tasks may have crashed a worker that has fallen silent. Its
// loss counts only once its lease is over, and by then a successor may own the
// pool.
void owner::note_silence(common::time_point now, worker& target)
{
    bool const due = target.adopted && target.silent && !target.silence_noted &&
                     now - target.last_contact > settings_.workers.renew_within;
    if (!due)
    {
        return;
    }
    target.silence_noted = true;
    target.may_have_crashed = has_uncleared_run(target.runs);
    for (auto const& name : target.runs)
    {
        auto const [run, t] = find_task(name);
        if (t != nullptr && is_uncleared(*t))
        {
            t->crash_history.worker = target.info.id;
            t->crash_history.worker_incarnation = target.incarnation;
            mark_dirty(*run);
        }
    }
}

// A worker that did not answer until its lease had expired may only have been
// cut off. What was blamed on its tasks is settled once it shows what became of
// the worker.
void owner::remember_blame(common::time_point now,
                           worker const& target,
                           blamed_tasks const& tasks)
{
    std::erase_if(blames_,
                  [now](auto const& entry)
                  {
                      return now - entry.second.when > blame_retention;
                  });
    blames_[target.info.id] = {
        now, target.info.remote_endpoint, target.incarnation, tasks};
}

// Settles the blame for a worker that answers again.
void owner::settle_blame(common::time_point now, worker const& target)
{
    auto const found = blames_.find(target.info.id);
    if (found == blames_.end())
    {
        return;
    }
    auto const settled = found->second;
    blames_.erase(found);
    if (settled.incarnation == target.incarnation)
    {
        withdraw_blame(target, settled);
    }
    else
    {
        confirm_blame(now, settled);
    }
}

// Settles the blame for the worker whose address a new worker has.
void owner::settle_blame_at(common::time_point now,
                            ports::pool_worker const& successor)
{
    for (auto entry = blames_.begin(); entry != blames_.end();)
    {
        if (entry->second.remote_endpoint != successor.remote_endpoint ||
            entry->first == successor.id)
        {
            ++entry;
            continue;
        }
        auto const settled = entry->second;
        entry = blames_.erase(entry);
        confirm_blame(now, settled);
    }
}

// The worker was only cut off.
void owner::withdraw_blame(worker const& target, blame const& settled)
{
    for (auto const& [name, evidence] : settled.tasks)
    {
        auto const [run, t] = find_task(name);
        if (t == nullptr || !t->crash_history.is_suspect())
        {
            continue;
        }
        t->crash_history.withdraw(evidence);
        mark_dirty(*run);
        auto* const present = fleet_.find(t->worker);
        if (present != nullptr && !t->crash_history.is_suspect())
        {
            present->suspects.erase(name);
        }
    }
    out_.log(severity::info,
             "blame_withdrawn",
             {{"worker", target.info.id},
              {"tasks", std::to_string(settled.tasks.size())}});
}

// The worker has crashed.
void owner::confirm_blame(common::time_point now, blame const& settled)
{
    for (auto const& [name, evidence] : settled.tasks)
    {
        auto const [run, t] = find_task(name);
        if (t == nullptr || !t->crash_history.is_suspect())
        {
            continue;
        }
        t->crash_history.confirm();
        mark_dirty(*run);
        fail_if_crash_limit_reached(now, *run, name);
    }
}

// Whether the run that an earlier owner recorded ended with its worker before
// that owner could count it.
bool owner::lost_unseen(task const& t)
{
    auto const& history = t.crash_history;
    if (history.worker.empty())
    {
        return false;
    }
    auto const* const w = fleet_.find(history.worker);
    bool const still_there = w != nullptr && w->adopted &&
                             w->incarnation == history.worker_incarnation;
    bool const left_as_planned = w != nullptr && w->info.draining;
    return !still_there && !left_as_planned;
}

// Logs what ran on the lost worker. The youngest run is the likeliest cause of
// a crash: tasks that crash their workers mostly do so when they start.
void owner::log_worker_lost(worker const& target,
                            task_names const& lost,
                            loss_reason reason,
                            blamed_tasks const& blamed)
{
    ports::task_name const* youngest = nullptr;
    common::duration min_seen{};
    for (auto const& name : lost)
    {
        auto const* const t = find_task(name).state;
        if (t != nullptr && (youngest == nullptr || t->seen_running < min_seen))
        {
            youngest = &name;
            min_seen = t->seen_running;
        }
    }
    if (youngest == nullptr)
    {
        return;
    }
    out_.log(severity::warning,
             "worker_lost",
             {{"worker", target.info.id},
              {"why", std::string(name_in(loss_reasons, reason))},
              {"runs", std::to_string(lost.size())},
              {"blamed", std::to_string(blamed.size())},
              {"youngest", youngest->job + "." + text_of(*youngest)},
              {"ran_ms", std::to_string(common::to_milliseconds(min_seen))}});
}

} // namespace fuchsia::core::pool
