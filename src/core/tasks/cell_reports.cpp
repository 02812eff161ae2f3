#include "core/tasks/cell_runner.hpp"

#include <algorithm>
#include <utility>

// Evaluation of worker reports: ends of attempts, resource usage, interference.
namespace fuchsia::core::tasks
{

namespace
{

/// Number of reports of a running attempt after which its worker counts as
/// healthy.
constexpr std::uint32_t reports_to_prove = 3;
/// Share of a worker's memory in use beyond which the batch attempt that
/// exceeds its declared memory most is evicted.
constexpr std::int64_t memory_limit_permille = 980;

double share(ports::resources const& used, ports::resources const& capacity)
{
    return capacity.millicores == 0
               ? 0
               : static_cast<double>(used.millicores) /
                     static_cast<double>(capacity.millicores);
}

} // namespace

void cell_runner::on_report(cell_context& context,
                            ports::worker_report const& report)
{
    if (!attempts_restored_ || log_.ownership_lost())
    {
        return;
    }
    for (auto const& reported : report.attempts)
    {
        on_attempt_report(context, report, reported);
    }
    end_unreported_attempts(context, report);
    auto const* view = context.workers.find(report.worker);
    auto const listed_attempts = reported_attempts(report.worker);
    check_memory_use(context, *view, listed_attempts);
    update_interference_estimates(context, *view, listed_attempts);
    protect_service_latency(context, *view, listed_attempts);
}

void cell_runner::on_attempt_report(cell_context& context,
                                    ports::worker_report const& report,
                                    ports::attempt_report const& reported)
{
    auto const key = parse_task_name(reported.attempt_id.task);
    if (!key)
    {
        return;
    }
    auto const found = active_attempts_.find(*key);
    bool const running = reported.state == ports::attempt_state::running;
    if (found == active_attempts_.end() ||
        found->second.attempt != reported.attempt_id.attempt ||
        found->second.worker != report.worker)
    {
        auto const* task = log_.state().find(*key);
        // The attempt has ended in the log but runs according to the report:
        // its lease counted as expired while the worker was unreachable.
        bool const over =
            task == nullptr || reported.attempt_id.attempt <= task->attempt;
        if (running && over && context.may_act)
        {
            context.calls_to_workers.send(
                {worker_call_kind::stray_stop,
                 cell_,
                 report.worker,
                 *key,
                 reported.attempt_id.attempt,
                 0},
                ports::worker_stop{reported.attempt_id},
                context.out);
        }
        return;
    }
    auto& run = found->second;
    if (run.phase == attempt_phase::committing_start)
    {
        return;
    }
    switch (reported.state)
    {
    case ports::attempt_state::running:
        apply_event(run, attempt_event::running_observed);
        run.used = reported.used;
        run.latency_p99_us = reported.latency_p99_us;
        if (++run.report_count == reports_to_prove)
        {
            context.workers.record_success(run.worker);
        }
        break;
    case ports::attempt_state::finished:
        end_attempt(context, *key, attempt_outcome::finished, reported.reason);
        break;
    case ports::attempt_state::failed:
        end_attempt(context, *key, attempt_outcome::failed, reported.reason);
        break;
    case ports::attempt_state::stopped:
        end_attempt(
            context, *key, attempt_outcome::stopped, run.eviction_reason);
        break;
    case ports::attempt_state::lease_expired:
        end_attempt(context, *key, attempt_outcome::lost, "its lease ran out");
        break;
    }
}

// Ends the attempts that a report does not list although it was made after the
// last moment at which their start could be accepted: they neither run nor will
// run.
void cell_runner::end_unreported_attempts(cell_context& context,
                                          ports::worker_report const& report)
{
    std::vector<std::pair<task_key, attempt_phase>> absent;
    for (auto const& [key, run] : active_attempts_)
    {
        if (run.worker != report.worker ||
            run.phase == attempt_phase::committing_start ||
            report.clock_ms < run.start_before_ms)
        {
            continue;
        }
        ports::task_attempt const attempt_id{task_name(key), run.attempt};
        bool const listed =
            std::any_of(report.attempts.begin(),
                        report.attempts.end(),
                        [&attempt_id](ports::attempt_report const& reported)
                        {
                            return reported.attempt_id == attempt_id;
                        });
        if (!listed)
        {
            absent.emplace_back(key, run.phase);
        }
    }
    for (auto const& [key, phase] : absent)
    {
        bool const stopped = phase == attempt_phase::awaiting_final_report ||
                             phase == attempt_phase::stopping;
        end_attempt(context,
                    key,
                    stopped ? attempt_outcome::stopped : attempt_outcome::lost,
                    "not on its worker");
    }
}

std::vector<cell_runner::reported_attempt>
cell_runner::reported_attempts(std::string const& worker)
{
    std::vector<reported_attempt> out;
    for (auto& [key, run] : active_attempts_)
    {
        if (run.worker == worker && run.report_count != 0)
        {
            out.push_back({&key, &run});
        }
    }
    return out;
}

void cell_runner::check_memory_use(
    cell_context& context,
    worker_view const& worker,
    std::vector<reported_attempt> const& listed_attempts)
{
    std::int64_t used = 0;
    std::int64_t over = 0;
    std::int64_t most = 0;
    task_key const* worst = nullptr;
    for (auto const& [key, run] : listed_attempts)
    {
        auto const& definition = run->part->definition;
        auto const excess = run->used.memory_mb - definition.declared.memory_mb;
        used += run->used.memory_mb;
        over += std::max<std::int64_t>(0, excess);
        if (definition.kind == job_kind::batch && excess > most &&
            run->eviction_reason.empty())
        {
            most = excess;
            worst = key;
        }
    }
    context.workers.set_memory_over_declared(worker.info.id, over);
    if (worst != nullptr &&
        used * 1000 > worker.info.capacity.memory_mb * memory_limit_permille)
    {
        ++context.counters.evicted_memory;
        evict(context, *worst, "memory_pressure");
    }
}

void cell_runner::update_interference_estimates(
    cell_context& context,
    worker_view const& worker,
    std::vector<reported_attempt> const& listed_attempts)
{
    std::vector<placement::neighbour> all;
    all.reserve(listed_attempts.size());
    for (auto const& [key, run] : listed_attempts)
    {
        all.push_back({context.interference_estimates.class_index(
                           run->part->definition.task_class),
                       share(run->used, worker.info.capacity)});
    }
    for (std::size_t self = 0; self < listed_attempts.size(); ++self)
    {
        auto const& run = *listed_attempts[self].run;
        if (run.part->definition.kind != job_kind::service ||
            run.latency_p99_us == 0)
        {
            continue;
        }
        auto beside = all;
        beside.erase(beside.begin() + static_cast<std::ptrdiff_t>(self));
        auto const victim = all[self].task_class;
        context.interference_estimates.record_slowdown(
            victim,
            beside,
            context.interference_estimates.record_latency(victim,
                                                          run.latency_p99_us));
    }
}

void cell_runner::protect_service_latency(
    cell_context& context,
    worker_view const& worker,
    std::vector<reported_attempt> const& listed_attempts)
{
    std::vector<placement::guarded_service> services;
    std::vector<placement::guarded_task> batch;
    for (auto const& [key, run] : listed_attempts)
    {
        auto const& definition = run->part->definition;
        if (run->phase != attempt_phase::running ||
            !run->eviction_reason.empty())
        {
            continue;
        }
        auto const number =
            context.interference_estimates.class_index(definition.task_class);
        if (definition.kind == job_kind::batch)
        {
            batch.push_back({task_name(*key),
                             number,
                             share(run->used, worker.info.capacity),
                             run->speed_limit_permille});
            continue;
        }
        auto const contract =
            context.config.contracts.find(definition.customer);
        if (contract != context.config.contracts.end())
        {
            services.push_back({number,
                                run->latency_p99_us,
                                static_cast<std::uint64_t>(
                                    contract->second.latency_target.count())});
        }
    }
    auto& guard =
        latency_guards_.try_emplace(worker.info.id, context.settings.guard)
            .first->second;
    auto const wanted =
        guard.on_report(services, batch, context.interference_estimates);
    auto const key = wanted ? parse_task_name(wanted->task) : std::nullopt;
    if (!key)
    {
        return;
    }
    if (wanted->action == placement::guard_action::evict)
    {
        ++context.counters.evicted_guard;
        evict(context, *key, "guard");
        return;
    }
    active_attempts_.at(*key).requested_speed_limit_permille =
        wanted->cpu_limit_permille;
}

} // namespace fuchsia::core::tasks
