#include "core/pool/owner.hpp"

#include <algorithm>

// Keeps serving tasks within their targets beside tasks that fill.
namespace fuchsia::core::pool
{

using ports::order_reply;
using ports::order_status;
using ports::severity;

namespace
{

// Readings of the tasks of one step that are taken together.
constexpr common::duration reading_age = std::chrono::milliseconds(1000);
// With fewer, one task's neighbours can't be told from the load of its users.
constexpr std::size_t readings_to_learn = 3;
// Of the headroom that load and neighbours explain: where half of a worker's
// tasks have less, it is the worker.
constexpr double odd_ratio = 0.4;
constexpr std::size_t tails_to_judge = 2;
// And its tasks get on slower than this part of what was estimated: a bad
// neighbour makes tails long too, and must be learned.
constexpr double slow_worker = 0.6;
// Headroom.
constexpr double least_expected = 0.5;

} // namespace

worker_view const& owner::view_of(worker& of)
{
    if (of.view_known)
    {
        return of.view;
    }
    of.view_known = true;
    auto& made = of.view;
    made.serving.clear();
    made.best_effort.clear();
    of.serving_used = 0;
    auto const cores = static_cast<double>(
        std::max<std::int64_t>(of.info.capacity.millicores, 1));
    for (auto const& name : of.runs)
    {
        auto const [run, each] = find_task(name);
        if (each == nullptr)
        {
            continue;
        }
        auto const& what = run->step_of(name);
        auto const& steps = run->occurrences[name.occurrence].steps[name.step];
        auto const target =
            static_cast<double>(common::to_milliseconds(what.tail_target));
        if (target > 0)
        {
            double const load =
                colocation_.load(steps.image, steps.isolated_headroom);
            of.serving_used += static_cast<std::int64_t>(
                load * static_cast<double>(what.declared.millicores));
        }
        if (target > 0 && each->percent >= 100)
        {
            auto const tail = static_cast<double>(each->level);
            made.serving.push_back(
                {steps.image,
                 tail > 0 ? target / tail : steps.isolated_headroom,
                 steps.isolated_headroom,
                 colocation_.task_isolated_headroom(steps.isolated_headroom,
                                                    each->reading)});
        }
        if (what.best_effort)
        {
            made.best_effort.push_back(
                {name,
                 steps.image,
                 static_cast<double>(what.declared.millicores) / cores,
                 static_cast<double>(each->level) / cores,
                 each->speed_limit});
        }
    }
    // What is on its way here must find its headroom when it comes.
    for (auto const& name : of.reservations)
    {
        auto const [run, each] = find_task(name);
        if (each != nullptr)
        {
            auto const& steps =
                run->occurrences[name.occurrence].steps[name.step];
            made.serving.push_back({steps.image,
                                    steps.isolated_headroom,
                                    steps.isolated_headroom,
                                    steps.isolated_headroom});
        }
    }
    return made;
}

// A worker that turns slow makes all tails on it long at once. Taken for the
// work of neighbours, that would teach that everything disturbs.
bool owner::tails_are_outliers(worker& of)
{
    std::vector<double> ratios;
    for (auto const& served : view_of(of).serving)
    {
        auto const expected = served.isolated_headroom -
                              colocation_.headroom_loss(
                                  served.image, shares_of(of.view.best_effort));
        if (served.isolated_headroom > 0)
        {
            ratios.push_back(served.headroom /
                             std::max(expected, least_expected));
        }
    }
    if (ratios.size() < tails_to_judge)
    {
        return false;
    }
    auto const middle =
        ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle < odd_ratio;
}

// What the tasks of one step have in common is the load of their users.
void owner::read_serving(common::time_point now, worker& of)
{
    if (of.speed.value(now) < slow_worker && tails_are_outliers(of))
    {
        return;
    }
    auto const beside = shares_of(view_of(of).best_effort);
    std::vector<serving_reading const*> readings;
    for (auto const& name : of.runs)
    {
        auto const [run, each] = find_task(name);
        auto const target =
            each != nullptr
                ? common::to_milliseconds(run->step_of(name).tail_target)
                : 0;
        // A worker that has no figure yet says 0.
        if (target <= 0 || each->percent < 100 || each->level <= 0)
        {
            continue;
        }
        auto& steps = run->occurrences[name.occurrence].steps[name.step];
        auto& reading = each->reading;
        reading.when = now;
        reading.headroom =
            static_cast<double>(target) / static_cast<double>(each->level);
        reading.headroom_loss = colocation_.headroom_loss(steps.image, beside);
        reading.neighbours = beside;
        readings.clear();
        for (auto const& sibling : steps.tasks)
        {
            bool const fresh = sibling.reading.headroom > 0 &&
                               now - sibling.reading.when <= reading_age;
            if (fresh && &sibling != each)
            {
                readings.push_back(&sibling.reading);
            }
        }
        readings.push_back(&reading);
        steps.isolated_headroom = colocation_.isolated_headroom(readings);
        colocation_.observe_isolated_headroom(steps.image,
                                              steps.isolated_headroom);
        if (readings.size() >= readings_to_learn)
        {
            colocation_.learn(steps.image, readings);
        }
    }
    of.view_known = false;
}

// A successor knows workers by the roster before the list tells what they have:
// shares of cores that are not known yet would teach nonsense.
void owner::protect_serving(common::time_point now, worker& of)
{
    if (of.info.capacity.millicores == 0)
    {
        return;
    }
    if (!of.serves())
    {
        of.over_since = {};
        return;
    }
    read_serving(now, of);
    // A copy: pacing changes what it is made from.
    auto const seen = view_of(of);
    for (auto const& change :
         colocation_.speed_limits(seen, now, of.over_since))
    {
        set_speed_limit(now, of, change.name, change.percent);
    }
    evict_idle(now, of, seen.best_effort);
}

// A task that stands still has a better place elsewhere, if it can go on there.
void owner::evict_idle(common::time_point now,
                       worker& of,
                       std::vector<best_effort_view> const& fills)
{
    for (auto const& fill : fills)
    {
        auto* const run = find_job(fill.name.job);
        auto& each = run->at(fill.name);
        bool const waits =
            each.phase == task_phase::running && each.speed_limit == 0 &&
            now - each.paused_at > settings_.colocation.evict_after;
        if (waits && run->step_of(fill.name).checkpoints)
        {
            ++counters_.evicted;
            each.phase = task_phase::stopping;
            order_stop(now, of.info.id, {fill.name, each.attempt});
        }
    }
}

void owner::set_speed_limit(common::time_point now,
                            worker& on,
                            ports::task_name const& name,
                            std::uint32_t percent)
{
    auto* const run = find_job(name.job);
    auto& each = run->at(name);
    if (each.phase != task_phase::running)
    {
        return;
    }
    ++counters_.speed_limit_changes;
    each.speed_limit = percent;
    each.paused_at = now;
    on.view_known = false;
    out_.order(
        life_,
        {0,
         on.info.id,
         on.info.remote_endpoint,
         on.incarnation,
         ports::speed_limit_order{
             claim_.epoch(), {name, each.attempt}, percent},
         settings_.order_timeout},
        [this, id = on.info.id, what = ports::pool_attempt{name, each.attempt}](
            common::time_point, order_reply const& reply)
        {
            if (reply.status == order_status::stale_fencing_token)
            {
                on_fenced(id);
            }
            else if (reply.status != order_status::done)
            {
                speed_limit_failed(id, what);
            }
        });
}

// Believed, a task that was to stand still would go on beside one that it slows
// down. The next look at its worker finds it at another speed than wanted.
void owner::speed_limit_failed(std::string const& id,
                               ports::pool_attempt const& what)
{
    auto const [run, each] = find_task(what.task);
    if (each == nullptr || each->worker != id || each->attempt != what.attempt)
    {
        return;
    }
    each->speed_limit = each->speed_limit < 100 ? 100 : 0;
    if (auto* const on = fleet_.find(id))
    {
        on->view_known = false;
    }
}

} // namespace fuchsia::core::pool
