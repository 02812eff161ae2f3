#include "core/tasks/cell_runner.hpp"

// Handles the workers' replies to calls about attempts.
namespace fuchsia::core::tasks
{

void cell_runner::on_worker_reply(cell_context& context,
                                  worker_call_tag const& tag,
                                  ports::worker_reply const& reply)
{
    if (tag.kind == worker_call_kind::renew)
    {
        on_renew_reply(context, tag, reply);
        return;
    }
    auto const found = active_attempts_.find(tag.task);
    if (tag.kind == worker_call_kind::stray_stop ||
        found == active_attempts_.end() ||
        found->second.call_in_flight != tag.number)
    {
        return;
    }
    auto& run = found->second;
    run.call_in_flight = 0;
    run.next_retry_at = context.now + context.settings.retry_interval;
    switch (tag.kind)
    {
    case worker_call_kind::start:
        on_start_reply(context, tag.task, run, reply);
        break;
    case worker_call_kind::stop:
        on_stop_reply(context, tag.task, run, reply);
        break;
    case worker_call_kind::checkpoint:
        on_checkpoint_reply(context, tag.task, run, reply);
        break;
    case worker_call_kind::throttle:
        if (reply.status == ports::worker_status::done)
        {
            run.speed_limit_permille = run.requested_speed_limit_permille;
        }
        else if (reply.status == ports::worker_status::refused)
        {
            run.requested_speed_limit_permille = run.speed_limit_permille;
        }
        break;
    case worker_call_kind::renew:
    case worker_call_kind::stray_stop:
        break;
    }
}

void cell_runner::on_start_reply(cell_context& context,
                                 task_key const& key,
                                 active_attempt& run,
                                 ports::worker_reply const& reply)
{
    if (run.phase != attempt_phase::starting)
    {
        return; // A report arrived before the reply.
    }
    switch (reply.status)
    {
    case ports::worker_status::done:
        apply_event(run, attempt_event::running_observed);
        context.workers.record_acceptance(run.worker);
        ++context.counters.started;
        if (!log_.state().find(key)->checkpoint.empty())
        {
            ++context.counters.resumed;
        }
        break;
    case ports::worker_status::refused:
        // If a retried start is refused, the worker may still have accepted the
        // first start: the retry may have arrived after the start window, or
        // the attempt may have ended already.
        if (run.tries > 1)
        {
            apply_event(run, attempt_event::stop);
            send_stop(context, key, run);
            return;
        }
        context.workers.record_refusal(context.now, run.worker);
        end_attempt(context, key, attempt_outcome::refused, reply.reason);
        break;
    case ports::worker_status::unreachable:
        // If the only start call was never sent, no start can have reached the
        // worker.
        if (run.tries == 1)
        {
            run.start_possibly_sent = false;
            run.tries = 0;
        }
        break;
    case ports::worker_status::unclear:
        break;
    }
}

void cell_runner::on_stop_reply(cell_context& context,
                                task_key const& key,
                                active_attempt& run,
                                ports::worker_reply const& reply)
{
    bool const no_longer_runs = reply.status == ports::worker_status::done ||
                                reply.status == ports::worker_status::refused;
    if (run.phase != attempt_phase::stopping || !no_longer_runs)
    {
        return;
    }
    auto const& part = *run.part;
    if (part.definition.kind == job_kind::service || part.stopped)
    {
        end_attempt(
            context, key, attempt_outcome::stopped, run.eviction_reason);
        return;
    }
    // The attempt may have finished before the stop arrived, and running the
    // task again would do the work twice. A report of the worker shows
    // whether it finished or was stopped.
    if (apply_event(run, attempt_event::stop_confirmed))
    {
        run.final_report_deadline =
            context.now + context.settings.final_report_timeout;
    }
}

void cell_runner::on_checkpoint_reply(cell_context& context,
                                      task_key const& key,
                                      active_attempt& run,
                                      ports::worker_reply const& reply)
{
    if (run.phase != attempt_phase::checkpointing)
    {
        return;
    }
    if (reply.status == ports::worker_status::done && !reply.checkpoint.empty())
    {
        if (apply_event(run, attempt_event::checkpoint_made))
        {
            commit(context,
                   checkpoint_taken{key, run.attempt, reply.checkpoint},
                   true);
        }
    }
    else if (reply.status == ports::worker_status::done ||
             reply.status == ports::worker_status::refused)
    {
        if (apply_event(run, attempt_event::checkpoint_impossible))
        {
            send_stop(context, key, run);
        }
    }
}

void cell_runner::on_renew_reply(cell_context& context,
                                 worker_call_tag const& tag,
                                 ports::worker_reply const& reply)
{
    auto const found = renewals_.find(tag.worker);
    if (found == renewals_.end() || found->second.call != tag.number)
    {
        return;
    }
    found->second.call = 0;
    if (reply.status != ports::worker_status::done)
    {
        found->second.next = context.now + context.settings.retry_interval;
        return;
    }
    found->second.acknowledged = true;
    for (auto const& unknown : reply.unknown_attempts)
    {
        auto const key = parse_task_name(unknown.task);
        auto const run =
            key ? active_attempts_.find(*key) : active_attempts_.end();
        if (run != active_attempts_.end() &&
            run->second.attempt == unknown.attempt)
        {
            // A report shows how the attempt ended. If none arrives, the
            // attempt ends after its lease has expired.
            run->second.unknown_to_worker = true;
        }
    }
}

} // namespace fuchsia::core::tasks
