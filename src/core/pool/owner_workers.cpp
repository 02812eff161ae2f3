#include "core/pool/owner.hpp"

#include <algorithm>
#include <utility>

// Polls workers, renews their leases and handles those that do not answer.
namespace fuchsia::core::pool
{

using ports::order_reply;
using ports::order_status;
using ports::severity;

void owner::log_task(severity level,
                     char const* event,
                     ports::pool_attempt const& attempt_id,
                     std::string const& worker_id,
                     std::vector<ports::header> extra_fields)
{
    std::vector<ports::header> fields{
        {"job", attempt_id.task.job},
        {"task", text_of(attempt_id.task)},
        {"attempt", std::to_string(attempt_id.attempt)},
        {"worker", worker_id}};
    fields.insert(fields.end(), extra_fields.begin(), extra_fields.end());
    out_.log(level, event, std::move(fields));
}

// Returns the fields of a log line about an attempt that a worker lists, and
// that is not the present one of its task.
std::vector<ports::header>
owner::other_attempt_fields(worker const& target, ports::task_name const& name)
{
    auto const* const t = find_task(name).state;
    if (t == nullptr)
    {
        return {{"born", std::to_string(target.incarnation)},
                {"phase", "unknown"}};
    }
    return {{"born", std::to_string(target.incarnation)},
            {"phase", std::string(name_of(t->phase))},
            {"present_attempt", std::to_string(t->attempt)},
            {"present_worker", t->worker}};
}

void owner::poll_workers(common::time_point now)
{
    if (!may_act(now))
    {
        return;
    }
    for (auto& [id, w] : fleet_.all())
    {
        poll_if_due(now, w);
    }
}

void owner::poll_if_due(common::time_point now, worker& target)
{
    if (!target.poll_pending && now >= target.next_poll &&
        !must_await_starts(now, target))
    {
        poll_worker(now, target);
    }
}

void owner::poll_worker(common::time_point now, worker& target)
{
    ports::poll_order order;
    order.fencing_token = next_token(target);
    order.acknowledged_end = end_to_acknowledge(target);
    bool const busy = !target.runs.empty();
    if (target.adopted)
    {
        // A lease by the clock of an earlier incarnation may be far too long.
        bool const responsive =
            now - target.last_contact < settings_.workers.renew_within &&
            !target.may_have_restarted();
        order.lease_until_ms =
            busy && responsive ? fleet_.lease_end(target, now) : 0;
        target.lease_until_ms =
            std::max(target.lease_until_ms, order.lease_until_ms);
    }
    // Without a wait the worker answers with ends that it lists again, or that
    // it has not listed yet.
    bool const all_acknowledged =
        !target.ends.has_unlisted() &&
        target.ends.processed() ==
            std::max(order.acknowledged_end, target.acknowledged_end);
    if (order.lease_until_ms > 0 && all_acknowledged)
    {
        bool const guarded = target.serves() && target.best_effort_cores > 0;
        order.wait = guarded ? settings_.guarded_poll_wait
                             : settings_.unguarded_poll_wait;
    }
    target.poll_pending = true;
    auto const wait = order.wait;
    out_.order(life_,
               {0,
                target.info.id,
                target.info.remote_endpoint,
                order,
                wait + settings_.poll_grace},
               [this,
                poll = sent_poll{now,
                                 target.info.id,
                                 target.info.remote_endpoint,
                                 order.fencing_token,
                                 order.acknowledged_end,
                                 order.lease_until_ms}](
                   common::time_point at, order_reply const& reply)
               {
                   on_poll_reply(at, poll, reply);
               });
}

void owner::on_poll_reply(common::time_point now,
                          sent_poll const& poll,
                          order_reply const& reply)
{
    auto* const target = fleet_.find(poll.worker);
    if (target == nullptr)
    {
        return;
    }
    target->poll_pending = false;
    if (reply.status == order_status::wrong_incarnation && !target->adopted &&
        target->info.remote_endpoint == poll.remote_endpoint)
    {
        mark_ended(now, *target);
        return;
    }
    if (reply.status == order_status::stale_fencing_token)
    {
        if (on_fenced(now, poll.worker, "poll", poll.fencing_token))
        {
            note_incarnation_of(now, *target, reply);
            target->next_poll = now;
        }
        return;
    }
    if (reply.status == order_status::not_attempted)
    {
        target->next_poll = now + settings_.retry_pause;
        return;
    }
    // An answer without an incarnation may come from an earlier or a later
    // incarnation of the worker.
    bool const anonymous =
        target->adopted && target->incarnation != 0 && reply.incarnation == 0;
    if (reply.status != order_status::done || anonymous)
    {
        if (!target->silent)
        {
            target->contact_lost_at = target->last_contact;
            target->may_have_crashed = false;
        }
        target->silent = true;
        bool const may_have_renewed =
            poll.lease_until_ms > 0 && reply.status != order_status::not_sent;
        target->unconfirmed_lease_at =
            may_have_renewed ? now : target->unconfirmed_lease_at;
        bool const has_effect =
            poll.acknowledged_end > 0 || poll.lease_until_ms > 0;
        if (reply.status == order_status::unclear && has_effect)
        {
            note_unanswered(now, *target, poll.fencing_token, "poll");
        }
        target->silent_since_lapse = fleet_.lapsed(*target, poll.sent_at);
        target->next_poll = now + settings_.full_pause;
        return;
    }
    worker_answered_at_ = now;
    bool const was_silent = std::exchange(target->silent, false);
    target->silence_noted = false;
    target->silent_since_lapse = false;
    target->last_contact = now;
    target->report_as_of = poll.sent_at;
    target->clock_ms = reply.clock_ms;
    target->clock_received_at = now;
    bool const first_report =
        !target->adopted || target->incarnation != reply.incarnation;
    if (first_report)
    {
        target->contact_lost_at =
            target->adopted && !was_silent ? now : target->contact_lost_at;
        adopt_incarnation(now, *target, poll, reply);
    }
    else
    {
        target->acknowledged_end =
            std::max(target->acknowledged_end, poll.acknowledged_end);
    }
    if (was_silent || first_report)
    {
        settle_blame(now, *target);
    }
    target->view_known = false;
    bool const caught_up_before = target->ends.caught_up();
    apply_rows(now, poll.sent_at, *target, reply);
    target->next_poll =
        target->runs.empty() ? now + idle_interval_of(now, *target) : now;
    if (target->ends.processed() > target->durable_end)
    {
        acknowledge_ends(now, *target);
    }
    else if (target->ends.has_unlisted() ||
             (target->runs.empty() && !target->unplaced_runs.empty()))
    {
        target->next_poll = now + settings_.guarded_poll_wait;
    }
    if (first_report || target->may_have_restarted())
    {
        target->next_poll = now;
    }
    if (!caught_up_before)
    {
        complete_takeover(now);
    }
    protect_serving(now, *target);
    if (may_act(now))
    {
        poll_if_due(now, *target);
    }
    save_all_progress();
    ledger_.tick(now);
    dispatch_if_requested(now);
}

// Acknowledges ends only after they are durable in the store. A worker forgets
// an acknowledged end; if the store did not hold it either, the next owner
// would run that task again. The next poll is delayed, because until the ends
// are acknowledged the worker would answer at once with the same ones. Ends
// that it repeats while they are being written are not written again.
void owner::acknowledge_ends(common::time_point now, worker& target)
{
    target.next_poll = now + settings_.guarded_poll_wait;
    if (target.ends_being_written == target.ends.processed())
    {
        return;
    }
    target.ends_being_written = target.ends.processed();
    save_all_progress();
    ledger_.after_all(
        [this,
         id = target.info.id,
         now,
         incarnation = target.incarnation,
         sequence = target.ends.processed()](common::time_point at)
        {
            out_.push(ports::duration_sample{
                ports::duration_metric::end_to_durable, at - now});
            auto* const target = fleet_.find(id);
            if (target != nullptr && target->incarnation == incarnation)
            {
                target->durable_end = std::max(target->durable_end, sequence);
                target->next_poll = at;
            }
        });
}

// A worker on which tasks of several jobs fail in a row, without a success in
// between, is probably faulty. One job that fails on several workers says
// nothing about the workers.
void owner::note_worker_failure(common::time_point now,
                                worker& target,
                                std::string const& job)
{
    auto& jobs = target.failed_jobs;
    if (std::find(jobs.begin(), jobs.end(), job) == jobs.end())
    {
        jobs.push_back(job);
    }
    if (jobs.size() < settings_.suspect_after)
    {
        return;
    }
    out_.log(severity::warning,
             "worker_suspected",
             {{"worker", target.info.id},
              {"failed_jobs", joined(jobs, jobs.size())}});
    target.avoid_until = now + settings_.suspect_pause;
    jobs.clear();
}

// A worker that can't be reached keeps its tasks until its lease has expired.
// If a task were started elsewhere before that, it would run in two places.
// After the expiry the worker is polled once more: if this owner was too busy
// to process its answers, it may have reported long ago that its tasks are
// done.
void owner::check_silent_workers(common::time_point now)
{
    std::vector<std::string> removed;
    for (auto& [id, w] : fleet_.all())
    {
        note_silence(now, w);
        bool const silent = w.adopted && !w.runs.empty() &&
                            now - w.last_contact > settings_.workers.lease;
        if (silent && w.silent_since_lapse)
        {
            auto const lost = w.runs;
            mark_attempts_lost(now, w, lost, loss_reason::silent);
        }
        else if (silent && fleet_.lapsed(w, now))
        {
            w.next_poll = now;
        }
        bool const absent = !w.listed && list_.loaded() && w.runs.empty() &&
                            !w.poll_pending && fleet_.lapsed(w, now) &&
                            !fleet_.may_list_earlier_ends(w, now);
        // A worker that this owner never reached may still run tasks of an
        // earlier owner.
        if (absent && (w.adopted || w.ended || takeover_complete_))
        {
            removed.push_back(id);
        }
    }
    for (auto const& id : removed)
    {
        out_.log(severity::info, "worker_gone", {{"worker", id}});
        lost_workers_.note_gone(now, *fleet_.find(id));
        fleet_.erase(id);
        forget_inherited(id);
    }
    if (!removed.empty())
    {
        update_roster(now);
    }
}

// Sends the stop until the worker answers. From then on the worker refuses the
// attempt for good, whether it stopped it or never received it. The task may
// start elsewhere once a later poll does not list it.
void owner::order_stop(common::time_point now,
                       std::string const& id,
                       ports::pool_attempt const& attempt_id)
{
    auto* const target = fleet_.find(id);
    if (target == nullptr || !may_act(now))
    {
        return;
    }
    auto const token = next_token(*target);
    out_.order(life_,
               {0,
                id,
                target->info.remote_endpoint,
                ports::stop_order{token, attempt_id},
                settings_.order_timeout},
               [this, sent = sent_stop{attempt_id, id, token}](
                   common::time_point at, order_reply const& reply)
               {
                   on_stop(at, sent, reply);
               });
}

void owner::on_stop(common::time_point now,
                    sent_stop const& sent,
                    order_reply const& reply)
{
    auto const& attempt_id = sent.attempt_id;
    auto const& id = sent.worker;
    if (reply.status == order_status::stale_fencing_token &&
        !on_fenced(now, id, "stop", sent.fencing_token))
    {
        return;
    }
    if (auto* const target = fleet_.find(id))
    {
        note_incarnation_of(now, *target, reply);
    }
    auto* const t = find_stopping_task(id, attempt_id);
    if (t == nullptr)
    {
        return;
    }
    if (reply.status == order_status::done)
    {
        // A poll sent from now on shows whether it runs.
        t->start_unanswered = false;
        t->started = now;
        return;
    }
    retry_later(now,
                [this, id, attempt_id](common::time_point then)
                {
                    if (find_stopping_task(id, attempt_id) != nullptr)
                    {
                        order_stop(then, id, attempt_id);
                    }
                });
}

// Returns null if the worker has reported the attempt's end or was given up.
task* owner::find_stopping_task(std::string const& id,
                                ports::pool_attempt const& attempt_id)
{
    auto const [run, t] = find_task(attempt_id.task);
    bool const stopping = t != nullptr && t->phase == task_phase::stopping &&
                          t->worker == id && t->attempt == attempt_id.attempt;
    return stopping ? t : nullptr;
}

} // namespace fuchsia::core::pool
