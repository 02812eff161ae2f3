#include "core/pool/owner.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <vector>

// Gang scheduling: all tasks of a gang run at the same time, or none does.
namespace fuchsia::core::pool
{

namespace
{

// Maximum time for which a gang that wishes for one rack waits for room on one
// while it could start on several.
constexpr common::duration max_rack_wait = std::chrono::seconds(1);

std::int64_t times_covered(std::int64_t available, std::int64_t needed)
{
    return needed > 0 ? available / needed
                      : std::numeric_limits<std::int64_t>::max();
}

// Returns how many tasks of the step fit into `free`, at most as many as may
// run on one worker.
std::int64_t tasks_in(ports::resources const& free, step const& step_spec)
{
    auto const& declared = step_spec.declared;
    auto const limit = step_spec.max_per_worker > 0 ? step_spec.max_per_worker
                                                    : step_spec.count;
    return std::min({static_cast<std::int64_t>(limit),
                     times_covered(free.millicores, declared.millicores),
                     times_covered(free.memory_mb, declared.memory_mb),
                     times_covered(free.accelerators, declared.accelerators)});
}

/// Number of tasks of a step for which there is room, by rack.
using room_by_rack = std::map<std::string, std::int64_t>;

std::int64_t total_of(room_by_rack const& room)
{
    std::int64_t total = 0;
    for (auto const& [rack, tasks] : room)
    {
        total += tasks;
    }
    return total;
}

// Returns the racks with room for the whole gang, that of its data first. A
// worker that names no rack shares one with no other.
std::vector<std::string> racks_with_room(room_by_rack const& room,
                                         step const& step_spec)
{
    std::vector<std::string> racks;
    for (auto const& [rack, tasks] : room)
    {
        if (!rack.empty() && tasks >= step_spec.count)
        {
            racks.push_back(rack);
        }
    }
    std::stable_partition(racks.begin(),
                          racks.end(),
                          [&step_spec](std::string const& rack)
                          {
                              return rack == step_spec.near_rack;
                          });
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
    auto const& step_spec = run.spec.steps[key.step];
    auto const room = gang_room(now, key, run);
    if (total_of(room) < step_spec.count)
    {
        return false;
    }
    if (step_spec.same_rack)
    {
        for (auto const& rack : racks_with_room(room, step_spec))
        {
            if (place_gang(now, key, run, rack))
            {
                start_gang(now, key, run);
                return true;
            }
        }
        if (waits_for_rack(now, key, run))
        {
            return true;
        }
    }
    if (!place_gang(now, key, run, any_rack))
    {
        return false;
    }
    start_gang(now, key, run);
    return true;
}

// Returns for how many members there is room now.
std::map<std::string, std::int64_t>
owner::gang_room(common::time_point now, ready_key const& key, job_run& run)
{
    auto const& step_spec = run.spec.steps[key.step];
    ports::task_name const first{key.job, key.occurrence, key.step, 0};
    room_by_rack room;
    for (auto* const w : with_capacity(now, step_spec, 1))
    {
        if (!obstacle_to_task(now, *w, run, first))
        {
            auto free = w->info.capacity;
            free -= w->reserved;
            free.millicores =
                step_spec.best_effort ? w->idle_cores() : free.millicores;
            room[w->info.rack] += tasks_in(free, step_spec);
        }
    }
    return room;
}

// Whether a gang that can't have one rack now should wait for one. It takes
// longer on several racks, but a wait longer than that would be worse. It
// doesn't wait if no rack could hold it even without other work.
bool owner::waits_for_rack(common::time_point now,
                           ready_key const& key,
                           job_run& run)
{
    auto const& step_spec = run.spec.steps[key.step];
    auto& since =
        run.occurrences[key.occurrence].steps[key.step].could_spread_since;
    since = since == common::time_point{} ? now : since;
    if (now - since >= std::min(max_rack_wait, step_spec.estimate / 2))
    {
        return false;
    }
    room_by_rack room;
    for (auto const& [id, w] : fleet_.all())
    {
        if (!obstacle_to_step(now, w, run, step_spec))
        {
            room[w.info.rack] += tasks_in(w.info.capacity, step_spec);
        }
    }
    return !racks_with_room(room, step_spec).empty();
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
    steps.could_spread_since = {};
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
