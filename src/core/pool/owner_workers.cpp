#include "core/pool/owner.hpp"

#include <algorithm>
#include <utility>

// Asks workers, renews their leases and decides what becomes of silent ones.
namespace fuchsia::core::pool
{

using ports::order_reply;
using ports::order_status;
using ports::severity;

void owner::log_task(severity level,
                     char const* event,
                     ports::pool_attempt const& what,
                     std::string const& on,
                     std::vector<ports::header> more)
{
    std::vector<ports::header> fields{{"job", what.task.job},
                                      {"task", text_of(what.task)},
                                      {"attempt", std::to_string(what.attempt)},
                                      {"worker", on}};
    fields.insert(fields.end(), more.begin(), more.end());
    out_.log(level, event, std::move(fields));
}

void owner::poll_workers(common::time_point now)
{
    if (!may_act(now))
    {
        return;
    }
    for (auto& [id, each] : fleet_.all())
    {
        if (!each.poll_pending && now >= each.next_poll)
        {
            poll_worker(now, each);
        }
    }
}

void owner::poll_worker(common::time_point now, worker& of)
{
    ports::poll_order order;
    order.fencing_token = claim_.epoch();
    order.acknowledged_end = of.durable_end;
    bool const busy = !of.runs.empty();
    if (of.adopted)
    {
        bool const answers =
            now - of.last_contact < settings_.workers.renew_within;
        order.lease_until_ms = busy && answers ? fleet_.lease_end(of, now) : 0;
        of.lease_until_ms = std::max(of.lease_until_ms, order.lease_until_ms);
    }
    bool const unwritten = of.highest_end > of.durable_end;
    if (order.lease_until_ms > 0 && !unwritten)
    {
        bool const guarded = of.serves() && of.best_effort_cores > 0;
        order.wait = guarded ? settings_.guarded_poll_wait
                             : settings_.unguarded_poll_wait;
    }
    of.poll_pending = true;
    auto const wait = order.wait;
    out_.order(life_,
               {0,
                of.info.id,
                of.info.remote_endpoint,
                0,
                order,
                wait + settings_.poll_grace},
               [this, now, id = of.info.id](common::time_point at,
                                            order_reply const& reply)
               {
                   on_poll_reply(at, now, id, reply);
               });
}

void owner::on_poll_reply(common::time_point now,
                          common::time_point sent,
                          std::string const& id,
                          order_reply const& reply)
{
    auto* const of = fleet_.find(id);
    if (of == nullptr)
    {
        return;
    }
    of->poll_pending = false;
    if (reply.status == order_status::stale_fencing_token)
    {
        on_fenced(id);
        return;
    }
    if (reply.status == order_status::not_attempted)
    {
        of->next_poll = now + settings_.retry_pause;
        return;
    }
    // An answer that does not say whose it is may be of an earlier or a later
    // incarnation.
    bool const nameless =
        of->adopted && of->incarnation != 0 && reply.incarnation == 0;
    if (reply.status != order_status::done || nameless)
    {
        of->silent = true;
        of->silent_since_lapse = fleet_.lapsed(*of, sent);
        of->next_poll = now + settings_.full_pause;
        return;
    }
    of->silent = false;
    of->silent_since_lapse = false;
    of->last_contact = now;
    of->clock_ms = reply.clock_ms;
    of->clock_received_at = now;
    bool const first = !of->adopted || of->incarnation != reply.incarnation;
    if (first)
    {
        new_incarnation(now, *of, reply.incarnation);
    }
    of->view_known = false;
    apply_rows(now, sent, *of, reply, first);
    of->next_poll = of->runs.empty() ? now + settings_.idle_interval : now;
    if (of->highest_end > of->durable_end)
    {
        acknowledge_ends(now, *of);
    }
    if (first)
    {
        of->next_poll = now;
        complete_takeover(now);
    }
    protect_serving(now, *of);
    if (now >= of->next_poll && may_act(now))
    {
        poll_worker(now, *of);
    }
    save_all_progress();
    ledger_.tick(now);
    dispatch_if_requested(now);
}

// What was just learned is written before the end is acknowledged: an end that
// a worker has forgotten and the store does not hold is lost, and the next
// owner runs that task again. Asked before that, the worker would list the same
// ends at once. What it lists again while their record waits is asked for once.
void owner::acknowledge_ends(common::time_point now, worker& of)
{
    of.next_poll = now + settings_.guarded_poll_wait;
    if (of.ends_being_written == of.highest_end)
    {
        return;
    }
    of.ends_being_written = of.highest_end;
    save_all_progress();
    ledger_.after_all(
        [this,
         id = of.info.id,
         now,
         born = of.incarnation,
         number = of.highest_end](common::time_point at)
        {
            out_.push(ports::duration_sample{
                ports::duration_metric::end_to_durable, at - now});
            auto* const told = fleet_.find(id);
            if (told != nullptr && told->incarnation == born)
            {
                told->durable_end = std::max(told->durable_end, number);
                told->next_poll = at;
            }
        });
}

// A worker that fails tasks of several jobs in a row, with no success between,
// is to blame itself; a job that fails on several workers is not its doing.
void owner::note_worker_failure(common::time_point now,
                                worker& of,
                                std::string const& job)
{
    auto& jobs = of.failed_jobs;
    if (std::find(jobs.begin(), jobs.end(), job) == jobs.end())
    {
        jobs.push_back(job);
    }
    if (jobs.size() < settings_.suspect_after)
    {
        return;
    }
    out_.log(
        severity::warning,
        "worker_suspected",
        {{"worker", of.info.id}, {"failed_jobs", joined(jobs, jobs.size())}});
    of.avoid_until = now + settings_.suspect_pause;
    jobs.clear();
}

void owner::forget_runs(common::time_point now, worker& of, char const* why)
{
    auto const runs = of.runs;
    for (auto const& name : runs)
    {
        auto const [run, each] = find_task(name);
        if (each == nullptr)
        {
            of.runs.erase(name);
            continue;
        }
        ++counters_.tasks_lost;
        log_task(severity::warning,
                 "task_lost",
                 {name, each->attempt},
                 of.info.id,
                 {{"why", why}});
        each->phase = task_phase::blocked;
        task_over(now, *run, name);
    }
}

// A worker that can't be reached keeps its tasks until its lease has run out.
// Started elsewhere before that, a task would run in two places. It is asked
// once more then: where this owner was too busy to hear its answers, it may
// have told long ago that its tasks are done.
void owner::check_silent(common::time_point now)
{
    std::vector<std::string> gone;
    for (auto& [id, each] : fleet_.all())
    {
        bool const silent = each.adopted && !each.runs.empty() &&
                            now - each.last_contact > settings_.workers.lease;
        if (silent && each.silent_since_lapse)
        {
            forget_runs(now, each, "lease lapsed in silence");
        }
        else if (silent && fleet_.lapsed(each, now))
        {
            each.next_poll = now;
        }
        bool const absent = !each.listed && list_.known() &&
                            each.runs.empty() && !each.poll_pending &&
                            fleet_.lapsed(each, now);
        // One that was never reached may run what its last owner gave it.
        if (absent && (each.adopted || takeover_complete_))
        {
            gone.push_back(id);
        }
    }
    for (auto const& id : gone)
    {
        out_.log(severity::info, "worker_gone", {{"worker", id}});
        fleet_.erase(id);
        roster_.erase(id);
    }
    if (!gone.empty())
    {
        write_roster();
    }
}

// Repeated until the worker answers: what was stopped there, or never came, is
// refused there for good, so the task may start elsewhere once a later hold
// does not show it.
void owner::order_stop(common::time_point now,
                       std::string const& id,
                       ports::pool_attempt const& what)
{
    auto* const on = fleet_.find(id);
    if (on == nullptr || !may_act(now))
    {
        return;
    }
    out_.order(life_,
               {0,
                id,
                on->info.remote_endpoint,
                0,
                ports::stop_order{claim_.epoch(), what},
                settings_.order_timeout},
               [this, id, what](common::time_point at, order_reply const& reply)
               {
                   if (reply.status == order_status::stale_fencing_token)
                   {
                       on_fenced(id);
                       return;
                   }
                   auto* const each = find_stopping(id, what);
                   if (each == nullptr)
                   {
                       return;
                   }
                   if (reply.status == order_status::done)
                   {
                       // A hold sent from now on tells the truth about it.
                       each->start_unanswered = false;
                       each->started = at;
                       return;
                   }
                   retry_later(at,
                               [this, id, what](common::time_point then)
                               {
                                   if (find_stopping(id, what) != nullptr)
                                   {
                                       order_stop(then, id, what);
                                   }
                               });
               });
}

// Null where its worker has told its end, or was given up.
task* owner::find_stopping(std::string const& id,
                           ports::pool_attempt const& what)
{
    auto const [run, each] = find_task(what.task);
    bool const stopping = each != nullptr &&
                          each->phase == task_phase::stopping &&
                          each->worker == id && each->attempt == what.attempt;
    return stopping ? each : nullptr;
}

void owner::on_fenced(std::string const& by)
{
    claim_.mark_lost("worker " + by + " has seen a later owner");
}

} // namespace fuchsia::core::pool
