#include "tools/soak/worker_room.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

void worker_room::record(capacity_set const& change)
{
    workers_[change.worker].millicores = change.millicores;
}

void worker_room::record(worker_crashed const& crash)
{
    workers_.erase(crash.worker);
}

void worker_room::record(worker_draining const& draining)
{
    workers_[draining.worker].draining = true;
}

void worker_room::record(data_centre_set const& change)
{
    if (change.out_of_service)
    {
        evacuated_.insert(change.name);
    }
    else
    {
        evacuated_.erase(change.name);
    }
}

void worker_room::record(observed_history const& history,
                         run_started const& start)
{
    auto const& task = start.run.task;
    auto const job = history.jobs.find(task.job);
    bool const known = job != history.jobs.end() && job->second.has_task(task);
    auto& place = workers_[start.worker];
    place.data_centre = start.data_centre;
    place.runs[start.run] =
        known ? job->second.shape.steps[task.step].millicores : 0;
}

void worker_room::record(run_ended const& end)
{
    workers_[end.worker].runs.erase(end.run);
}

bool worker_room::is_usable(worker const& candidate) const
{
    bool const may_be_evacuated =
        candidate.data_centre.empty()
            ? !evacuated_.empty()
            : evacuated_.contains(candidate.data_centre);
    return candidate.millicores && !candidate.draining && !may_be_evacuated;
}

std::int64_t worker_room::places(std::int64_t millicores) const
{
    std::int64_t result = 0;
    for (auto const& [name, candidate] : workers_)
    {
        if (!is_usable(candidate))
        {
            continue;
        }
        auto free = *candidate.millicores;
        for (auto const& [run, used] : candidate.runs)
        {
            free -= used;
        }
        result += std::max<std::int64_t>(free, 0) /
                  std::max<std::int64_t>(millicores, 1);
    }
    return result;
}

} // namespace fuchsia::tools::soak
