#include "core/pool/owner.hpp"

#include <algorithm>
#include <utility>

// Handles the reports of workers: the attempts that run there, and those that
// are missing.
namespace fuchsia::core::pool
{

using ports::order_reply;
using ports::severity;

namespace
{

// An attempt that still runs this long after its stop never received it.
constexpr common::duration stop_again_after = std::chrono::seconds(1);

bool less_by_name(ports::task_name const* lhs, ports::task_name const* rhs)
{
    return *lhs < *rhs;
}

// Workers list tasks in an order of their own, which is usually the sorted one.
void sort_names(std::vector<ports::task_name const*>& names)
{
    if (!std::is_sorted(names.begin(), names.end(), less_by_name))
    {
        std::sort(names.begin(), names.end(), less_by_name);
    }
}

bool contains(std::vector<ports::task_name const*> const& sorted,
              ports::task_name const& name)
{
    return std::binary_search(
        sorted.begin(), sorted.end(), &name, less_by_name);
}

} // namespace

void owner::apply_rows(common::time_point now,
                       common::time_point sent_at,
                       worker& target,
                       order_reply const& reply)
{
    reported_names reported;
    reported.reserve(reply.running.size() + reply.ended.size());
    auto const unplaced_before = std::exchange(target.unplaced_runs, {});
    for (auto const& row : reply.running)
    {
        reported.push_back(&row.attempt_id.task);
        apply_running(now, target, row);
    }
    log_unplaced_runs(target, unplaced_before);
    dispatch_requested_ = dispatch_requested_ || (!unplaced_before.empty() &&
                                                  target.unplaced_runs.empty());
    for (auto const& row : reply.ended)
    {
        reported.push_back(&row.attempt_id.task);
        if (target.ends.add(row.sequence))
        {
            apply_end(now, target, row);
        }
    }
    bool const had_unlisted = target.ends.has_unlisted();
    target.ends.finish_report(reply.ended_is_full);
    if (reply.ended_is_full && !had_unlisted)
    {
        log_full_report(target, reply);
    }
    sort_names(reported);
    if (is_inconsistent(target, reported))
    {
        handle_unreported_tasks(now, sent_at, target, reported);
    }
}

// Logs that the worker may have ends that it has not listed. `gap` tells that
// it has left out one between two that it listed: it can't be acknowledged.
void owner::log_full_report(worker const& target, order_reply const& reply)
{
    out_.log(severity::info,
             "ends_unlisted",
             {{"worker", target.info.id},
              {"listed", std::to_string(reply.ended.size())},
              {"processed", std::to_string(target.ends.processed())},
              {"runs", std::to_string(target.runs.size())},
              {"gap", target.ends.has_gap() ? "true" : "false"}});
}

// Whether the worker does not list a task that is placed on it, or has a task
// whose start or stop is unanswered. This is rare.
bool owner::is_inconsistent(worker const& target,
                            reported_names const& reported)
{
    auto it = reported.begin();
    for (auto const& name : target.runs)
    {
        while (it != reported.end() && **it < name)
        {
            ++it;
        }
        auto const* const t = find_task(name).state;
        bool const consistent = it != reported.end() && **it == name &&
                                t != nullptr && !t->start_unanswered;
        if (!consistent)
        {
            return true;
        }
    }
    return false;
}

// A task that the worker had confirmed before the poll was sent, and that it no
// longer lists, is lost, unless its end may be among those that the worker has
// not listed yet: then it occupies its capacity until that is listed. Stops
// that were not confirmed are sent again.
void owner::handle_unreported_tasks(common::time_point now,
                                    common::time_point sent_at,
                                    worker& target,
                                    reported_names const& reported)
{
    auto const runs = target.runs;
    for (auto const& name : runs)
    {
        auto const [run, t] = find_task(name);
        bool const stop_unconfirmed = t != nullptr && t->start_unanswered &&
                                      t->phase == task_phase::stopping &&
                                      now - t->progressed_at > stop_again_after;
        if (stop_unconfirmed)
        {
            t->progressed_at = now;
            order_stop(now, target.info.id, {name, t->attempt});
        }
        if (contains(reported, name) || t == nullptr ||
            t->phase == task_phase::starting || t->start_unanswered ||
            t->started >= sent_at)
        {
            continue;
        }
        if (target.ends.has_unlisted())
        {
            t->end_unlisted = true;
            continue;
        }
        ++counters_.tasks_lost;
        log_task(severity::warning,
                 "task_missing",
                 {name, t->attempt},
                 target.info.id);
        t->phase = task_phase::blocked;
        task_over(now, *run, name);
    }
}

void owner::apply_running(common::time_point now,
                          worker& target,
                          ports::running_attempt const& row)
{
    auto const [run, t] = find_task(row.attempt_id.task);
    if (t == nullptr)
    {
        stop_unplaced_run(now, target, row.attempt_id);
        return;
    }
    if (may_belong_to_earlier_owner(*run, *t))
    {
        adopt_attempt(now, target, *run, row.attempt_id);
    }
    bool const is_current = t->placed() && t->worker == target.info.id &&
                            t->attempt == row.attempt_id.attempt;
    if (!is_current)
    {
        // A start that this owner gave up took effect late, or the task has
        // ended elsewhere.
        stop_unplaced_run(now, target, row.attempt_id);
        return;
    }
    t->worker_incarnation = target.incarnation;
    update_progress(now, target, *run, row);
    bool const overdue =
        t->phase == task_phase::stopping && now - t->started > stop_again_after;
    if (overdue)
    {
        order_stop(now, target.info.id, row.attempt_id);
    }
    stop_if_stuck(now, target, *run, row.attempt_id);
}

void owner::stop_unplaced_run(common::time_point now,
                              worker& target,
                              ports::pool_attempt const& attempt_id)
{
    target.unplaced_runs.insert(attempt_id);
    order_stop(now, target.info.id, attempt_id);
}

// Logs the runs of a report that are not placed there and that the report
// before did not list: with the line of their start it tells which incarnation
// an order was meant for, and which one carried it out.
void owner::log_unplaced_runs(worker const& target,
                              std::set<ports::pool_attempt> const& known)
{
    for (auto const& attempt_id : target.unplaced_runs)
    {
        if (!known.contains(attempt_id))
        {
            log_task(severity::info,
                     "run_of_other_attempt",
                     attempt_id,
                     target.info.id,
                     other_attempt_fields(target, attempt_id.task));
        }
    }
}

// Adopts a run that an earlier owner started.
void owner::adopt_attempt(common::time_point now,
                          worker& target,
                          job_run& run,
                          ports::pool_attempt const& attempt_id)
{
    auto& t = run.at(attempt_id.task);
    t.phase = task_phase::running;
    t.attempt = attempt_id.attempt;
    t.end_unlisted = false;
    t.started = now;
    t.seen_running = {};
    t.progressed_at = now;
    run.started = true;
    place(run, attempt_id.task, target);
    if (run.phase != job_phase::active)
    {
        t.phase = task_phase::stopping;
        order_stop(now, target.info.id, attempt_id);
    }
}

void owner::update_progress(common::time_point now,
                            worker& target,
                            job_run& run,
                            ports::running_attempt const& row)
{
    auto& t = run.at(row.attempt_id.task);
    if (t.phase == task_phase::starting)
    {
        run.started = true;
        t.phase = task_phase::running;
        t.started = now;
        t.progressed_at = now;
    }
    if (row.progress_percent != t.percent || t.speed_limit < 100)
    {
        t.progressed_at = now;
    }
    // The progress of a task without a speed limit shows how fast the worker
    // is.
    auto const& spec = run.step_of(row.attempt_id.task);
    bool const full_speed = t.speed_limit == 100 && t.reported_at > t.started &&
                            row.progress_percent > t.percent;
    if (full_speed && !spec.long_running)
    {
        target.speed.observe(now,
                             row.progress_percent - t.percent,
                             spec.estimate,
                             now - t.reported_at);
    }
    t.reported_at = now;
    t.seen_running =
        t.phase == task_phase::running ? now - t.started : t.seen_running;
    t.start_unanswered = false;
    clear_if_proven(target, run, row.attempt_id.task);
    t.percent = row.progress_percent;
    t.level = row.measurement;
    if (!row.checkpoint.empty())
    {
        t.checkpoint = row.checkpoint;
    }
}

// Stops a task without progress. Some faulty workers answer normally while none
// of their tasks progresses.
void owner::stop_if_stuck(common::time_point now,
                          worker& target,
                          job_run& run,
                          ports::pool_attempt const& attempt_id)
{
    auto& t = run.at(attempt_id.task);
    bool const stuck = t.phase == task_phase::running &&
                       !run.step_of(attempt_id.task).long_running &&
                       now - t.progressed_at > settings_.stuck_after;
    if (!stuck)
    {
        return;
    }
    log_task(severity::warning,
             "task_stuck",
             attempt_id,
             target.info.id,
             {{"percent", std::to_string(t.percent)}});
    t.phase = task_phase::stopping;
    t.failed_on.push_back(target.info.id);
    note_worker_failure(now, target, attempt_id.task.job);
    order_stop(now, target.info.id, attempt_id);
}

} // namespace fuchsia::core::pool
