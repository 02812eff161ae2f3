#include "core/pool/owner.hpp"

#include <algorithm>

// Moves serving tasks away from where they keep filling work out. The room at
// the new place is reserved before the old run is stopped: a serving task that
// finds no place would stand still until some other job is over.
namespace fuchsia::core::pool
{

using ports::severity;

namespace
{

// Steps of filling work that are looked at.
constexpr std::size_t most_steps = 256;

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

// Filling work that has been waiting for a while and may still be of use.
std::vector<waiting_image> owner::waiting_best_effort(common::time_point now)
{
    std::map<std::uint16_t, waiting_image> by_image;
    std::size_t looked_at = 0;
    auto const now_ms = out_.unix_ms(now);
    for (auto const& key : ready_)
    {
        auto* const run = find_job(key.job);
        if (run == nullptr || !run->spec.steps[key.step].best_effort ||
            now_ms > run->due_unix_ms)
        {
            continue;
        }
        if (++looked_at > most_steps)
        {
            break;
        }
        auto const& steps = run->occurrences[key.occurrence].steps[key.step];
        auto const each = run->spec.steps[key.step].declared.millicores;
        auto& sum = by_image[steps.image];
        sum.image = steps.image;
        sum.smallest_task =
            sum.total == 0 ? each : std::min(sum.smallest_task, each);
        sum.total += each * static_cast<std::int64_t>(steps.ready.size());
    }
    std::erase_if(waiting_since_,
                  [&by_image](auto const& each)
                  {
                      return !by_image.contains(each.first);
                  });
    std::vector<waiting_image> made;
    for (auto const& [image, sum] : by_image)
    {
        auto const since = waiting_since_.emplace(image, now).first->second;
        if (now - since >= settings_.rebalance.min_wait && sum.total > 0)
        {
            made.push_back(sum);
        }
    }
    return made;
}

std::vector<rebalance_worker> owner::rebalance_workers(common::time_point now)
{
    std::vector<rebalance_worker> made;
    for (auto& [id, each] : fleet_.all())
    {
        if (obstacle_at(now, each))
        {
            continue;
        }
        rebalance_worker row;
        row.id = id;
        row.service = each.info.service;
        row.capacity = each.info.capacity.millicores;
        row.free = each.info.capacity;
        row.free -= each.reserved;
        row.best_effort = declared_shares_of(view_of(each).best_effort);
        row.idle = each.idle_cores();
        row.may_be_cleared = each.reservations.empty();
        for (auto const& [image, until] : each.cleared_for)
        {
            if (now < until)
            {
                row.cleared_for.push_back(image);
            }
        }
        for (auto const& name : each.runs)
        {
            auto const [run, task] = find_task(name);
            if (task == nullptr || run->step_of(name).tail_target.count() == 0)
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
        made.push_back(std::move(row));
    }
    return made;
}

// Others of its step that are away count against what the step may miss; where
// it says nothing, half of the step stays at work.
bool owner::may_move(common::time_point now,
                     job_run const& run,
                     ports::task_name const& name) const
{
    auto const& steps = run.occurrences[name.occurrence].steps[name.step];
    auto const& each = steps.tasks[name.index];
    auto const& what = run.step_of(name);
    std::uint32_t away = 0;
    for (auto const& other : steps.tasks)
    {
        bool const at_work =
            other.phase == task_phase::running && other.percent >= 100;
        away += at_work ? 0U : 1U;
    }
    auto const half = static_cast<std::uint32_t>(steps.tasks.size() / 2);
    auto const allowed =
        what.max_unavailable > 0 ? what.max_unavailable : std::max(half, 1U);
    return run.phase == job_phase::active && !what.gang &&
           what.max_per_worker == 0 && what.required_label.empty() &&
           what.near_rack.empty() && !run.rules.policy &&
           each.phase == task_phase::running && each.percent >= 100 &&
           now - each.started >= settings_.rebalance.min_stay && away < allowed;
}

void owner::execute_plan(common::time_point now, rebalance_plan const& plan)
{
    auto* const from = fleet_.find(plan.from);
    if (from == nullptr)
    {
        return;
    }
    std::vector<std::string> told;
    for (auto const& move : plan.moves)
    {
        auto const [run, each] = find_task(move.name);
        auto* const to = fleet_.find(move.to);
        // An earlier move of this plan may have used up what its step may miss.
        if (each == nullptr || to == nullptr || !may_move(now, *run, move.name))
        {
            continue;
        }
        ++counters_.rebalanced;
        reservations_[move.name] = move.to;
        to->reservations.insert(move.name);
        to->reserved += run->step_of(move.name).declared;
        to->view_known = false;
        told.push_back(move.name.job + "." + text_of(move.name) + ">" +
                       move.to);
        stop_run(now, *run, move.name);
    }
    if (!told.empty())
    {
        out_.log(severity::info,
                 "tasks_move",
                 {{"worker", plan.from},
                  {"for_image", std::to_string(plan.image)},
                  {"idle_cores", std::to_string(plan.idle / 1000)},
                  {"tasks", joined(told, told.size())}});
    }
    from->cleared_for[plan.image] = now + settings_.rebalance.clear_period;
}

// Where the task was to move, if it may still start there.
worker* owner::take_reservation(common::time_point now,
                                job_run& run,
                                ports::task_name const& name)
{
    auto* const to = release_reservation(run, name);
    bool const usable = to != nullptr && !obstacle_to(now, *to, run, name);
    return usable ? to : nullptr;
}

worker* owner::release_reservation(job_run const& run,
                                   ports::task_name const& name)
{
    auto const found = reservations_.find(name);
    if (found == reservations_.end())
    {
        return nullptr;
    }
    auto* const to = fleet_.find(found->second);
    reservations_.erase(found);
    if (to == nullptr || to->reservations.erase(name) == 0)
    {
        return nullptr;
    }
    to->reserved -= run.step_of(name).declared;
    to->view_known = false;
    capacity_changed(*to);
    return to;
}

bool owner::cleared_against(common::time_point now,
                            worker const& on,
                            std::uint16_t image) const
{
    return std::any_of(on.cleared_for.begin(),
                       on.cleared_for.end(),
                       [&](auto const& each)
                       {
                           return now < each.second &&
                                  colocation_.disturbs(image, each.first);
                       });
}

} // namespace fuchsia::core::pool
