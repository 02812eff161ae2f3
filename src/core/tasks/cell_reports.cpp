#include "core/tasks/cell_runner.hpp"

#include <algorithm>
#include <utility>

// What a worker's report tells: ends of attempts, usage, interference.
namespace fuchsia::core::tasks
{

namespace
{

/// Reports of a running attempt before its worker counts as able to run.
constexpr std::uint32_t reports_to_prove = 3;
/// Memory in use on a worker beyond which the largest overdraft is evicted.
constexpr std::int64_t memory_limit_permille = 980;

double share(ports::resources const& used, ports::resources const& capacity)
{
    return capacity.millicores == 0
               ? 0
               : static_cast<double>(used.millicores) /
                     static_cast<double>(capacity.millicores);
}

} // namespace

void cell_runner::on_report(cell_context& with,
                            ports::worker_report const& report)
{
    if (!attempts_restored_ || log_.ownership_lost())
    {
        return;
    }
    for (auto const& said : report.attempts)
    {
        on_attempt_report(with, report, said);
    }
    end_absent(with, report);
    auto const* view = with.workers.find(report.worker);
    auto const present = reported_attempts(report.worker);
    check_memory_use(with, *view, present);
    learn_interference(with, *view, present);
    guard_services(with, *view, present);
}

void cell_runner::on_attempt_report(cell_context& with,
                                    ports::worker_report const& report,
                                    ports::attempt_report const& said)
{
    auto const key = parse_task_name(said.attempt_id.task);
    if (!key)
    {
        return;
    }
    auto const found = active_attempts_.find(*key);
    bool const running = said.state == ports::attempt_state::running;
    if (found == active_attempts_.end() ||
        found->second.attempt != said.attempt_id.attempt ||
        found->second.worker != report.worker)
    {
        auto const* task = log_.state().find(*key);
        // Over by the log, and running by a report: an attempt whose lease
        // counted as run out on a worker that could not be reached.
        bool const over =
            task == nullptr || said.attempt_id.attempt <= task->attempt;
        if (running && over && with.may_act)
        {
            with.calls_to_workers.send({worker_call_kind::stray_stop,
                                        cell_,
                                        report.worker,
                                        *key,
                                        said.attempt_id.attempt,
                                        0},
                                       ports::worker_stop{said.attempt_id},
                                       with.out);
        }
        return;
    }
    auto& run = found->second;
    if (run.phase == attempt_phase::committing_start)
    {
        return;
    }
    switch (said.state)
    {
    case ports::attempt_state::running:
        apply_event(run, attempt_event::running_observed);
        run.used = said.used;
        run.latency_p99_us = said.latency_p99_us;
        if (++run.report_count == reports_to_prove)
        {
            with.workers.record_success(run.worker);
        }
        break;
    case ports::attempt_state::finished:
        end_attempt(with, *key, attempt_outcome::finished, said.reason);
        break;
    case ports::attempt_state::failed:
        end_attempt(with, *key, attempt_outcome::failed, said.reason);
        break;
    case ports::attempt_state::stopped:
        end_attempt(with, *key, attempt_outcome::stopped, run.eviction_reason);
        break;
    case ports::attempt_state::lease_expired:
        end_attempt(with, *key, attempt_outcome::lost, "its lease ran out");
        break;
    }
}

// A report made after the last moment at which the start could be taken, and
// that does not list the attempt, shows that it neither runs nor will.
void cell_runner::end_absent(cell_context& with,
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
        ports::task_attempt const what{task_name(key), run.attempt};
        bool const listed =
            std::any_of(report.attempts.begin(),
                        report.attempts.end(),
                        [&what](ports::attempt_report const& said)
                        {
                            return said.attempt_id == what;
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
        end_attempt(with,
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

void cell_runner::check_memory_use(cell_context& with,
                                   worker_view const& on,
                                   std::vector<reported_attempt> const& present)
{
    std::int64_t used = 0;
    std::int64_t over = 0;
    std::int64_t most = 0;
    task_key const* worst = nullptr;
    for (auto const& [key, run] : present)
    {
        auto const& what = run->part->definition;
        auto const excess = run->used.memory_mb - what.declared.memory_mb;
        used += run->used.memory_mb;
        over += std::max<std::int64_t>(0, excess);
        if (what.kind == job_kind::batch && excess > most &&
            run->eviction_reason.empty())
        {
            most = excess;
            worst = key;
        }
    }
    with.workers.set_memory_over_declared(on.info.id, over);
    if (worst != nullptr &&
        used * 1000 > on.info.capacity.memory_mb * memory_limit_permille)
    {
        ++with.counters.evicted_memory;
        evict(with, *worst, "memory_pressure");
    }
}

void cell_runner::learn_interference(
    cell_context& with,
    worker_view const& on,
    std::vector<reported_attempt> const& present)
{
    std::vector<placement::neighbour> all;
    all.reserve(present.size());
    for (auto const& [key, run] : present)
    {
        all.push_back({with.interference_estimates.class_index(
                           run->part->definition.task_class),
                       share(run->used, on.info.capacity)});
    }
    for (std::size_t self = 0; self < present.size(); ++self)
    {
        auto const& run = *present[self].run;
        if (run.part->definition.kind != job_kind::service ||
            run.latency_p99_us == 0)
        {
            continue;
        }
        auto beside = all;
        beside.erase(beside.begin() + static_cast<std::ptrdiff_t>(self));
        auto const victim = all[self].task_class;
        with.interference_estimates.record_slowdown(
            victim,
            beside,
            with.interference_estimates.record_latency(victim,
                                                       run.latency_p99_us));
    }
}

void cell_runner::guard_services(cell_context& with,
                                 worker_view const& on,
                                 std::vector<reported_attempt> const& present)
{
    std::vector<placement::guarded_service> services;
    std::vector<placement::guarded_task> batch;
    for (auto const& [key, run] : present)
    {
        auto const& what = run->part->definition;
        if (run->phase != attempt_phase::running ||
            !run->eviction_reason.empty())
        {
            continue;
        }
        auto const number =
            with.interference_estimates.class_index(what.task_class);
        if (what.kind == job_kind::batch)
        {
            batch.push_back({task_name(*key),
                             number,
                             share(run->used, on.info.capacity),
                             run->speed_limit_permille});
            continue;
        }
        auto const contract = with.config.contracts.find(what.customer);
        if (contract != with.config.contracts.end())
        {
            services.push_back({number,
                                run->latency_p99_us,
                                static_cast<std::uint64_t>(
                                    contract->second.latency_target.count())});
        }
    }
    auto& guard =
        guards_.try_emplace(on.info.id, with.settings.guard).first->second;
    auto const wanted =
        guard.on_report(services, batch, with.interference_estimates);
    auto const key = wanted ? parse_task_name(wanted->task) : std::nullopt;
    if (!key)
    {
        return;
    }
    if (wanted->action == placement::guard_action::evict)
    {
        ++with.counters.evicted_guard;
        evict(with, *key, "guard");
        return;
    }
    active_attempts_.at(*key).requested_speed_limit_permille =
        wanted->cpu_limit_permille;
}

} // namespace fuchsia::core::tasks
