#include "core/pool/owner.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace fuchsia::core::pool
{

using ports::order_reply;
using ports::order_status;
using ports::severity;

namespace
{

// Added to the rank of jobs that can no longer earn their full value, or any
// value, so that they run on the capacity that the others leave.
constexpr std::uint32_t late_rank = 1000;
constexpr std::uint32_t worthless_rank = 2000;
constexpr std::uint32_t removed_queue_rank = 4000;
// Added to the due time, in Unix milliseconds, of long-running steps; greater
// than the due time of any job.
constexpr std::int64_t long_running_order =
    std::numeric_limits<std::int64_t>::max() / 2;
// Maximum numbers of waiting steps that one pass of a round examines, and that
// it passes over since no listed worker could hold them, so that a long queue
// costs no more than a short one.
constexpr std::size_t max_examined_per_pass = 128;
constexpr std::size_t max_passed_over_per_pass = 1024;
// A round that has started so many tasks in its first pass makes no second one,
// so that polls and leases are not delayed, but for the longest time between
// two of them.
constexpr std::uint64_t many_starts = 32;
constexpr common::duration max_resume_interval = std::chrono::seconds(1);

} // namespace

// Long-running jobs are never late. Tasks that have run before come first;
// long-running tasks that have not come after all work that can still be on
// time, so that capacity for large short tasks, which is rare, goes to that
// work.
owner::ready_key owner::key_of(job_run const& run,
                               std::uint32_t occurrence,
                               std::uint32_t step_index) const
{
    auto const& steps = run.occurrences[occurrence].steps[step_index];
    bool const long_running = run.spec.steps[step_index].long_running;
    bool const ran_before =
        !steps.ready.empty() && steps.tasks[steps.ready.back()].ran_before;
    auto const order_offset =
        long_running && !ran_before ? long_running_order : 0;
    return {run.rank,
            order_offset + run.due_unix_ms,
            run.spec.id,
            occurrence,
            step_index};
}

// Recomputes the ranks: late jobs come after those that can still be on time.
void owner::rank_again(common::time_point now)
{
    auto const now_ms = out_.unix_ms(now);
    ready_.clear();
    for (auto& [id, run] : jobs_)
    {
        if (run.phase != job_phase::active)
        {
            continue;
        }
        bool const long_running = run.spec.steps.front().long_running;
        run.rank = run.rules.priority;
        if (!long_running && run.spec.occurrences == 1)
        {
            run.rank += now_ms > run.late_unix_ms  ? worthless_rank
                        : now_ms > run.due_unix_ms ? late_rank
                                                   : 0;
        }
        if (operators_.config.named(run.spec.queue) == nullptr)
        {
            run.rank += removed_queue_rank;
        }
        for (std::uint32_t occurrence_index = 0;
             occurrence_index < run.occurrences.size();
             ++occurrence_index)
        {
            auto const& steps = run.occurrences[occurrence_index].steps;
            for (std::uint32_t step_index = 0; step_index < steps.size();
                 ++step_index)
            {
                if (!steps[step_index].ready.empty())
                {
                    ready_.insert(key_of(run, occurrence_index, step_index));
                }
            }
        }
    }
}

void owner::dispatch(common::time_point now)
{
    if (may_act(now) && state_is_current(now))
    {
        dispatch_steps(now);
    }
    // The index points to workers and is valid for this moment only.
    capacity_index_.reset();
}

// A round looks at the first waiting steps in each case, and now and then goes
// on where it last stopped: steps that no worker can take would otherwise hide
// all behind them for as long as they wait.
void owner::dispatch_steps(common::time_point now)
{
    failed_placements failed;
    deferred_policy_step_.reset();
    auto const starts_before = counters_.starts;
    auto const behind_first = dispatch_from(now, ready_.begin(), failed);
    bool const started_many = counters_.starts - starts_before >= many_starts;
    auto const interval =
        started_many ? max_resume_interval : settings_.dispatch_interval;
    bool const resumes = behind_first && now >= last_resume_ + interval;
    if (resumes)
    {
        last_resume_ = now;
        auto const resumed =
            std::max(resume_at_.value_or(*behind_first), *behind_first);
        resume_at_ = dispatch_from(now, ready_.lower_bound(resumed), failed);
    }
    request_next_policy(now, resumes || !behind_first);
}

// Places the tasks of waiting steps from `next` on. Returns the first step that
// it leaves to a later pass; empty if there is none.
std::optional<owner::ready_key>
owner::dispatch_from(common::time_point now,
                     std::set<ready_key>::iterator next,
                     failed_placements& failed)
{
    std::size_t examined = 0;
    std::size_t passed_over = 0;
    while (next != ready_.end())
    {
        // The step may be erased from the set below.
        auto const key = *next++;
        auto* const run = find_job(key.job);
        if (run == nullptr)
        {
            ready_.erase(key);
            continue;
        }
        auto const& step_spec = run->spec.steps[key.step];
        // Long-running steps are not counted: they are cheap to examine, and
        // many of them may be waiting.
        bool const counted = !step_spec.long_running;
        if (counted && (examined == max_examined_per_pass ||
                        passed_over == max_passed_over_per_pass))
        {
            return key;
        }
        auto const& service = run->rules.service;
        if (!fleet_.may_hold(step_spec, service))
        {
            passed_over += counted ? 1U : 0U;
            continue;
        }
        examined += counted ? 1U : 0U;
        if (step_spec.tail_target.count() == 0 &&
            failed.rule_out(step_spec, service))
        {
            continue;
        }
        // A long-running task may be refused capacity that other tasks may use.
        bool const is_representative =
            !run->rules.policy && !step_spec.long_running;
        if (!dispatch_step(now, key) && is_representative)
        {
            failed.add(step_spec, service);
        }
    }
    return std::nullopt;
}

// Returns false if a task of the step found no worker.
bool owner::dispatch_step(common::time_point now, ready_key const& key)
{
    auto& run = *find_job(key.job);
    auto& steps = run.occurrences[key.occurrence].steps[key.step];
    if (run.rules.policy)
    {
        note_policy_step(now, key);
    }
    if (run.spec.steps[key.step].gang)
    {
        return dispatch_gang(now, key, run);
    }
    // Tasks of one step that have not failed anywhere and are not suspected of
    // crashing workers are equivalent: all workers are scored once for them,
    // and after each placement only the worker that was used is scored again. A
    // step of 26 tasks on 350 workers costs 376 scores instead of 9,100.
    std::optional<std::vector<ranked_worker>> ranked;
    while (!steps.ready.empty() && run.phase == job_phase::active)
    {
        auto const index = steps.ready.back();
        ports::task_name const name{key.job, key.occurrence, key.step, index};
        if (steps.tasks[index].phase != task_phase::ready)
        {
            steps.ready.pop_back();
            continue;
        }
        bool const alike = run.at(name).failed_on.empty() &&
                           !run.at(name).crash_history.is_suspect() &&
                           run.spec.steps[key.step].max_per_worker == 0;
        auto* target = take_reservation(now, run, name);
        if (target == nullptr && alike)
        {
            if (!ranked)
            {
                ranked = rank(now, run, name, any_rack);
            }
            target = best_of(*ranked);
        }
        else if (target == nullptr)
        {
            target = best_of(rank(now, run, name, any_rack));
        }
        if (target == nullptr)
        {
            return false;
        }
        steps.ready.pop_back();
        bool const left_reserve = must_leave_reserve(run, name);
        place(run, name, *target);
        note_placement(run, name);
        capacity_changed(*target);
        start(now, run, name, *target);
        if (left_reserve != must_leave_reserve(run, name))
        {
            ranked.reset();
        }
        else if (ranked)
        {
            score_again(now, run, name, *target, left_reserve, *ranked);
        }
    }
    ready_.erase(key);
    return true;
}

void owner::start(common::time_point now,
                  job_run& run,
                  ports::task_name const& name,
                  worker& target)
{
    auto& t = run.at(name);
    ++t.attempt;
    t.phase = task_phase::starting;
    t.start_unanswered = false;
    t.end_unlisted = false;
    t.ran_before = false;
    t.percent = 0;
    t.speed_limit = 100;
    t.speed_limit_unanswered = false;
    t.speed_limit_unclear = false;
    t.started = now;
    t.seen_running = {};
    t.progressed_at = now;
    if (t.crash_history.is_suspect())
    {
        t.crash_history.worker = target.info.id;
        t.crash_history.worker_incarnation = target.incarnation;
        mark_dirty(run);
    }
    if (run.first_start_unix_ms == 0)
    {
        run.first_start_unix_ms = out_.unix_ms(now);
        out_.push(ports::duration_sample{
            ports::duration_metric::wait_to_start,
            std::chrono::milliseconds(run.first_start_unix_ms -
                                      run.spec.accepted_unix_ms)});
    }
    ++counters_.starts;
    ports::start_order order;
    order.fencing_token = next_token(target);
    order.attempt_id = {name, t.attempt};
    order.spec = run.spec.spec;
    order.lease_until_ms = fleet_.lease_end(target, now);
    order.checkpoint = t.checkpoint;
    auto const& tickets =
        run.occurrences[name.occurrence].steps[name.step].tickets;
    if (auto const found = tickets.find(target.info.id); found != tickets.end())
    {
        order.ticket = found->second.text;
    }
    target.lease_until_ms =
        std::max(target.lease_until_ms, order.lease_until_ms);
    // An idle worker is polled rarely; with a task it is polled more often.
    target.next_poll = std::min(target.next_poll, now + settings_.full_pause);
    ++target.starts_pending;
    out_.order(life_,
               {0,
                target.info.id,
                target.info.remote_endpoint,
                order,
                settings_.order_timeout},
               [this,
                sent = sent_start{order.attempt_id,
                                  target.info.id,
                                  order.fencing_token,
                                  target.incarnation,
                                  order.lease_until_ms}](
                   common::time_point at, order_reply const& reply)
               {
                   on_start(at, sent, reply);
               });
}

void owner::on_start(common::time_point now,
                     sent_start const& sent,
                     order_reply const& reply)
{
    auto const& attempt_id = sent.attempt_id;
    auto const& id = sent.worker;
    if (reply.status == order_status::stale_fencing_token &&
        !on_fenced(now, id, "start", sent.fencing_token))
    {
        return;
    }
    auto* const target = fleet_.find(id);
    if (target != nullptr)
    {
        note_start_reply(now, *target, sent, reply);
    }
    auto const [run, t] = find_task(attempt_id.task);
    bool const ours = t != nullptr && t->worker == id &&
                      t->attempt == attempt_id.attempt &&
                      t->phase == task_phase::starting;
    if (!ours)
    {
        return;
    }
    if (reply.status == order_status::done)
    {
        run->started = true;
        t->phase = task_phase::running;
        t->started = now;
        t->progressed_at = now;
        if (reply.incarnation != 0)
        {
            t->worker_incarnation = reply.incarnation;
        }
        run->occurrences[attempt_id.task.occurrence]
            .steps[attempt_id.task.step]
            .policy_deferral = {};
        return;
    }
    out_.log(severity::info,
             "start_refused",
             {{"job", attempt_id.task.job},
              {"step", std::to_string(attempt_id.task.step)},
              {"task", std::to_string(attempt_id.task.index)},
              {"attempt", std::to_string(attempt_id.attempt)},
              {"worker", id},
              {"born", std::to_string(sent.incarnation)},
              {"fencing_token", std::to_string(sent.fencing_token)},
              {"status", std::to_string(static_cast<unsigned>(reply.status))}});
    if (reply.status == order_status::unclear)
    {
        // The start may have been carried out, or may be carried out seconds
        // later: the task must be stopped for certain before another attempt
        // may start anywhere.
        ++counters_.starts_unclear;
        t->start_unanswered = true;
        t->phase = task_phase::stopping;
        order_stop(now, id, attempt_id);
        return;
    }
    ++counters_.starts_refused;
    if (reply.status == order_status::no_ticket)
    {
        // The policy has allowed the worker, so it is asked for another ticket.
        auto& steps = run->occurrences[attempt_id.task.occurrence]
                          .steps[attempt_id.task.step];
        steps.tickets[id].until = {};
        if (now >= steps.policy_deferred_until)
        {
            defer_policy_request(now, steps);
        }
    }
    bool const may_be_full = reply.status != order_status::not_attempted &&
                             reply.status != order_status::stale_fencing_token;
    if (target != nullptr && may_be_full)
    {
        target->full_until = now + settings_.full_pause;
    }
    t->phase = task_phase::blocked;
    task_over(now, *run, attempt_id.task);
}

} // namespace fuchsia::core::pool
