#include "core/pool/owner.hpp"

#include <algorithm>
#include <utility>

// Placement: the worker that a task starts on, and the obstacles at the others.
namespace fuchsia::core::pool
{

namespace
{

// Scores: the lowest wins. A task takes up to twice as long on another rack
// than that of its data. A worker on which the task has failed before is used
// only if no other is left.
constexpr double far_penalty = 10;
constexpr double failed_penalty = 100;
constexpr double free_worker_penalty = 0.5;
// Penalty for each multiple of the estimated time that a worker takes. Slowness
// up to a quarter is within the error of the estimates.
constexpr double slow_penalty = 1;
constexpr double slowness_tolerance = 1.25;
// Serving tasks of one image are kept together: a neighbour that disturbs one
// of them disturbs all, and finds the other workers free of them. The penalty
// exceeds the cost of an empty worker, so that images mix only once no worker
// is empty: at 1.5 they mixed on any worker that was nearly full. Over 36 days
// on each of three workloads the earned value rose by 0.02, 0.02 and 0.03.
constexpr double other_image_penalty = 3;

// A suspect runs on a worker without another suspect if possible, so that a
// crash shows which of them is to blame, and beside few other tasks, which its
// crash would end. Until it is cleared, other tasks start elsewhere if they
// can.
constexpr double two_suspects_penalty = 50;
constexpr double suspect_neighbour_penalty = 0.3; // for each neighbour
constexpr double beside_suspect_penalty = 5;

// A worker that was cleared for waiting work gets no serving task that the work
// disturbs while another worker has capacity.
constexpr double cleared_worker_penalty = 5;

// Returns the number of tasks of the same step and occurrence that are placed
// there.
std::uint32_t siblings_on(worker const& target, ports::task_name const& name)
{
    std::uint32_t count = 0;
    auto it =
        target.runs.lower_bound({name.job, name.occurrence, name.step, 0});
    while (it != target.runs.end() && it->job == name.job &&
           it->occurrence == name.occurrence && it->step == name.step)
    {
        ++count;
        ++it;
    }
    return count;
}

double share_of(std::int64_t part, std::int64_t whole)
{
    return static_cast<double>(part) /
           static_cast<double>(std::max<std::int64_t>(whole, 1));
}

} // namespace

// A worker that restarted has lost the fencing token of a successor that polled
// its previous incarnation, and would accept our orders. No task starts there
// before the store has confirmed since the restart that there is no successor.
bool owner::claim_confirmed_since_restart(worker const& target) const
{
    return claim_.confirmed_at() >= target.restarted_at;
}

// Returns the obstacle at the worker that holds for any task.
std::optional<obstacle> owner::obstacle_to_any_task(common::time_point now,
                                                    worker const& target) const
{
    if (!target.adopted || !target.rostered || target.may_have_restarted() ||
        target.token.is_outdated() || !claim_confirmed_since_restart(target))
    {
        return obstacle::unknown;
    }
    if (target.silent)
    {
        return obstacle::silent;
    }
    if (!target.listed || target.info.draining)
    {
        return obstacle::leaving;
    }
    if (now < target.avoid_until)
    {
        return obstacle::suspected;
    }
    if (now < target.full_until || !target.unplaced_runs.empty())
    {
        return obstacle::reported_full;
    }
    if (operators_.data_centres_out.contains(target.info.data_centre))
    {
        return obstacle::data_centre;
    }
    return std::nullopt;
}

// Returns the obstacle at the worker that holds for any task of the step.
std::optional<obstacle> owner::obstacle_to_step(common::time_point now,
                                                worker const& target,
                                                job_run const& run,
                                                step const& step_spec) const
{
    if (target.info.service != run.rules.service)
    {
        return obstacle::service;
    }
    if (auto const reason = obstacle_to_any_task(now, target))
    {
        return reason;
    }
    auto const& labels = target.info.labels;
    bool const labelled =
        step_spec.required_label.empty() ||
        std::find(labels.begin(), labels.end(), step_spec.required_label) !=
            labels.end();
    return labelled ? std::nullopt : std::optional(obstacle::label);
}

// Returns the obstacle that keeps this task from the worker now; empty if the
// task may start there.
std::optional<obstacle> owner::obstacle_to_task(common::time_point now,
                                                worker& target,
                                                job_run& run,
                                                ports::task_name const& name)
{
    auto const& step_spec = run.step_of(name);
    if (auto const reason = obstacle_to_step(now, target, run, step_spec))
    {
        return reason;
    }
    if (!fits(target, step_spec))
    {
        return obstacle::capacity;
    }
    auto const& steps = run.occurrences[name.occurrence].steps[name.step];
    if (run.rules.policy && !has_ticket(now, steps, target))
    {
        return obstacle::ticket;
    }
    if (step_spec.max_per_worker > 0 &&
        siblings_on(target, name) >= step_spec.max_per_worker)
    {
        return obstacle::siblings;
    }
    return step_spec.best_effort
               ? obstacle_to_best_effort(target, step_spec, steps.image)
               : std::nullopt;
}

bool owner::fits(worker const& target, step const& step_spec) const
{
    auto used = target.reserved;
    used += step_spec.declared;
    if (step_spec.best_effort)
    {
        used.millicores = 0;
    }
    return target.info.capacity.covers(used);
}

// The set of usable workers does not change within a round.
capacity_index owner::usable_workers(common::time_point now)
{
    std::vector<worker*> usable;
    usable.reserve(fleet_.all().size());
    for (auto& [id, w] : fleet_.all())
    {
        if (!obstacle_to_any_task(now, w))
        {
            usable.push_back(&w);
        }
    }
    return capacity_index(std::move(usable));
}

void owner::capacity_changed(worker const& changed)
{
    if (capacity_index_)
    {
        capacity_index_->mark_changed(changed);
    }
}

std::vector<worker*> owner::with_capacity(common::time_point now,
                                          step const& step_spec,
                                          std::int64_t tasks)
{
    if (!capacity_index_)
    {
        capacity_index_ = usable_workers(now);
    }
    auto const min_millicores = step_spec.declared.millicores * tasks;
    return step_spec.best_effort ? capacity_index_->with_idle(min_millicores)
                                 : capacity_index_->with_free(min_millicores);
}

std::vector<owner::ranked_worker> owner::rank(common::time_point now,
                                              job_run& run,
                                              ports::task_name const& name,
                                              std::string const& rack)
{
    auto const& step_spec = run.step_of(name);
    bool const leave_reserve = must_leave_reserve(run, name);
    std::vector<ranked_worker> result;
    for (auto* const w : with_capacity(now, step_spec, leave_reserve ? 2 : 1))
    {
        bool const other_rack = !rack.empty() && w->info.rack != rack;
        if (other_rack ||
            (leave_reserve && !w->has_capacity_for_two(step_spec.declared)))
        {
            continue;
        }
        if (auto const value = score(now, *w, run, name))
        {
            result.push_back({*value, w});
        }
    }
    return result;
}

worker* owner::best_of(std::vector<ranked_worker> const& ranked)
{
    auto const best =
        std::min_element(ranked.begin(),
                         ranked.end(),
                         [](ranked_worker const& lhs, ranked_worker const& rhs)
                         {
                             return lhs.score < rhs.score;
                         });
    return best == ranked.end() ? nullptr : best->candidate;
}

// Updates the score of `target`, on which `name` has just been placed, for the
// siblings of the task.
void owner::score_again(common::time_point now,
                        job_run& run,
                        ports::task_name const& name,
                        worker& target,
                        bool leave_reserve,
                        std::vector<ranked_worker>& ranked)
{
    auto const row = std::find_if(ranked.begin(),
                                  ranked.end(),
                                  [&target](ranked_worker const& r)
                                  {
                                      return r.candidate == &target;
                                  });
    if (row == ranked.end())
    {
        return;
    }
    bool const breaks_reserve =
        leave_reserve &&
        !target.has_capacity_for_two(run.step_of(name).declared);
    auto const value = score(now, target, run, name);
    if (value && !breaks_reserve)
    {
        row->score = *value;
        return;
    }
    ranked.erase(row);
}

bool owner::serves_only(worker const& target, std::uint16_t image)
{
    for (auto const& name : target.runs)
    {
        auto* const run = find_job(name.job);
        if (run == nullptr || run->step_of(name).tail_target.count() == 0)
        {
            continue;
        }
        if (run->occurrences[name.occurrence].steps[name.step].image != image)
        {
            return false;
        }
    }
    return true;
}

std::optional<double> owner::score(common::time_point now,
                                   worker& target,
                                   job_run& run,
                                   ports::task_name const& name)
{
    ++counters_.scored;
    if (obstacle_to_task(now, target, run, name))
    {
        return std::nullopt;
    }
    auto const& step_spec = run.step_of(name);
    auto const image = run.occurrences[name.occurrence].steps[name.step].image;
    double total = 0;
    if (step_spec.best_effort)
    {
        total = score_best_effort(target, step_spec, image);
    }
    else
    {
        // Best fit: free capacity stays in one piece, and workers without
        // serving tasks are left to tasks that would disturb them.
        auto const free = target.info.capacity.millicores -
                          target.reserved.millicores -
                          step_spec.declared.millicores;
        total = share_of(free, target.info.capacity.millicores) +
                (target.serves() ? 0.0 : 1.0);
        if (step_spec.tail_target.count() > 0 && target.serves() &&
            !serves_only(target, image))
        {
            total += other_image_penalty;
        }
        if (step_spec.tail_target.count() > 0 &&
            cleared_against(now, target, image))
        {
            total += cleared_worker_penalty;
        }
    }
    if (!step_spec.near_rack.empty() && target.info.rack != step_spec.near_rack)
    {
        total += far_penalty;
    }
    total += slow_penalty *
             std::max(0.0, 1 / target.speed.value(now) - slowness_tolerance);
    total += suspicion_penalty(target, run.at(name));
    auto const& failed = run.at(name).failed_on;
    if (std::find(failed.begin(), failed.end(), target.info.id) != failed.end())
    {
        total += failed_penalty;
    }
    return total;
}

// Returns the penalty that keeps suspects apart from each other and from the
// rest.
double owner::suspicion_penalty(worker const& target, task const& t)
{
    if (!t.crash_history.is_suspect())
    {
        return target.suspects.empty() ? 0 : beside_suspect_penalty;
    }
    auto const neighbours = static_cast<double>(target.runs.size());
    return suspect_neighbour_penalty * neighbours +
           (target.suspects.empty() ? 0 : two_suspects_penalty);
}

std::optional<obstacle> owner::obstacle_to_best_effort(worker& target,
                                                       step const& step_spec,
                                                       std::uint16_t image)
{
    auto const& view = view_of(target);
    if (target.idle_cores() < step_spec.declared.millicores)
    {
        return obstacle::no_idle_core;
    }
    if (!target.serves())
    {
        return std::nullopt;
    }
    auto const share = share_of(step_spec.declared.millicores,
                                target.info.capacity.millicores);
    bool const fits_beside_serving =
        !target.miss.active() && colocation_.slack_bears(view, image, share) &&
        colocation_.expected_headroom(view, image, share) >=
            settings_.colocation.placement_headroom;
    return fits_beside_serving ? std::nullopt
                               : std::optional(obstacle::disturbs);
}

// Best-effort tasks are placed next to serving tasks that they do not disturb
// while there are idle cores. Workers without serving tasks are left to tasks
// that would disturb serving tasks everywhere else.
double owner::score_best_effort(worker& target,
                                step const& step_spec,
                                std::uint16_t image)
{
    auto const& view = view_of(target);
    auto const idle = target.idle_cores() - step_spec.declared.millicores;
    double const used_share =
        1 - share_of(idle, target.info.capacity.millicores);
    auto const share = share_of(step_spec.declared.millicores,
                                target.info.capacity.millicores);
    return target.serves()
               ? used_share + share * colocation_.worst_weight(view, image)
               : used_share + free_worker_penalty;
}

} // namespace fuchsia::core::pool
