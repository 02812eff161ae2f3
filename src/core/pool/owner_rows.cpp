#include "core/pool/owner.hpp"

#include <algorithm>
#include <array>
#include <utility>

// What a worker tells of its runs and of their ends.
namespace fuchsia::core::pool
{

using ports::end_kind;
using ports::order_reply;
using ports::severity;

namespace
{

// What still runs after this was never told to stop.
constexpr common::duration stop_again_after = std::chrono::seconds(1);

bool before(ports::task_name const* one, ports::task_name const* other)
{
    return *one < *other;
}

// Workers name tasks in an order of their own, mostly the same as ours.
void sort_names(std::vector<ports::task_name const*>& names)
{
    if (!std::is_sorted(names.begin(), names.end(), before))
    {
        std::sort(names.begin(), names.end(), before);
    }
}

bool contains(std::vector<ports::task_name const*> const& sorted,
              ports::task_name const& name)
{
    return std::binary_search(sorted.begin(), sorted.end(), &name, before);
}

std::string_view name_of(end_kind how)
{
    constexpr std::array<std::string_view, 6> names{
        "done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[static_cast<std::size_t>(how)];
}

/// What went wrong with earlier attempts of a task; of a gang, of any member.
struct earlier_failures
{
    bool failed = false;
    std::string workers; ///< As far as this owner saw them: "w1,w2".
};

earlier_failures failed_before(job_run const& run, ports::task_name const& name)
{
    auto const& tasks = run.occurrences[name.occurrence].steps[name.step].tasks;
    bool const gang = run.step_of(name).gang;
    earlier_failures made;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        if (!gang && index != name.index)
        {
            continue;
        }
        auto const& each = tasks[index];
        made.failed =
            made.failed || !each.failures.empty() || !each.failed_on.empty();
        for (auto const& worker : each.failed_on)
        {
            made.workers += made.workers.empty() ? "" : ",";
            made.workers += worker;
        }
    }
    return made;
}

} // namespace

void owner::apply_rows(common::time_point now,
                       common::time_point sent,
                       worker& of,
                       order_reply const& reply,
                       bool first)
{
    reported_names here;
    here.reserve(reply.running.size() + reply.ended.size());
    for (auto const& row : reply.running)
    {
        here.push_back(&row.attempt_id.task);
        take_running(now, of, row);
    }
    // Whatever their order: an end that was passed over is acknowledged with a
    // later one, and is lost.
    auto const known = of.highest_end;
    for (auto const& row : reply.ended)
    {
        here.push_back(&row.attempt_id.task);
        if (row.sequence > known)
        {
            of.highest_end = std::max(of.highest_end, row.sequence);
            take_end(now, of, row);
            if (first)
            {
                take_inherited_failure(now, row);
            }
        }
    }
    sort_names(here);
    if (is_inconsistent(of, here))
    {
        check_missing(now, sent, of, here);
    }
}

// Whether the worker does not name a task that is placed there, or one of which
// it is unclear whether it began. Hardly ever.
bool owner::is_inconsistent(worker const& of, reported_names const& told)
{
    auto here = told.begin();
    for (auto const& name : of.runs)
    {
        while (here != told.end() && **here < name)
        {
            ++here;
        }
        auto const* const each = find_task(name).each;
        bool const plain = here != told.end() && **here == name &&
                           each != nullptr && !each->start_unanswered;
        if (!plain)
        {
            return true;
        }
    }
    return false;
}

// What the worker had confirmed before it was asked, and does not name, is gone
// without a trace.
void owner::check_missing(common::time_point now,
                          common::time_point sent,
                          worker& of,
                          reported_names const& told)
{
    auto const believed = of.runs;
    for (auto const& name : believed)
    {
        auto const [run, each] = find_task(name);
        bool const untold = each != nullptr && each->start_unanswered &&
                            each->phase == task_phase::stopping &&
                            now - each->progressed_at > stop_again_after;
        if (untold)
        {
            each->progressed_at = now;
            order_stop(now, of.info.id, {name, each->attempt});
        }
        if (contains(told, name) || each == nullptr ||
            each->phase == task_phase::starting || each->start_unanswered ||
            each->started >= sent)
        {
            continue;
        }
        ++counters_.tasks_lost;
        log_task(severity::warning,
                 "task_missing",
                 {name, each->attempt},
                 of.info.id);
        each->phase = task_phase::blocked;
        task_over(now, *run, name);
    }
}

void owner::take_running(common::time_point now,
                         worker& of,
                         ports::running_attempt const& row)
{
    auto const [run, each] = find_task(row.attempt_id.task);
    if (each == nullptr)
    {
        order_stop(now, of.info.id, row.attempt_id);
        return;
    }
    if (may_belong_to_earlier_owner(*run, *each))
    {
        adopt_run(now, of, *run, row.attempt_id);
    }
    bool const ours = each->placed() && each->worker == of.info.id &&
                      each->attempt == row.attempt_id.attempt;
    if (!ours)
    {
        // A start that was given up, carried out late.
        order_stop(now, of.info.id, row.attempt_id);
        return;
    }
    note_progress(now, of, *run, row);
    bool const overdue = each->phase == task_phase::stopping &&
                         now - each->started > stop_again_after;
    if (overdue)
    {
        order_stop(now, of.info.id, row.attempt_id);
    }
    stop_if_stuck(now, of, *run, row.attempt_id);
}

// A run that an earlier owner began.
void owner::adopt_run(common::time_point now,
                      worker& of,
                      job_run& run,
                      ports::pool_attempt const& what)
{
    auto& each = run.at(what.task);
    each.phase = task_phase::running;
    each.attempt = what.attempt;
    each.started = now;
    each.progressed_at = now;
    run.started = true;
    place(run, what.task, of);
    if (run.phase != job_phase::active)
    {
        each.phase = task_phase::stopping;
        order_stop(now, of.info.id, what);
    }
}

void owner::note_progress(common::time_point now,
                          worker& of,
                          job_run& run,
                          ports::running_attempt const& row)
{
    auto& each = run.at(row.attempt_id.task);
    if (each.phase == task_phase::starting)
    {
        run.started = true;
        each.phase = task_phase::running;
        each.started = now;
        each.progressed_at = now;
    }
    if (row.progress_percent != each.percent || each.speed_limit < 100)
    {
        each.progressed_at = now;
    }
    // A task at full speed shows how fast its worker is.
    auto const& what = run.step_of(row.attempt_id.task);
    bool const steady = each.speed_limit == 100 &&
                        each.reported_at > each.started &&
                        row.progress_percent > each.percent;
    if (steady && !what.long_running)
    {
        of.speed.observe(now,
                         row.progress_percent - each.percent,
                         what.estimate,
                         now - each.reported_at);
    }
    each.reported_at = now;
    each.start_unanswered = false;
    each.percent = row.progress_percent;
    each.level = row.measurement;
    if (!row.checkpoint.empty())
    {
        each.checkpoint = row.checkpoint;
    }
}

// Some workers look healthy and let all their tasks stand still.
void owner::stop_if_stuck(common::time_point now,
                          worker& of,
                          job_run& run,
                          ports::pool_attempt const& what)
{
    auto& each = run.at(what.task);
    bool const stuck = each.phase == task_phase::running &&
                       !run.step_of(what.task).long_running &&
                       now - each.progressed_at > settings_.stuck_after;
    if (!stuck)
    {
        return;
    }
    log_task(severity::warning,
             "task_stuck",
             what,
             of.info.id,
             {{"percent", std::to_string(each.percent)}});
    each.phase = task_phase::stopping;
    each.failed_on.push_back(of.info.id);
    note_worker_failure(now, of, what.task.job);
    order_stop(now, of.info.id, what);
}

void owner::take_end(common::time_point now,
                     worker& of,
                     ports::ended_attempt const& row)
{
    auto const& name = row.attempt_id.task;
    auto const [run, each] = find_task(name);
    if (each == nullptr || each->phase == task_phase::done)
    {
        return;
    }
    bool const current = each->placed() && each->worker == of.info.id &&
                         each->attempt == row.attempt_id.attempt;
    bool const unsure = may_belong_to_earlier_owner(*run, *each);
    // The end of a run that was taken for lost: no other was started since.
    bool const late = each->phase == task_phase::ready &&
                      each->worker == of.info.id &&
                      each->attempt == row.attempt_id.attempt;
    if (!row.checkpoint.empty() && (current || unsure || late))
    {
        each->checkpoint = row.checkpoint;
    }
    if (unsure)
    {
        // Another worker may still run a later attempt of it.
        each->attempt = std::max(each->attempt, row.attempt_id.attempt);
        run->started = true;
    }
    if (row.kind == end_kind::done && (current || unsure || late))
    {
        of.failed_jobs.clear();
        task_done(now, *run, name);
        return;
    }
    if (row.kind == end_kind::failed && (current || unsure))
    {
        take_failure(now, of, *run, row.attempt_id, current);
        return;
    }
    if (!current)
    {
        return;
    }
    if (row.kind != end_kind::stopped)
    {
        ++counters_.tasks_lost;
        log_task(severity::warning,
                 "task_ended",
                 {name, row.attempt_id.attempt},
                 of.info.id,
                 {{"how", std::string(name_of(row.kind))}});
    }
    task_over(now, *run, name);
}

// One failed run changes little and many jobs have one. From the second on they
// lead to the end of the job.
void owner::log_failure(common::time_point now,
                        worker const& of,
                        job_run const& run,
                        ports::pool_attempt const& what)
{
    digest_.task_failed(now, of.info.id);
    auto const before = failed_before(run, what.task);
    if (before.failed || run.rules.attempts <= 1)
    {
        log_task(severity::info,
                 "task_failed",
                 what,
                 of.info.id,
                 {{"failed_before_on", before.workers}});
    }
}

// A failure that was counted already is told again by a worker that did not
// hear of it.
void owner::take_failure(common::time_point now,
                         worker& of,
                         job_run& run,
                         ports::pool_attempt const& what,
                         bool current)
{
    auto& each = run.at(what.task);
    auto const& failures = each.failures;
    bool const counted =
        std::find(failures.begin(), failures.end(), what.attempt) !=
        failures.end();
    if (counted && current)
    {
        task_over(now, run, what.task);
    }
    if (counted)
    {
        return;
    }
    log_failure(now, of, run, what);
    each.worker = of.info.id;
    note_worker_failure(now, of, what.task.job);
    if (current)
    {
        task_failed(now, run, what.task);
        return;
    }
    count_failure(run, what.task, what.attempt);
}

} // namespace fuchsia::core::pool
