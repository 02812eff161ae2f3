#include "core/tasks/cell_runner.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

constexpr common::duration job_removal_interval = std::chrono::seconds(5);
/// Maximum time between two evaluations of contracts and data centre states,
/// even if nothing changed in the cell.
constexpr common::duration usage_interval = std::chrono::milliseconds(500);

} // namespace

ports::log_event make_log_event(ports::severity level,
                                std::string name,
                                std::vector<ports::header> fields)
{
    return {level, std::move(name), std::move(fields)};
}

cell_runner::cell_runner(std::string cell,
                         std::uint64_t incarnation,
                         std::uint64_t epoch,
                         cell_log_settings settings)
    : cell_(std::move(cell)), epoch_(epoch),
      log_(cell_, incarnation, epoch, settings)
{
}

void cell_runner::start(cell_context& context)
{
    log_.start(context.calls, context.out);
}

bool cell_runner::commit(cell_context& context, change new_change, bool urgent)
{
    bool const accepted =
        log_.submit_change(context.now, std::move(new_change), urgent);
    queue_dirty_ = queue_dirty_ || accepted;
    return accepted;
}

void cell_runner::tick(cell_context& context)
{
    if (log_.active() && !attempts_restored_)
    {
        restore_attempts(context);
    }
    if (attempts_restored_ && !log_.ownership_lost())
    {
        process_commits(context);
        advance_attempts(context);
        renew_leases(context);
        if (queue_dirty_ || context.now >= next_usage_computation_)
        {
            next_usage_computation_ = context.now + usage_interval;
            queue_dirty_ = false;
            rebuild_queue(context);
            compute_usage(context);
            enforce_contracts(context);
            drain_data_centre(context);
            publish_load(context);
        }
        if (!handing_over_)
        {
            place(context);
            move_tasks(context);
        }
        send_messages(context);
        erase_inbox(context);
        remove_expired_jobs(context);
    }
    log_.tick(context.now, context.calls, context.out);
}

// Restores every committed attempt as running. The previous owner sent its
// lease before its membership proof expired, hence before now, and for at most
// one lease duration. The next renewal, a report or the expiry of that time
// shows whether the attempt runs.
void cell_runner::restore_attempts(cell_context& context)
{
    attempts_restored_ = true;
    ++context.counters.takeovers;
    auto const lease = context.settings.lease_duration *
                       (1000 + context.settings.clock_drift_permille) / 1000;
    for (auto const& [id, part] : log_.state().jobs)
    {
        for (auto const& [index, task] : part.tasks)
        {
            if (task.status != task_status::started)
            {
                continue;
            }
            auto& run = active_attempts_[{id, index}];
            run.attempt = task.attempt;
            run.worker = task.worker;
            run.part = &part;
            run.phase = attempt_phase::running;
            run.start_before_ms = task.start_before_ms;
            run.lease_until_ms = task.lease_until_ms;
            run.lease_expired_at =
                context.now + lease + context.settings.lease_margin;
            run.start_possibly_sent = true;
            if (part.definition.kind == job_kind::batch)
            {
                // The attempt may be throttled. The latency guard raises the
                // limit again.
                run.speed_limit_permille =
                    context.settings.guard.min_cpu_permille;
                run.requested_speed_limit_permille = run.speed_limit_permille;
            }
        }
    }
    for (auto const& [name, transfer] : log_.state().outgoing)
    {
        ready_to_send_.insert(name);
    }
    queue_dirty_ = true;
    context.out.push_back(make_log_event(
        ports::severity::info,
        "cell_taken_over",
        {{"cell", cell_},
         {"epoch", std::to_string(epoch_)},
         {"jobs", std::to_string(log_.state().jobs.size())},
         {"attempts", std::to_string(active_attempts_.size())}}));
}

void cell_runner::process_commits(cell_context& context)
{
    for (auto const& item : log_.take_committed())
    {
        if (auto const* accepted = std::get_if<message_accepted>(&item))
        {
            messages_being_accepted_.erase(accepted->message.name);
        }
        else if (auto const* transfer = std::get_if<transfer_started>(&item))
        {
            ready_to_send_.insert(transfer->message_name);
        }
        else if (auto const* started = std::get_if<attempt_started>(&item))
        {
            auto const found = active_attempts_.find(started->task);
            if (found != active_attempts_.end() &&
                found->second.attempt == started->attempt &&
                apply_event(found->second, attempt_event::start_committed))
            {
                send_start(context, started->task, found->second);
            }
        }
        else if (auto const* checkpoint = std::get_if<checkpoint_taken>(&item))
        {
            auto const found = active_attempts_.find(checkpoint->task);
            if (found != active_attempts_.end() &&
                found->second.attempt == checkpoint->attempt &&
                apply_event(found->second, attempt_event::checkpoint_committed))
            {
                send_stop(context, checkpoint->task, found->second);
            }
        }
    }
}

