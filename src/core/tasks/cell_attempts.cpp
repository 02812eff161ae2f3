#include "core/tasks/cell_runner.hpp"

#include <algorithm>
#include <set>
#include <utility>

// Attempts: start calls, lease renewals, checkpoints, stops and ends.
namespace fuchsia::core::tasks
{

namespace
{

worker_call_tag make_call_tag(worker_call_kind kind,
                              std::string const& cell,
                              task_key const& key,
                              active_attempt const& run)
{
    return {kind, cell, run.worker, key, run.attempt, 0};
}

ports::task_attempt make_attempt_id(task_key const& key,
                                    active_attempt const& run)
{
    return {task_name(key), run.attempt};
}

bool needs_renewal(active_attempt const& run)
{
    return !run.unknown_to_worker &&
           (run.phase == attempt_phase::running ||
            run.phase == attempt_phase::checkpointing ||
            run.phase == attempt_phase::committing_checkpoint);
}

// Longest time, on this planner's clock, for which a lease sent now can be
// valid on a worker.
common::duration max_lease_duration(cell_settings const& settings)
{
    return settings.lease_duration * (1000 + settings.clock_drift_permille) /
               1000 +
           settings.lease_margin;
}

} // namespace

bool cell_runner::apply_event(active_attempt& run, attempt_event event)
{
    auto const next = next_phase(run.phase, event);
    if (next)
    {
        run.phase = *next;
        run.tries = 0;
        run.next_retry_at = {};
    }
    return next.has_value();
}

void cell_runner::advance_attempts(cell_context& context)
{
    if (!context.may_act)
    {
        return;
    }
    // An attempt that ends is erased from the map, so the iterator is advanced
    // first.
    for (auto next = active_attempts_.begin(); next != active_attempts_.end();)
    {
        auto const current = next++;
        advance_attempt(context, current->first, current->second);
    }
}

// A batch attempt may have finished before its lease expired. A planner that
// resumes after a pause finds all leases expired before it has received the
// reports of these ends, so it waits for a report before it counts a batch
// attempt as lost.
void cell_runner::end_attempt_after_lease_expiry(cell_context& context,
                                                 task_key const& key,
                                                 active_attempt& run)
{
    bool const awaits_report = run.part->definition.kind == job_kind::batch;
    if (awaits_report && !run.final_report_deadline)
    {
        run.final_report_deadline =
            context.now + context.settings.final_report_timeout;
    }
    if (!awaits_report || context.now >= *run.final_report_deadline)
    {
        end_attempt(context, key, attempt_outcome::lost, "its lease ran out");
    }
}

void cell_runner::advance_running_attempt(cell_context& context,
                                          task_key const& key,
                                          active_attempt& run,
                                          bool can_checkpoint)
{
    bool const evicted = !run.eviction_reason.empty();
    if (evicted && can_checkpoint && !run.unknown_to_worker &&
        apply_event(run, attempt_event::evict))
    {
        send_checkpoint(context, key, run);
    }
    else if (evicted && apply_event(run, attempt_event::stop))
    {
        send_stop(context, key, run);
    }
    else if (run.requested_speed_limit_permille != run.speed_limit_permille)
    {
        ++context.counters.throttled;
        run.call_in_flight = context.calls_to_workers.send(
            make_call_tag(worker_call_kind::throttle, cell_, key, run),
            ports::worker_throttle{make_attempt_id(key, run),
                                   run.requested_speed_limit_permille},
            context.out);
    }
}

void cell_runner::advance_attempt(cell_context& context,
                                  task_key const& key,
                                  active_attempt& run)
{
    auto const& part = *run.part;
    if (run.start_possibly_sent && context.now >= run.lease_expired_at)
    {
        end_attempt_after_lease_expiry(context, key, run);
        return;
    }
    if (part.stopped && run.eviction_reason.empty())
    {
        run.eviction_reason = "job_stopped";
    }
    if (run.call_in_flight != 0 || context.now < run.next_retry_at)
    {
        return;
    }
    bool const can_checkpoint = part.definition.kind == job_kind::batch &&
                                part.definition.checkpointable && !part.stopped;
    switch (run.phase)
    {
    case attempt_phase::starting:
        send_start(context, key, run);
        break;
    case attempt_phase::running:
        advance_running_attempt(context, key, run, can_checkpoint);
        break;
    case attempt_phase::checkpointing:
        if ((!can_checkpoint ||
             run.tries >= context.settings.checkpoint_tries) &&
            apply_event(run, attempt_event::checkpoint_impossible))
        {
            send_stop(context, key, run);
        }
        else
        {
            send_checkpoint(context, key, run);
        }
        break;
    case attempt_phase::stopping:
        send_stop(context, key, run);
        break;
    case attempt_phase::awaiting_final_report:
        if (run.final_report_deadline &&
            context.now >= *run.final_report_deadline)
        {
            end_attempt(
                context, key, attempt_outcome::stopped, run.eviction_reason);
        }
        break;
    case attempt_phase::committing_start:
    case attempt_phase::committing_checkpoint:
    case attempt_phase::complete:
        break;
    }
}

// Repeats the checks right before the start is sent: between the decision and
// its commit the data centre may have been taken out of service, the contract
// may have been withdrawn, and the membership proof may have expired.
bool cell_runner::start_allowed(cell_context& context,
                                active_attempt const& run)
{
    auto const* view = context.workers.find(run.worker);
    auto const& part = *run.part;
    return context.may_act && context.may_start && !handing_over_ &&
           !part.stopped && run.eviction_reason.empty() &&
           !data_centre_out_of_service(context) &&
           context.config.contracts.count(part.definition.customer) != 0 &&
           view != nullptr && view->listed &&
           view->info.state == ports::instance_state::live &&
           context.workers.clock_lower_bound(context.now, *view) <
               run.start_before_ms;
}

void cell_runner::send_start(cell_context& context,
                             task_key const& key,
                             active_attempt& run)
{
    if (!start_allowed(context, run))
    {
        if (!run.start_possibly_sent)
        {
            end_attempt(context,
                        key,
                        attempt_outcome::unsent,
                        "no longer allowed to start");
        }
        else if (apply_event(run, attempt_event::stop))
        {
            send_stop(context, key, run);
        }
        return;
    }
    auto const& part = log_.state().jobs.at(key.job);
    auto const& task = part.tasks.at(key.index);
    auto const clock = context.workers.clock_lower_bound(
        context.now, *context.workers.find(run.worker));
    auto const clock_after = [clock](common::duration length)
    {
        return clock +
               static_cast<std::uint64_t>(common::to_milliseconds(length));
    };
    ports::worker_start start;
    start.attempt_id = make_attempt_id(key, run);
    start.declared = part.definition.declared;
    start.task_class = part.definition.task_class;
    start.service = part.definition.kind == job_kind::service;
    start.work_ms = part.definition.work_ms;
    start.checkpoint = task.checkpoint;
    start.start_before_ms =
        std::min(run.start_before_ms,
                 clock_after(context.settings.send_window +
                             context.workers.find(run.worker)->report_lag));
    start.lease_until_ms = clock_after(context.settings.lease_duration);
    run.lease_until_ms = std::max(run.lease_until_ms, start.lease_until_ms);
    run.lease_expired_at = context.now + max_lease_duration(context.settings);
    ++run.tries;
    run.call_in_flight = context.calls_to_workers.send(
        make_call_tag(worker_call_kind::start, cell_, key, run),
        std::move(start),
        context.out);
    // The start may reach the worker from now on, whatever the reply says.
    run.start_possibly_sent = true;
}

void cell_runner::send_stop(cell_context& context,
                            task_key const& key,
                            active_attempt& run)
{
    if (!context.may_act || run.call_in_flight != 0)
    {
        return;
    }
    ++run.tries;
    run.call_in_flight = context.calls_to_workers.send(
        make_call_tag(worker_call_kind::stop, cell_, key, run),
        ports::worker_stop{make_attempt_id(key, run)},
        context.out);
}

void cell_runner::send_checkpoint(cell_context& context,
                                  task_key const& key,
                                  active_attempt& run)
{
    ++run.tries;
    run.call_in_flight = context.calls_to_workers.send(
        make_call_tag(worker_call_kind::checkpoint, cell_, key, run),
        ports::worker_checkpoint{make_attempt_id(key, run)},
        context.out);
}

// Renews all leases of a worker with one call. A lease is extended only after
// the last renewal was acknowledged: on an unreachable worker the leases must
// expire, or its services would never start elsewhere.
void cell_runner::renew_leases(cell_context& context)
{
    if (!context.may_act)
    {
        return;
    }
    std::map<std::string, std::vector<task_key>> by_worker;
    for (auto const& [key, run] : active_attempts_)
    {
        if (needs_renewal(run))
        {
            by_worker[run.worker].push_back(key);
        }
    }
    std::erase_if(renewals_,
                  [&by_worker](auto const& item)
                  {
                      return item.second.call == 0 &&
                             by_worker.count(item.first) == 0;
                  });
    for (auto const& [worker, keys] : by_worker)
    {
        auto& renewal = renewals_[worker];
        auto const* view = context.workers.find(worker);
        if (renewal.call != 0 || context.now < renewal.next ||
            view == nullptr || view->clock_ms == 0)
        {
            continue;
        }
        // All attempts of the unacknowledged renewal may have ended. Waiting
        // for its acknowledgement would then leave newer attempts without
        // renewals.
        bool const renewal_pending =
            std::any_of(keys.begin(),
                        keys.end(),
                        [&](task_key const& key)
                        {
                            return active_attempts_.at(key).lease_until_ms <=
                                   renewal.until_ms;
                        });
        bool const extends_leases = renewal.acknowledged || !renewal_pending;
        if (extends_leases)
        {
            renewal.until_ms =
                context.workers.clock_lower_bound(context.now, *view) +
                static_cast<std::uint64_t>(
                    common::to_milliseconds(context.settings.lease_duration));
        }
        ports::worker_renew call;
        call.lease_until_ms = renewal.until_ms;
        for (auto const& key : keys)
        {
            auto& run = active_attempts_.at(key);
            if (!extends_leases && run.lease_until_ms > renewal.until_ms)
            {
                continue; // A lease is never shortened.
            }
            call.attempts.push_back(make_attempt_id(key, run));
            if (extends_leases)
            {
                run.lease_until_ms =
                    std::max(run.lease_until_ms, renewal.until_ms);
                run.lease_expired_at =
                    context.now + max_lease_duration(context.settings);
                run.final_report_deadline.reset();
            }
        }
        renewal.acknowledged = false;
        renewal.next = context.now + context.settings.renew_interval;
        renewal.call = context.calls_to_workers.send(
            {worker_call_kind::renew, cell_, worker, {}, 0, 0},
            std::move(call),
            context.out);
    }
}

void cell_runner::evict(cell_context& context,
                        task_key const& key,
                        std::string why)
{
    auto& run = active_attempts_.at(key);
    if (!run.eviction_reason.empty())
    {
        return;
    }
    run.eviction_reason = std::move(why);
    queue_dirty_ = true;
    context.out.push_back(
        make_log_event(ports::severity::info,
                       "eviction",
                       {{"cell", cell_},
                        {"task", task_name(key)},
                        {"attempt", std::to_string(run.attempt)},
                        {"worker", run.worker},
                        {"why", run.eviction_reason}}));
}

// Erases the attempt. `key` may refer to the erased map entry, so a caller that
// needs the key afterwards passes a copy.
void cell_runner::end_attempt(cell_context& context,
                              task_key const& key,
                              attempt_outcome outcome,
                              std::string why)
{
    auto const found = active_attempts_.find(key);
    task_key const task = key;
    auto const run = found->second;
    active_attempts_.erase(found);
    commit(context,
           attempt_ended{task, run.attempt, outcome, std::move(why)},
           outcome != attempt_outcome::finished);
    auto& counters = context.counters;
    switch (outcome)
    {
    case attempt_outcome::finished:
        ++counters.finished;
        context.workers.record_success(run.worker);
        break;
    case attempt_outcome::failed:
        ++counters.failed;
        context.workers.record_failure(context.now, run.worker, task.job);
        handle_failure(context, task);
        break;
    case attempt_outcome::refused:
        ++counters.refused;
        break;
    case attempt_outcome::stopped:
        ++counters.stopped;
        break;
    case attempt_outcome::lost:
        ++counters.lost;
        break;
    case attempt_outcome::unsent:
        ++counters.unsent;
        break;
    }
}

// Stops a job whose tasks failed on several workers that are not themselves
// suspected of failing every attempt: the job is then the cause.
void cell_runner::handle_failure(cell_context& context, task_key const& key)
{
    auto const& part = log_.state().jobs.at(key.job);
    std::set<std::string> workers;
    for (auto const& [index, task] : part.tasks)
    {
        workers.insert(task.failed_workers.begin(), task.failed_workers.end());
    }
    auto const trusted_workers = std::count_if(
        workers.begin(),
        workers.end(),
        [&context](std::string const& worker)
        {
            return !context.workers.is_suspect(context.now, worker);
        });
    if (part.stopped ||
        trusted_workers < static_cast<std::ptrdiff_t>(
                              context.settings.failed_workers_before_stop))
    {
        return;
    }
    job_stopped const stop{
        key.job,
        common::result_code::job_failed_everywhere,
        "failed on " + std::to_string(workers.size()) +
            " workers, last: " + part.tasks.at(key.index).why};
    stop_job(context, stop.job, stop.code, stop.why);
    faulty_jobs_.push_back(stop);
}

} // namespace fuchsia::core::tasks
