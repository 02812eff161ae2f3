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

// Added to the rank of what can't earn all, or anything, any more: it runs on
// what the rest leaves.
constexpr std::uint32_t late_rank = 1000;
constexpr std::uint32_t worthless_rank = 2000;
constexpr std::uint32_t gone_rank = 4000;
// Unix milliseconds beyond any job's.
constexpr std::int64_t never_due = std::numeric_limits<std::int64_t>::max() / 2;
// One round looks at this many steps that wait, so that a long queue costs no
// more than a short one.
constexpr std::size_t steps_per_round = 128;

struct shape
{
    step const* what = nullptr;
    std::string service;
};

// Whether `wanted` needs at least as much as what found no place just now.
bool as_hard(shape const& failed, shape const& wanted)
{
    return failed.service == wanted.service &&
           failed.what->best_effort == wanted.what->best_effort &&
           failed.what->required_label == wanted.what->required_label &&
           failed.what->max_per_worker == 0 &&
           failed.what->image == wanted.what->image &&
           wanted.what->declared.covers(failed.what->declared);
}

} // namespace

// Lasting jobs are never late. What was at work already returns before all
// else; what never was comes behind what can still be on time, so that room for
// large short tasks, which is rare, goes to those.
owner::ready_key owner::key_of(job_run const& run,
                               std::uint32_t occurrence,
                               std::uint32_t number) const
{
    auto const& steps = run.occurrences[occurrence].steps[number];
    bool const lasting = run.spec.steps[number].long_running;
    bool const returns =
        !steps.ready.empty() && steps.tasks[steps.ready.back()].ran_before;
    auto const behind = lasting && !returns ? never_due : 0;
    return {
        run.rank, behind + run.due_unix_ms, run.spec.id, occurrence, number};
}