void cell_runner::stop_job(cell_context& context,
                           std::string const& job,
                           common::result_code code,
                           std::string const& why)
{
    if (!attempts_restored_ || log_.ownership_lost())
    {
        return;
    }
    auto const part = log_.state().jobs.find(job);
    if (part != log_.state().jobs.end() && !part->second.ended() &&
        commit(context, job_stopped{job, code, why}, false))
    {
        context.out.push_back(make_log_event(
            ports::severity::info,
            "job_stopped",
            {{"cell", cell_},
             {"job", job},
             {"code", std::to_string(static_cast<std::uint16_t>(code))},
             {"why", why}}));
    }
}

void cell_runner::remove_expired_jobs(cell_context& context)
{
    if (context.now < next_job_removal_)
    {
        return;
    }
    next_job_removal_ = context.now + job_removal_interval;
    std::vector<std::string> expired;
    bool const near_job_limit =
        log_.state().jobs.size() >= context.settings.max_jobs * 9 / 10;
    for (auto const& [id, part] : log_.state().jobs)
    {
        if (!part.ended())
        {
            job_end_seen_at_.erase(id);
            continue;
        }
        auto const since =
            job_end_seen_at_.try_emplace(id, context.now).first->second;
        auto const retention_time = near_job_limit
                                        ? context.settings.retention / 10
                                        : context.settings.retention;
        if (context.now - since >= retention_time)
        {
            expired.push_back(id);
        }
    }
    for (auto const& id : expired)
    {
        job_end_seen_at_.erase(id);
        commit(context, job_removed{id}, false);
    }
}

void cell_runner::publish_load(cell_context& context)
{
    cell_load load;
    std::map<std::string_view, ports::resources> free;
    for (auto const& id : context.workers.in_rack(cell_))
    {
        auto const* view = context.workers.find(id);
        if (context.workers.may_start(context.now, *view))
        {
            free.emplace(view->info.id, view->info.capacity);
        }
    }
    for (auto const& [key, run] : active_attempts_)
    {
        auto const found = free.find(run.worker);
        if (found != free.end())
        {
            found->second -= run.part->definition.declared;
        }
    }
    for (auto const& [worker, capacity] : free)
    {
        load.free += capacity;
        if (capacity.millicores > load.largest_free.millicores)
        {
            load.largest_free = capacity;
        }
    }
    for (auto const& task : queue_)
    {
        load.queued_millicores +=
            log_.state().jobs.at(task.key.job).definition.declared.millicores;
    }
    load.queued_tasks = static_cast<std::int64_t>(queue_.size());
    load.running_tasks = static_cast<std::int64_t>(active_attempts_.size());
    load.ended_jobs = static_cast<std::int64_t>(job_end_seen_at_.size());
    load.live_jobs =
        static_cast<std::int64_t>(log_.state().jobs.size()) - load.ended_jobs;
    context.loads.set_own(cell_, load);
}

bool cell_runner::data_centre_out_of_service(cell_context const& context) const
{
    auto const name = context.workers.data_centre_of(cell_);
    return context.config.data_centres_out_of_service.count(name) != 0;
}

void cell_runner::begin_handover() noexcept
{
    handing_over_ = true;
}

bool cell_runner::handing_over() const noexcept
{
    return handing_over_;
}

bool cell_runner::idle() const noexcept
{
    bool const start_in_progress = std::any_of(
        active_attempts_.begin(),
        active_attempts_.end(),
        [](auto const& item)
        {
            return item.second.phase == attempt_phase::committing_start ||
                   (item.second.phase == attempt_phase::starting &&
                    item.second.call_in_flight != 0);
        });
    return log_.idle() && !start_in_progress && inbox_write_calls_.empty() &&
           inbox_erase_calls_.empty();
}

bool cell_runner::active() const noexcept
{
    return attempts_restored_ && !log_.ownership_lost();
}

bool cell_runner::ownership_lost() const noexcept
{
    return log_.ownership_lost();
}

std::uint64_t cell_runner::epoch() const noexcept
{
    return epoch_;
}

std::string const& cell_runner::name() const noexcept
{
    return cell_;
}

cell_state const& cell_runner::state() const noexcept
{
    return log_.state();
}

std::map<task_key, active_attempt> const&
cell_runner::active_attempts() const noexcept
{
    return active_attempts_;
}

cell_counts cell_runner::counts() const
{
    cell_counts out;
    out.queued = queue_.size();
    out.running = active_attempts_.size();
    out.jobs = log_.state().jobs.size();
    out.ended = job_end_seen_at_.size();
    return out;
}

std::vector<job_stopped> cell_runner::take_faulty_jobs()
{
    return std::exchange(faulty_jobs_, {});
}

} // namespace fuchsia::core::tasks
