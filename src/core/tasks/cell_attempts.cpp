#include "core/tasks/cell_runner.hpp"

#include <algorithm>
#include <set>
#include <utility>

// One attempt's life: told to its worker, kept by renewals, checkpointed,
// stopped, ended.
namespace fuchsia::core::tasks
{

namespace
{

worker_call_tag tag_of(worker_call_kind kind,
                       std::string const& cell,
                       task_key const& key,
                       active_attempt const& run)
{
    return {kind, cell, run.worker, key, run.attempt, 0};
}

ports::task_attempt attempt_of(task_key const& key, active_attempt const& run)
{
    return {task_name(key), run.attempt};
}

bool is_renewed(active_attempt const& run)
{
    return !run.unknown_to_worker &&
           (run.phase == attempt_phase::running ||
            run.phase == attempt_phase::checkpointing ||
            run.phase == attempt_phase::committing_checkpoint);
}

// How long a lease sent now may stand, on our clock.
common::duration longest_lease(cell_settings const& settings)
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

void cell_runner::advance_attempts(cell_context& with)
{
    if (!with.may_act)
    {
        return;
    }
    // An attempt that ends is taken out of the map; the next one stays valid.
    for (auto next = active_attempts_.begin(); next != active_attempts_.end();)
    {
        auto const current = next++;
        advance_attempt(with, current->first, current->second);
    }
}

// Batch may have finished before its lease ran out, while nobody looked: a
// planner that wakes from a pause finds all leases over, and the reports that
// tell of it have yet to come.
void cell_runner::end_expired(cell_context& with,
                              task_key const& key,
                              active_attempt& run)
{
    bool const waits = run.part->definition.kind == job_kind::batch;
    if (waits && !run.final_report_deadline)
    {
        run.final_report_deadline =
            with.now + with.settings.final_report_timeout;
    }
    if (!waits || with.now >= *run.final_report_deadline)
    {
        end_attempt(with, key, attempt_outcome::lost, "its lease ran out");
    }
}

void cell_runner::advance_running_attempt(cell_context& with,
                                          task_key const& key,
                                          active_attempt& run,
                                          bool saves)
{
    bool const evicted = !run.eviction_reason.empty();
    if (evicted && saves && !run.unknown_to_worker &&
        apply_event(run, attempt_event::evict))
    {
        send_checkpoint(with, key, run);
    }
    else if (evicted && apply_event(run, attempt_event::stop))
    {
        send_stop(with, key, run);
    }
    else if (run.requested_speed_limit_permille != run.speed_limit_permille)
    {
        ++with.counters.throttled;
        run.call_in_flight = with.calls_to_workers.send(
            tag_of(worker_call_kind::throttle, cell_, key, run),
            ports::worker_throttle{attempt_of(key, run),
                                   run.requested_speed_limit_permille},
            with.out);
    }
}

void cell_runner::advance_attempt(cell_context& with,
                                  task_key const& key,
                                  active_attempt& run)
{
    auto const& part = *run.part;
    if (run.start_possibly_sent && with.now >= run.lease_expired_at)
    {
        end_expired(with, key, run);
        return;
    }
    if (part.stopped && run.eviction_reason.empty())
    {
        run.eviction_reason = "job_stopped";
    }
    if (run.call_in_flight != 0 || with.now < run.next_retry_at)
    {
        return;
    }
    bool const saves = part.definition.kind == job_kind::batch &&
                       part.definition.checkpointable && !part.stopped;
    switch (run.phase)
    {
    case attempt_phase::starting:
        send_start(with, key, run);
        break;
    case attempt_phase::running:
        advance_running_attempt(with, key, run, saves);
        break;
    case attempt_phase::checkpointing:
        if ((!saves || run.tries >= with.settings.checkpoint_tries) &&
            apply_event(run, attempt_event::checkpoint_impossible))
        {
            send_stop(with, key, run);
        }
        else
        {
            send_checkpoint(with, key, run);
        }
        break;
    case attempt_phase::stopping:
        send_stop(with, key, run);
        break;
    case attempt_phase::awaiting_final_report:
        if (run.final_report_deadline && with.now >= *run.final_report_deadline)
        {
            end_attempt(
                with, key, attempt_outcome::stopped, run.eviction_reason);
        }
        break;
    case attempt_phase::committing_start:
    case attempt_phase::committing_checkpoint:
    case attempt_phase::complete:
        break;
    }
}

// Asked again right before the worker is told: between the decision and its
// commit the data centre may have gone out, the contract may have been
// withdrawn, and the proof may have run out.
bool cell_runner::start_allowed(cell_context& with, active_attempt const& run)
{
    auto const* view = with.workers.find(run.worker);
    auto const& part = *run.part;
    return with.may_act && with.may_start && !handing_over_ && !part.stopped &&
           run.eviction_reason.empty() && !data_centre_out(with) &&
           with.config.contracts.count(part.definition.customer) != 0 &&
           view != nullptr && view->listed &&
           view->info.state == ports::instance_state::live &&
           with.workers.clock_lower_bound(with.now, *view) <
               run.start_before_ms;
}

void cell_runner::send_start(cell_context& with,
                             task_key const& key,
                             active_attempt& run)
{
    if (!start_allowed(with, run))
    {
        if (!run.start_possibly_sent)
        {
            end_attempt(with,
                        key,
                        attempt_outcome::unsent,
                        "no longer allowed to start");
        }
        else if (apply_event(run, attempt_event::stop))
        {
            send_stop(with, key, run);
        }
        return;
    }
    auto const& part = log_.state().jobs.at(key.job);
    auto const& task = part.tasks.at(key.index);
    auto const clock = with.workers.clock_lower_bound(
        with.now, *with.workers.find(run.worker));
    auto const in = [clock](common::duration length)
    {
        return clock +
               static_cast<std::uint64_t>(common::to_milliseconds(length));
    };
    ports::worker_start start;
    start.attempt_id = attempt_of(key, run);
    start.declared = part.definition.declared;
    start.task_class = part.definition.task_class;
    start.service = part.definition.kind == job_kind::service;
    start.work_ms = part.definition.work_ms;
    start.checkpoint = task.checkpoint;
    start.start_before_ms =
        std::min(run.start_before_ms,
                 in(with.settings.send_window +
                    with.workers.find(run.worker)->report_lag));
    start.lease_until_ms = in(with.settings.lease_duration);
    run.lease_until_ms = std::max(run.lease_until_ms, start.lease_until_ms);
    run.lease_expired_at = with.now + longest_lease(with.settings);
    ++run.tries;
    run.call_in_flight = with.calls_to_workers.send(
        tag_of(worker_call_kind::start, cell_, key, run),
        std::move(start),
        with.out);
    // From here on the start may arrive, whatever the answer says.
    run.start_possibly_sent = true;
}

void cell_runner::send_stop(cell_context& with,
                            task_key const& key,
                            active_attempt& run)
{
    if (!with.may_act || run.call_in_flight != 0)
    {
        return;
    }
    ++run.tries;
    run.call_in_flight = with.calls_to_workers.send(
        tag_of(worker_call_kind::stop, cell_, key, run),
        ports::worker_stop{attempt_of(key, run)},
        with.out);
}

void cell_runner::send_checkpoint(cell_context& with,
                                  task_key const& key,
                                  active_attempt& run)
{
    ++run.tries;
    run.call_in_flight = with.calls_to_workers.send(
        tag_of(worker_call_kind::checkpoint, cell_, key, run),
        ports::worker_checkpoint{attempt_of(key, run)},
        with.out);
}

// One call per worker renews all its leases. A lease is made longer only
// after the last renewal was acknowledged: on a worker that can't be reached
// the leases must run out, or its services would never start elsewhere.
void cell_runner::renew_leases(cell_context& with)
{
    if (!with.may_act)
    {
        return;
    }
    std::map<std::string, std::vector<task_key>> by_worker;
    for (auto const& [key, run] : active_attempts_)
    {
        if (is_renewed(run))
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
        auto const* view = with.workers.find(worker);
        if (renewal.call != 0 || with.now < renewal.next || view == nullptr ||
            view->clock_ms == 0)
        {
            continue;
        }
        // The attempts whose renewal was not acknowledged may all have ended;
        // waiting for it would then leave newer ones without renewals.
        bool const owed =
            std::any_of(keys.begin(),
                        keys.end(),
                        [&](task_key const& key)
                        {
                            return active_attempts_.at(key).lease_until_ms <=
                                   renewal.until_ms;
                        });
        bool const longer = renewal.acknowledged || !owed;
        if (longer)
        {
            renewal.until_ms =
                with.workers.clock_lower_bound(with.now, *view) +
                static_cast<std::uint64_t>(
                    common::to_milliseconds(with.settings.lease_duration));
        }
        ports::worker_renew call;
        call.lease_until_ms = renewal.until_ms;
        for (auto const& key : keys)
        {
            auto& run = active_attempts_.at(key);
            if (!longer && run.lease_until_ms > renewal.until_ms)
            {
                continue; // Never shorten a lease.
            }
            call.attempts.push_back(attempt_of(key, run));
            if (longer)
            {
                run.lease_until_ms =
                    std::max(run.lease_until_ms, renewal.until_ms);
                run.lease_expired_at = with.now + longest_lease(with.settings);
                run.final_report_deadline.reset();
            }
        }
        renewal.acknowledged = false;
        renewal.next = with.now + with.settings.renew_interval;
        renewal.call = with.calls_to_workers.send(
            {worker_call_kind::renew, cell_, worker, {}, 0, 0},
            std::move(call),
            with.out);
    }
}

void cell_runner::evict(cell_context& with,
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
    with.out.push_back(make_log_event(ports::severity::info,
                                      "eviction",
                                      {{"cell", cell_},
                                       {"task", task_name(key)},
                                       {"attempt", std::to_string(run.attempt)},
                                       {"worker", run.worker},
                                       {"why", run.eviction_reason}}));
}

// `key` is a copy wherever the caller still needs it: the run is erased.
void cell_runner::end_attempt(cell_context& with,
                              task_key const& key,
                              attempt_outcome how,
                              std::string why)
{
    auto const found = active_attempts_.find(key);
    task_key const task = key;
    auto const run = found->second;
    active_attempts_.erase(found);
    commit(with,
           attempt_ended{task, run.attempt, how, std::move(why)},
           how != attempt_outcome::finished);
    auto& counters = with.counters;
    switch (how)
    {
    case attempt_outcome::finished:
        ++counters.finished;
        with.workers.record_success(run.worker);
        break;
    case attempt_outcome::failed:
        ++counters.failed;
        with.workers.record_failure(with.now, run.worker, task.job);
        handle_failure(with, task);
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

// A job whose tasks fail on several workers, none of which is known to fail
// whatever it starts, is at fault itself.
void cell_runner::handle_failure(cell_context& with, task_key const& key)
{
    auto const& part = log_.state().jobs.at(key.job);
    std::set<std::string> workers;
    for (auto const& [index, task] : part.tasks)
    {
        workers.insert(task.failed_workers.begin(), task.failed_workers.end());
    }
    auto const at_fault =
        std::count_if(workers.begin(),
                      workers.end(),
                      [&with](std::string const& worker)
                      {
                          return !with.workers.suspect(with.now, worker);
                      });
    if (part.stopped ||
        at_fault < static_cast<std::ptrdiff_t>(
                       with.settings.failed_workers_before_stop))
    {
        return;
    }
    job_stopped const stop{
        key.job,
        common::result_code::job_failed_everywhere,
        "failed on " + std::to_string(workers.size()) +
            " workers, last: " + part.tasks.at(key.index).why};
    stop_job(with, stop.job, stop.code, stop.why);
    faulty_jobs_.push_back(stop);
}

} // namespace fuchsia::core::tasks
