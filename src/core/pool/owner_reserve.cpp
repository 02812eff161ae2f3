#include "core/pool/owner.hpp"

#include <algorithm>

// Room that tasks which last leave to short work with reserved cores.
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
    std::map<std::string, std::int64_t> left;
    for (auto const& [id, run] : jobs_)
    {
        auto const demand = short_job_demand_of(now, run);
        auto& sum = demands[run.rules.service];
        sum.millicores += demand.millicores;
        sum.tasks += demand.tasks;
    }
    for (auto const& [id, each] : fleet_.all())
    {
        if (each.listed && !each.info.draining &&
            !operators_.data_centres_out.contains(each.info.data_centre))
        {
            left[each.info.service] +=
                short_job_reserve_of(each.info.service)
                    .usable_millicores(each.info.capacity.millicores -
                                       each.long_running_cores);
        }
    }
    for (auto const& [service, demand] : demands)
    {
        auto& room = short_job_reserve_of(service);
        room.observe(now, demand);
        room.set_available(left[service]);
    }
    note_capacity_of_unusable(now);
}

// What is late already may wait for what is left.
short_job_demand owner::short_job_demand_of(common::time_point now,
                                            job_run const& run) const
{
    short_job_demand made;
    bool const on_time = out_.unix_ms(now) <= run.due_unix_ms;
    for (auto const& occurrence : run.occurrences)
    {
        for (std::size_t number = 0; number < occurrence.steps.size(); ++number)
        {
            auto const& what = run.spec.steps[number];
            if (what.best_effort || what.long_running)
            {
                continue;
            }
            for (auto const& each : occurrence.steps[number].tasks)
            {
                bool const counts =
                    each.placed() ||
                    (on_time && each.phase == task_phase::ready);
                made.millicores += counts ? what.declared.millicores : 0;
                made.tasks += counts ? 1 : 0;
            }
        }
    }
    return made;
}

// A task that lasts may not wait while a worker has room for two of it, whether
// or not this owner would use that worker now.
void owner::note_capacity_of_unusable(common::time_point now)
{
    std::vector<worker const*> unusable;
    for (auto const& [id, each] : fleet_.all())
    {
        if (each.listed && !each.info.draining && obstacle_at(now, each))
        {
            unusable.push_back(&each);
        }
    }
    for (auto const& key : ready_)
    {
        auto* const run = find_job(key.job);
        if (run == nullptr || !run->spec.steps[key.step].long_running)
        {
            continue;
        }
        auto const& what = run->spec.steps[key.step];
        run->occurrences[key.occurrence].steps[key.step].capacity_elsewhere =
            std::any_of(unusable.begin(),
                        unusable.end(),
                        [&what, run](worker const* each)
                        {
                            return each->info.service == run->rules.service &&
                                   each->has_capacity_for_two(what.declared);
                        });
    }
}

// A job of which nothing is at work serves nobody: its first task goes before
// the room of others, and so does what was at work before.
bool owner::must_leave_reserve(job_run const& run, ports::task_name const& name)
{
    auto const& what = run.step_of(name);
    auto const& steps = run.occurrences[name.occurrence].steps[name.step];
    bool const may_have_to = what.long_running && !what.best_effort &&
                             !steps.capacity_elsewhere &&
                             !steps.tasks[name.index].ran_before &&
                             !short_job_reserve_of(run.rules.service)
                                  .leaves_enough(what.declared.millicores);
    return may_have_to && std::any_of(steps.tasks.begin(),
                                      steps.tasks.end(),
                                      [](task const& each)
                                      {
                                          return each.placed();
                                      });
}

void owner::note_placement(job_run const& run, ports::task_name const& name)
{
    auto const& what = run.step_of(name);
    if (what.long_running && !what.best_effort)
    {
        short_job_reserve_of(run.rules.service)
            .consume(what.declared.millicores);
    }
}

} // namespace fuchsia::core::pool
