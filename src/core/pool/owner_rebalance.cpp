#include "core/pool/owner.hpp"

#include <algorithm>

// Moves serving tasks away from workers where they keep best-effort work out.
// The capacity at the new worker is reserved before the old attempt is stopped:
// a serving task without a worker would be down until some other job is over.
namespace fuchsia::core::pool
{

using ports::severity;

namespace
{

// Maximum number of best-effort steps that are examined.
constexpr std::size_t max_waiting_steps = 256;

} // namespace

void owner::rebalance(common::time_point now)
{
    auto const& limits = settings_.rebalance;
    if (!limits.enabled || now < next_rebalance_ || !takeover_complete_ ||
        !may_act(now))
    {
        return;
    }
    next_rebalance_ = now + limits.interval;
    auto const waiting = waiting_best_effort(now);
    if (waiting.empty())
    {
        return;
    }
    auto const plan =
        plan_rebalance(limits, colocation_, rebalance_workers(now), waiting);
    if (plan)
    {
        execute_plan(now, *plan);
    }
}

// Returns the best-effort work that has been waiting for the minimum time and
// can still be on time.
std::vector<waiting_image> owner::waiting_best_effort(common::time_point now)
{
    std::map<std::uint16_t, waiting_image> by_image;
    std::size_t examined_steps = 0;
    auto const now_ms = out_.unix_ms(now);
    for (auto const& key : ready_)
    {
        auto* const run = find_job(key.job);
        if (run == nullptr || !run->spec.steps[key.step].best_effort ||
            now_ms > run->due_unix_ms ||
            !fleet_.may_hold(run->spec.steps[key.step], run->rules.service))
        {
            continue;
        }
        if (++examined_steps > max_waiting_steps)
        {
            break;
        }
        auto const& steps = run->occurrences[key.occurrence].steps[key.step];
        auto const task_millicores =
            run->spec.steps[key.step].declared.millicores;
        auto& sum = by_image[steps.image];
        sum.image = steps.image;
        sum.smallest_task = sum.total == 0
                                ? task_millicores
                                : std::min(sum.smallest_task, task_millicores);
        sum.total +=
            task_millicores * static_cast<std::int64_t>(steps.ready.size());
    }
    std::erase_if(waiting_since_,
                  [&by_image](auto const& entry)
                  {
                      return !by_image.contains(entry.first);
                  });
    std::vector<waiting_image> result;
    for (auto const& [image, sum] : by_image)
    {
        auto const since = waiting_since_.emplace(image, now).first->second;
        if (now - since >= settings_.rebalance.min_wait && sum.total > 0)
        {
            result.push_back(sum);
        }
    }
    return result;
}

std::vector<rebalance_worker> owner::rebalance_workers(common::time_point now)
{
    std::vector<rebalance_worker> result;
    for (auto& [id, w] : fleet_.all())
    {
        if (obstacle_to_any_task(now, w))
        {
            continue;
        }
        rebalance_worker row;
        row.id = id;
        row.service = w.info.service;
        row.capacity = w.info.capacity.millicores;
        row.free = w.info.capacity;
        row.free -= w.reserved;
        row.best_effort = declared_shares_of(view_of(w).best_effort);
        row.idle = w.idle_cores();
        row.may_be_cleared = w.reservations.empty();
        for (auto const& [image, until] : w.cleared_for)
        {
            if (now < until)
            {
                row.cleared_for.push_back(image);
            }
        }
        for (auto const& name : w.runs)
        {
            auto const [run, t] = find_task(name);
            if (t == nullptr || run->step_of(name).tail_target.count() == 0)
            {
                continue;
            }
            auto const& steps =
                run->occurrences[name.occurrence].steps[name.step];
            row.serving.push_back({name,
                                   steps.image,
                                   run->step_of(name).declared,
                                   steps.isolated_headroom,
                                   may_move(now, *run, name)});
        }
        result.push_back(std::move(row));
    }
    return result;
}

// Tasks of the step that are unavailable count against its `max_unavailable`;
// without that setting, half of the step stays available.
bool owner::may_move(common::time_point now,
                     job_run const& run,
                     ports::task_name const& name) const
{
    auto const& steps = run.occurrences[name.occurrence].steps[name.step];
    auto const& t = steps.tasks[name.index];
    auto const& step_spec = run.step_of(name);
    std::uint32_t unavailable = 0;
    for (auto const& sibling : steps.tasks)
    {
        bool const serving =
            sibling.phase == task_phase::running && sibling.percent >= 100;
        unavailable += serving ? 0U : 1U;
    }
    auto const half = static_cast<std::uint32_t>(steps.tasks.size() / 2);
    auto const allowed = step_spec.max_unavailable > 0
                             ? step_spec.max_unavailable
                             : std::max(half, 1U);
    return run.phase == job_phase::active && !step_spec.gang &&
           step_spec.max_per_worker == 0 && step_spec.required_label.empty() &&
           step_spec.near_rack.empty() && !run.rules.policy &&
           t.phase == task_phase::running && t.percent >= 100 &&
           now - t.started >= settings_.rebalance.min_stay &&
           unavailable < allowed;
}

void owner::execute_plan(common::time_point now, rebalance_plan const& plan)
{
    auto* const from = fleet_.find(plan.from);
    if (from == nullptr)
    {
        return;
    }
    std::vector<std::string> moved_tasks;
    for (auto const& move : plan.moves)
    {
        auto const [run, t] = find_task(move.name);
        auto* const target = fleet_.find(move.to);
        // An earlier move of this plan may have used up the unavailable tasks
        // that its step allows.
        if (t == nullptr || target == nullptr ||
            !may_move(now, *run, move.name))
        {
            continue;
        }
        ++counters_.rebalanced;
        reservations_[move.name] = move.to;
        target->reservations.insert(move.name);
        target->reserved += run->step_of(move.name).declared;
        target->view_known = false;
        moved_tasks.push_back(move.name.job + "." + text_of(move.name) + ">" +
                              move.to);
        stop_attempt(now, *run, move.name);
    }
    if (!moved_tasks.empty())
    {
        out_.log(severity::info,
                 "tasks_move",
                 {{"worker", plan.from},
                  {"for_image", std::to_string(plan.image)},
                  {"idle_cores", std::to_string(plan.idle / 1000)},
                  {"tasks", joined(moved_tasks, moved_tasks.size())}});
    }
    from->cleared_for[plan.image] = now + settings_.rebalance.clear_period;
}

// Returns the worker that the task was to move to, if the task may still start
// there.
worker* owner::take_reservation(common::time_point now,
                                job_run& run,
                                ports::task_name const& name)
{
    auto* const target = release_reservation(run, name);
    bool const usable =
        target != nullptr && !obstacle_to_task(now, *target, run, name);
    return usable ? target : nullptr;
}

worker* owner::release_reservation(job_run const& run,
                                   ports::task_name const& name)
{
    auto const found = reservations_.find(name);
    if (found == reservations_.end())
    {
        return nullptr;
    }
    auto* const target = fleet_.find(found->second);
    reservations_.erase(found);
    if (target == nullptr || target->reservations.erase(name) == 0)
    {
        return nullptr;
    }
    target->reserved -= run.step_of(name).declared;
    target->view_known = false;
    capacity_changed(*target);
    return target;
}

bool owner::cleared_against(common::time_point now,
                            worker const& target,
                            std::uint16_t image) const
{
    return std::any_of(target.cleared_for.begin(),
                       target.cleared_for.end(),
                       [&](auto const& entry)
                       {
                           return now < entry.second &&
                                  colocation_.disturbs(image, entry.first);
                       });
}

} // namespace fuchsia::core::pool
