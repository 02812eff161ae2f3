#include "core/pool/owner.hpp"

#include <algorithm>

// Reserve of capacity that long-running tasks leave to short jobs with reserved
// cores.
namespace fuchsia::core::pool
{

short_job_reserve& owner::short_job_reserve_of(std::string const& service)
{
    return short_job_reserves_.try_emplace(service, settings_.short_job_reserve)
        .first->second;
}

void owner::observe_short_job_demand(common::time_point now)
{
    std::map<std::string, short_job_demand> demands;
    std::map<std::string, std::int64_t> available;
    for (auto const& [id, run] : jobs_)
    {
        auto const demand = short_job_demand_of(now, run);
        auto& sum = demands[run.rules.service];
        sum.millicores += demand.millicores;
        sum.tasks += demand.tasks;
    }
    for (auto const& [id, w] : fleet_.all())
    {
        if (w.listed && !w.info.draining &&
            !operators_.data_centres_out.contains(w.info.data_centre))
        {
            available[w.info.service] +=
                short_job_reserve_of(w.info.service)
                    .usable_millicores(w.info.capacity.millicores -
                                       w.long_running_cores);
        }
    }
    for (auto const& [service, demand] : demands)
    {
        auto& reserve = short_job_reserve_of(service);
        reserve.observe(now, demand);
        reserve.set_available(available[service]);
    }
    note_capacity_of_unusable_workers(now);
}

// Late jobs do not count: they may wait for the capacity that remains. Nor do
// tasks that no worker could hold: long-running tasks would wait beside the
// capacity reserved for them.
short_job_demand owner::short_job_demand_of(common::time_point now,
                                            job_run const& run)
{
    short_job_demand demand;
    bool const on_time = out_.unix_ms(now) <= run.due_unix_ms;
    for (auto const& occurrence : run.occurrences)
    {
        for (std::size_t step_index = 0; step_index < occurrence.steps.size();
             ++step_index)
        {
            auto const& step_spec = run.spec.steps[step_index];
            if (step_spec.best_effort || step_spec.long_running)
            {
                continue;
            }
            bool const may_start =
                on_time && fleet_.may_hold(step_spec, run.rules.service);
            for (auto const& t : occurrence.steps[step_index].tasks)
            {
                bool const needs_cores =
                    t.placed() || (may_start && t.phase == task_phase::ready);
                demand.millicores +=
                    needs_cores ? step_spec.declared.millicores : 0;
                demand.tasks += needs_cores ? 1 : 0;
            }
        }
    }
    return demand;
}

// A long-running task may not wait while a worker has capacity for two of its
// tasks, whether or not this owner would use that worker now.
void owner::note_capacity_of_unusable_workers(common::time_point now)
{
    std::vector<worker const*> unusable;
    for (auto const& [id, w] : fleet_.all())
    {
        if (w.listed && !w.info.draining && obstacle_to_any_task(now, w))
        {
            unusable.push_back(&w);
        }
    }
    for (auto const& key : ready_)
    {
        auto* const run = find_job(key.job);
        if (run == nullptr || !run->spec.steps[key.step].long_running)
        {
            continue;
        }
        auto const& step_spec = run->spec.steps[key.step];
        run->occurrences[key.occurrence].steps[key.step].capacity_elsewhere =
            std::any_of(unusable.begin(),
                        unusable.end(),
                        [&step_spec, run](worker const* w)
                        {
                            return w->info.service == run->rules.service &&
                                   w->has_capacity_for_two(step_spec.declared);
                        });
    }
}

// A job without a running task serves nobody: its first task takes precedence
// over the reserve, and so do tasks that have run before.
bool owner::must_leave_reserve(job_run const& run, ports::task_name const& name)
{
    auto const& step_spec = run.step_of(name);
    auto const& steps = run.occurrences[name.occurrence].steps[name.step];
    bool const may_apply = step_spec.long_running && !step_spec.best_effort &&
                           !steps.capacity_elsewhere &&
                           !steps.tasks[name.index].ran_before &&
                           !short_job_reserve_of(run.rules.service)
                                .leaves_enough(step_spec.declared.millicores);
    return may_apply && std::any_of(steps.tasks.begin(),
                                    steps.tasks.end(),
                                    [](task const& t)
                                    {
                                        return t.placed();
                                    });
}

void owner::note_placement(job_run const& run, ports::task_name const& name)
{
    auto const& step_spec = run.step_of(name);
    if (step_spec.long_running && !step_spec.best_effort)
    {
        short_job_reserve_of(run.rules.service)
            .consume(step_spec.declared.millicores);
    }
}

} // namespace fuchsia::core::pool
