#include "core/pool/owner.hpp"

#include <algorithm>
#include <set>
#include <string>

// Gang scheduling: all tasks of a gang run at the same time, or none does.
namespace fuchsia::core::pool
{

namespace
{

std::set<std::string> racks_of(fleet& workers)
{
    std::set<std::string> racks;
    for (auto const& [id, w] : workers.all())
    {
        racks.insert(w.info.rack);
    }
    return racks;
}

} // namespace

// All tasks of a gang start at once or none does: a task that waits for the
// others would hold capacity on its worker without doing any work.
bool owner::dispatch_gang(common::time_point now,
                          ready_key const& key,
                          job_run& run)
{
    auto& steps = run.occurrences[key.occurrence].steps[key.step];
    if (steps.ready.size() < steps.tasks.size() ||
        run.phase != job_phase::active)
    {
        // The previous attempt of a member is not over yet, or the job is
        // ending. The gang does not wait for capacity, so this does not count
        // as a failed placement.
        return true;
    }
    // The empty name stands for all racks.
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
        auto* const target = best_of(rank(now, run, name, rack));
        if (target == nullptr)
        {
            for (std::uint32_t placed = 0; placed < index; ++placed)
            {
                remove_from_worker(run,
                                   {key.job, key.occurrence, key.step, placed});
                capacity_changed(*fleet_.find(steps.tasks[placed].worker));
            }
            return false;
        }
        place(run, name, *target);
        capacity_changed(*target);
    }
    return true;
}

// All members get the same attempt number and the same checkpoint. Checkpoints
// begin with the progress that they contain, in a fixed number of digits, so
// the lexicographically greatest one contains the most progress.
void owner::start_gang(common::time_point now,
                       ready_key const& key,
                       job_run& run)
{
    auto& steps = run.occurrences[key.occurrence].steps[key.step];
    std::uint32_t attempt = 0;
    std::string checkpoint;
    for (auto const& t : steps.tasks)
    {
        attempt = std::max(attempt, t.attempt);
        checkpoint = std::max(checkpoint, t.checkpoint);
    }
    steps.ready.clear();
    ready_.erase(key);
    for (std::uint32_t index = 0; index < steps.tasks.size(); ++index)
    {
        auto& t = steps.tasks[index];
        t.attempt = attempt;
        t.checkpoint = checkpoint;
        start(now,
              run,
              {key.job, key.occurrence, key.step, index},
              *fleet_.find(t.worker));
    }
}

// Marks all members as done after one has completed, since the members of a
// gang complete together.
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

// Stops the other members of a gang after the attempt of one member has ended
// without completing: they can't finish without it.
void owner::stop_gang(common::time_point now,
                      job_run& run,
                      ports::task_name const& name)
{
    auto const& steps = run.occurrences[name.occurrence].steps[name.step];
    for (std::uint32_t index = 0; index < steps.tasks.size(); ++index)
    {
        stop_attempt(now, run, {name.job, name.occurrence, name.step, index});
    }
}

} // namespace fuchsia::core::pool
