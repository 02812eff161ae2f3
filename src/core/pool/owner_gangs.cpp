#include "core/pool/owner.hpp"

#include <algorithm>
#include <set>
#include <string>

// Tasks that work only together.
namespace fuchsia::core::pool
{

namespace
{

std::set<std::string> racks_of(fleet& workers)
{
    std::set<std::string> made;
    for (auto const& [id, each] : workers.all())
    {
        made.insert(each.info.rack);
    }
    return made;
}

} // namespace

// All tasks of a gang start at once or none does: one that waits for the rest
// holds its room for nothing.
bool owner::dispatch_gang(common::time_point now,
                          ready_key const& key,
                          job_run& run)
{
    auto& steps = run.occurrences[key.occurrence].steps[key.step];
    if (steps.ready.size() < steps.tasks.size() ||
        run.phase != job_phase::active)
    {
        // Some member's last run is not over yet.
        return true;
    }
    std::set<std::string> racks{""};
    if (run.spec.steps[key.step].same_rack)
    {
        racks = racks_of(fleet_);
    }
    for (auto const& rack : racks)
    {
        if (place_gang(now, key, run, rack))
        {
            start_gang(now, key, run);
            return true;
        }
    }
    return false;
}

bool owner::place_gang(common::time_point now,
                       ready_key const& key,
                       job_run& run,
                       std::string const& rack)
{
    auto& steps = run.occurrences[key.occurrence].steps[key.step];
    for (std::uint32_t index = 0; index < steps.tasks.size(); ++index)
    {
        ports::task_name const name{key.job, key.occurrence, key.step, index};
        auto* const on = best_of(rank(now, run, name, rack));
        if (on == nullptr)
        {
            for (std::uint32_t placed = 0; placed < index; ++placed)
            {
                unplace(run, {key.job, key.occurrence, key.step, placed});
                capacity_changed(*fleet_.find(steps.tasks[placed].worker));
            }
            return false;
        }
        place(run, name, *on);
        capacity_changed(*on);
    }
    return true;
}

// The members share the number of the attempt and one checkpoint. Checkpoints
// begin with the progress that they hold, in digits of equal number.
void owner::start_gang(common::time_point now,
                       ready_key const& key,
                       job_run& run)
{
    auto& steps = run.occurrences[key.occurrence].steps[key.step];
    std::uint32_t attempt = 0;
    std::string checkpoint;
    for (auto const& each : steps.tasks)
    {
        attempt = std::max(attempt, each.attempt);
        checkpoint = std::max(checkpoint, each.checkpoint);
    }
    steps.ready.clear();
    ready_.erase(key);
    for (std::uint32_t index = 0; index < steps.tasks.size(); ++index)
    {
        auto& each = steps.tasks[index];
        each.attempt = attempt;
        each.checkpoint = checkpoint;
        start(now,
              run,
              {key.job, key.occurrence, key.step, index},
              *fleet_.find(each.worker));
    }
}

// One member's end stands for all: they end together.
void owner::gang_done(common::time_point now,
                      job_run& run,
                      ports::task_name const& name)
{
    auto& steps = run.occurrences[name.occurrence].steps[name.step];
    steps.ready.clear();
    for (std::uint32_t index = 0; index < steps.tasks.size(); ++index)
    {
        if (steps.tasks[index].phase != task_phase::done)
        {
            mark_done(run, {name.job, name.occurrence, name.step, index});
        }
    }
    after_done(now, run);
}

// Without one member the others wait for nothing, or work for nothing.
void owner::break_gang(common::time_point now,
                       job_run& run,
                       ports::task_name const& name)
{
    auto const& steps = run.occurrences[name.occurrence].steps[name.step];
    for (std::uint32_t index = 0; index < steps.tasks.size(); ++index)
    {
        stop_run(now, run, {name.job, name.occurrence, name.step, index});
    }
}

} // namespace fuchsia::core::pool