// What has become late goes behind what can still be on time.
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
        bool const lasting = run.spec.steps.front().long_running;
        run.rank = run.rules.priority;
        if (!lasting && run.spec.occurrences == 1)
        {
            run.rank += now_ms > run.late_unix_ms  ? worthless_rank
                        : now_ms > run.due_unix_ms ? late_rank
                                                   : 0;
        }
        if (operators_.config.named(run.spec.queue) == nullptr)
        {
            run.rank += gone_rank;
        }
        for (std::uint32_t k = 0; k < run.occurrences.size(); ++k)
        {
            auto const& steps = run.occurrences[k].steps;
            for (std::uint32_t number = 0; number < steps.size(); ++number)
            {
                if (!steps[number].ready.empty())
                {
                    ready_.insert(key_of(run, k, number));
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
    // It points at workers, and is right for this moment only.
    capacity_index_.reset();
}

void owner::dispatch_steps(common::time_point now)
{
    std::vector<shape> failed;
    std::size_t looked_at = 0;
    for (auto next = ready_.begin(); next != ready_.end();)
    {
        // The step may be taken out of the set below.
        auto const key = *next++;
        auto* const run = find_job(key.job);
        auto const* const what =
            run != nullptr ? &run->spec.steps[key.step] : nullptr;
        if (what == nullptr)
        {
            ready_.erase(key);
            continue;
        }
        // Lasting steps that wait are looked at in no time, and may be many.
        looked_at += what->long_running ? 0U : 1U;
        if (looked_at > steps_per_round)
        {
            return;
        }
        shape const wanted{what, run->rules.service};
        bool const hopeless = what->tail_target.count() == 0 &&
                              std::any_of(failed.begin(),
                                          failed.end(),
                                          [&wanted](shape const& each)
                                          {
                                              return as_hard(each, wanted);
                                          });
        if (hopeless)
        {
            continue;
        }
        // A gang that finds no place says nothing of its tasks one by one, and
        // a lasting task may be kept from room that others may take.
        bool const tells =
            !what->gang && !run->rules.policy && !what->long_running;
        if (!dispatch_step(now, key) && tells)
        {
            failed.push_back(wanted);
        }
    }
}

// False where a task of the step found no worker.
bool owner::dispatch_step(common::time_point now, ready_key const& key)
{
    auto& run = *find_job(key.job);
    auto& steps = run.occurrences[key.occurrence].steps[key.step];
    if (run.rules.policy)
    {
        request_policy(now, key);
    }
    if (run.spec.steps[key.step].gang)
    {
        return dispatch_gang(now, key, run);
    }
    // Tasks of one step that have not failed anywhere are alike: all workers
    // are scored once for them, and after each placement just the one that was
    // taken. A step of 26 tasks on 350 workers costs 376 scores in place of
    // 9,100.
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
                           run.spec.steps[key.step].max_per_worker == 0;
        auto* on = take_reservation(now, run, name);
        if (on == nullptr && alike)
        {
            if (!ranked)
            {
                ranked = rank(now, run, name, "");
            }
            on = best_of(*ranked);
        }
        else if (on == nullptr)
        {
            on = best_of(rank(now, run, name, ""));
        }
        if (on == nullptr)
        {
            return false;
        }
        steps.ready.pop_back();
        bool const left_room = must_leave_reserve(run, name);
        place(run, name, *on);
        note_placement(run, name);
        capacity_changed(*on);
        start(now, run, name, *on);
        if (left_room != must_leave_reserve(run, name))
        {
            ranked.reset();
        }
        else if (ranked)
        {
            score_again(now, run, name, *on, left_room, *ranked);
        }
    }
    ready_.erase(key);
    return true;
}

void owner::start(common::time_point now,
                  job_run& run,
                  ports::task_name const& name,
                  worker& on)
{
    auto& each = run.at(name);
    ++each.attempt;
    each.phase = task_phase::starting;
    each.start_unanswered = false;
    each.ran_before = false;
    each.percent = 0;
    each.speed_limit = 100;
    each.started = now;
    each.progressed_at = now;
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
    order.fencing_token = claim_.epoch();
    order.attempt_id = {name, each.attempt};
    order.spec = run.spec.spec;
    order.lease_until_ms = fleet_.lease_end(on, now);
    order.checkpoint = each.checkpoint;
    auto const& tickets =
        run.occurrences[name.occurrence].steps[name.step].tickets;
    if (auto const found = tickets.find(on.info.id); found != tickets.end())
    {
        order.ticket = found->second.text;
    }
    on.lease_until_ms = std::max(on.lease_until_ms, order.lease_until_ms);
    // A worker that was idle is asked seldom; from now on it is watched.
    on.next_poll = std::min(on.next_poll, now + settings_.full_pause);
    out_.order(life_,
               {0,
                on.info.id,
                on.info.remote_endpoint,
                on.incarnation,
                order,
                settings_.order_timeout},
               [this, what = order.attempt_id, id = on.info.id](
                   common::time_point at, order_reply const& reply)
               {
                   on_start(at, what, id, reply);
               });
}

void owner::on_start(common::time_point now,
                     ports::pool_attempt const& what,
                     std::string const& id,
                     order_reply const& reply)
{
    if (reply.status == order_status::stale_fencing_token)
    {
        on_fenced(id);
        return;
    }
    auto const [run, each] = find_task(what.task);
    bool const ours = each != nullptr && each->worker == id &&
                      each->attempt == what.attempt &&
                      each->phase == task_phase::starting;
    if (!ours)
    {
        return;
    }
    if (reply.status == order_status::done)
    {
        run->started = true;
        each->phase = task_phase::running;
        each->started = now;
        each->progressed_at = now;
        return;
    }
    out_.log(severity::info,
             "start_refused",
             {{"job", what.task.job},
              {"step", std::to_string(what.task.step)},
              {"task", std::to_string(what.task.index)},
              {"attempt", std::to_string(what.attempt)},
              {"worker", id},
              {"status", std::to_string(static_cast<unsigned>(reply.status))}});
    if (reply.status == order_status::unclear)
    {
        // It may run, or be carried out in seconds: it must be stopped for good
        // before another attempt may start anywhere.
        ++counters_.starts_unclear;
        each->start_unanswered = true;
        each->phase = task_phase::stopping;
        order_stop(now, id, what);
        return;
    }
    ++counters_.starts_refused;
    if (reply.status == order_status::no_ticket)
    {
        run->occurrences[what.task.occurrence]
            .steps[what.task.step]
            .tickets.erase(id);
    }
    auto* const on = fleet_.find(id);
    if (on != nullptr && reply.status != order_status::not_attempted)
    {
        on->full_until = now + settings_.full_pause;
    }
    each->phase = task_phase::blocked;
    task_over(now, *run, what.task);
}

} // namespace fuchsia::core::pool
