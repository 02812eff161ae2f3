#include "core/pool/owner.hpp"

#include <algorithm>
#include <utility>

// Which worker a task starts on, and what speaks against the others.
namespace fuchsia::core::pool
{

namespace
{

// Scores: the lowest wins. A rack away from its data a task takes up to twice
// as long; a worker on which it failed before is taken only when no other is
// left.
constexpr double far_penalty = 10;
constexpr double failed_penalty = 100;
constexpr double free_worker_penalty = 0.5;
// For each time that a worker takes longer than estimated; a quarter more is
// within what estimates are off by.
constexpr double slow_penalty = 1;
constexpr double usual_slowness = 1.25;
// Serving tasks of one image stand together: what disturbs one of them disturbs
// all, and has the other workers for itself. More than an empty worker can
// cost, so that images mix only once no worker is empty: at 1.5 they mixed on
// any worker that was nearly full. Over 36 days on each of three workloads
// worth rose by 0.02, 0.02 and 0.03.
constexpr double other_image_penalty = 3;

// A worker that was cleared for work that waits stays clear while any other
// has room.
constexpr double kept_clear_penalty = 5;

// Tasks of the same step of the same occurrence that are placed there.
std::uint32_t siblings_on(worker const& on, ports::task_name const& name)
{
    std::uint32_t count = 0;
    auto each = on.runs.lower_bound({name.job, name.occurrence, name.step, 0});
    while (each != on.runs.end() && each->job == name.job &&
           each->occurrence == name.occurrence && each->step == name.step)
    {
        ++count;
        ++each;
    }
    return count;
}

double share_of(std::int64_t part, std::int64_t whole)
{
    return static_cast<double>(part) /
           static_cast<double>(std::max<std::int64_t>(whole, 1));
}

} // namespace

// A worker that started again has forgotten the fence of a successor that asked
// its last incarnation, and would obey us. No start before the store has
// confirmed since then that there is none.
bool owner::may_trust(worker const& on) const
{
    return claim_.confirmed_at() >= on.restarted_at;
}

// What speaks against the worker for any task.
std::optional<obstacle> owner::obstacle_at(common::time_point now,
                                           worker const& on) const
{
    if (!on.adopted || !on.rostered || !may_trust(on))
    {
        return obstacle::unknown;
    }
    if (on.silent)
    {
        return obstacle::silent;
    }
    if (!on.listed || on.info.draining)
    {
        return obstacle::leaving;
    }
    if (now < on.avoid_until)
    {
        return obstacle::suspected;
    }
    if (now < on.full_until)
    {
        return obstacle::reported_full;
    }
    if (operators_.data_centres_out.contains(on.info.data_centre))
    {
        return obstacle::data_centre;
    }
    return std::nullopt;
}

// What speaks against the worker for any task of the step.
std::optional<obstacle> owner::obstacle_of(common::time_point now,
                                           worker const& on,
                                           job_run const& run,
                                           step const& what) const
{
    if (on.info.service != run.rules.service)
    {
        return obstacle::service;
    }
    if (auto const reason = obstacle_at(now, on))
    {
        return reason;
    }
    auto const& labels = on.info.labels;
    bool const labelled =
        what.required_label.empty() ||
        std::find(labels.begin(), labels.end(), what.required_label) !=
            labels.end();
    return labelled ? std::nullopt : std::optional(obstacle::label);
}

// Whatever keeps this task from that worker now; empty where it may start.
std::optional<obstacle> owner::obstacle_to(common::time_point now,
                                           worker& on,
                                           job_run& run,
                                           ports::task_name const& name)
{
    auto const& what = run.step_of(name);
    if (auto const reason = obstacle_of(now, on, run, what))
    {
        return reason;
    }
    if (!fits(on, what))
    {
        return obstacle::capacity;
    }
    auto const& steps = run.occurrences[name.occurrence].steps[name.step];
    if (run.rules.policy && !has_ticket(now, steps, on))
    {
        return obstacle::ticket;
    }
    if (what.max_per_worker > 0 && siblings_on(on, name) >= what.max_per_worker)
    {
        return obstacle::siblings;
    }
    return what.best_effort ? obstacle_to_best_effort(on, what, steps.image)
                            : std::nullopt;
}

bool owner::fits(worker const& on, step const& what) const
{
    auto used = on.reserved;
    used += what.declared;
    if (what.best_effort)
    {
        used.millicores = 0;
    }
    return on.info.capacity.covers(used);
}

// Which workers may be used at all does not change within a round.
capacity_index owner::usable_workers(common::time_point now)
{
    std::vector<worker*> usable;
    usable.reserve(fleet_.all().size());
    for (auto& [id, each] : fleet_.all())
    {
        if (!obstacle_at(now, each))
        {
            usable.push_back(&each);
        }
    }
    return capacity_index(std::move(usable));
}

void owner::capacity_changed(worker const& at)
{
    if (capacity_index_)
    {
        capacity_index_->mark_changed(at);
    }
}

std::vector<owner::ranked_worker> owner::rank(common::time_point now,
                                              job_run& run,
                                              ports::task_name const& name,
                                              std::string const& rack)
{
    if (!capacity_index_)
    {
        capacity_index_ = usable_workers(now);
    }
    auto const& what = run.step_of(name);
    bool const leaves_room = must_leave_reserve(run, name);
    auto const least = what.declared.millicores * (leaves_room ? 2 : 1);
    auto const candidates = what.best_effort
                                ? capacity_index_->with_idle(least)
                                : capacity_index_->with_free(least);
    std::vector<ranked_worker> made;
    for (auto* const each : candidates)
    {
        bool const elsewhere = !rack.empty() && each->info.rack != rack;
        if (elsewhere ||
            (leaves_room && !each->has_capacity_for_two(what.declared)))
        {
            continue;
        }
        if (auto const found = score(now, *each, run, name))
        {
            made.push_back({*found, each});
        }
    }
    return made;
}

worker* owner::best_of(std::vector<ranked_worker> const& ranked)
{
    auto const best = std::min_element(
        ranked.begin(),
        ranked.end(),
        [](ranked_worker const& left, ranked_worker const& right)
        {
            return left.score < right.score;
        });
    return best == ranked.end() ? nullptr : best->which;
}

// `name` was just placed on `on`; its siblings find that changed.
void owner::score_again(common::time_point now,
                        job_run& run,
                        ports::task_name const& name,
                        worker& on,
                        bool leaves_room,
                        std::vector<ranked_worker>& ranked)
{
    auto const row = std::find_if(ranked.begin(),
                                  ranked.end(),
                                  [&on](ranked_worker const& each)
                                  {
                                      return each.which == &on;
                                  });
    if (row == ranked.end())
    {
        return;
    }
    bool const keeps =
        leaves_room && !on.has_capacity_for_two(run.step_of(name).declared);
    auto const found = score(now, on, run, name);
    if (found && !keeps)
    {
        row->score = *found;
        return;
    }
    ranked.erase(row);
}

bool owner::serves_only(worker const& on, std::uint16_t image)
{
    for (auto const& name : on.runs)
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
                                   worker& on,
                                   job_run& run,
                                   ports::task_name const& name)
{
    ++counters_.scored;
    if (obstacle_to(now, on, run, name))
    {
        return std::nullopt;
    }
    auto const& what = run.step_of(name);
    auto const image = run.occurrences[name.occurrence].steps[name.step].image;
    double total = 0;
    if (what.best_effort)
    {
        total = score_best_effort(on, what, image);
    }
    else
    {
        // Best fit: what stays free stays in one piece, and workers without
        // serving tasks are left to those that would disturb them.
        auto const free = on.info.capacity.millicores - on.reserved.millicores -
                          what.declared.millicores;
        total = share_of(free, on.info.capacity.millicores) +
                (on.serves() ? 0.0 : 1.0);
        if (what.tail_target.count() > 0 && on.serves() &&
            !serves_only(on, image))
        {
            total += other_image_penalty;
        }
        if (what.tail_target.count() > 0 && cleared_against(now, on, image))
        {
            total += kept_clear_penalty;
        }
    }
    if (!what.near_rack.empty() && on.info.rack != what.near_rack)
    {
        total += far_penalty;
    }
    total +=
        slow_penalty * std::max(0.0, 1 / on.speed.value(now) - usual_slowness);
    auto const& failed = run.at(name).failed_on;
    if (std::find(failed.begin(), failed.end(), on.info.id) != failed.end())
    {
        total += failed_penalty;
    }
    return total;
}

std::optional<obstacle> owner::obstacle_to_best_effort(worker& on,
                                                       step const& what,
                                                       std::uint16_t image)
{
    auto const& seen = view_of(on);
    if (on.idle_cores() < what.declared.millicores)
    {
        return obstacle::no_idle_core;
    }
    auto const share =
        share_of(what.declared.millicores, on.info.capacity.millicores);
    bool const disturbs =
        on.serves() && colocation_.expected_headroom(seen, image, share) <
                           settings_.colocation.placement_headroom;
    return disturbs ? std::optional(obstacle::disturbs) : std::nullopt;
}

// Tasks that fill go beside serving tasks that they do not disturb, as long as
// there are idle cores, and leave workers without serving tasks to those that
// would disturb everywhere else.
double
owner::score_best_effort(worker& on, step const& what, std::uint16_t image)
{
    auto const& seen = view_of(on);
    auto const idle = on.idle_cores() - what.declared.millicores;
    double const left = 1 - share_of(idle, on.info.capacity.millicores);
    auto const share =
        share_of(what.declared.millicores, on.info.capacity.millicores);
    return on.serves() ? left + share * colocation_.worst_weight(seen, image)
                       : left + free_worker_penalty;
}

} // namespace fuchsia::core::pool
