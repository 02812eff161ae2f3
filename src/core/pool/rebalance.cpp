#include "core/pool/rebalance.hpp"

#include <algorithm>
#include <map>

namespace fuchsia::core::pool
{

namespace
{

// Penalties in the score of a destination; the lowest score wins. Placing a
// serving task on a worker without any closes that worker to more work than
// placing it on one that is closed already. Tasks of one image are kept
// together.
constexpr double empty_worker = 1;
constexpr double other_image = 0.5;

bool disturbed(colocation const& pairs,
               rebalance_worker const& target,
               std::uint16_t best_effort_image)
{
    return std::any_of(target.serving.begin(),
                       target.serving.end(),
                       [&](movable_task const& t)
                       {
                           return pairs.disturbs(t.image, best_effort_image);
                       });
}

// Returns the headroom that the best-effort tasks on `target` leave to the
// candidate.
double headroom_at(colocation const& pairs,
                   rebalance_worker const& target,
                   movable_task const& candidate)
{
    return candidate.isolated_headroom -
           pairs.headroom_loss(candidate.image, target.best_effort);
}

bool disturbed_by_any(colocation const& pairs,
                      std::uint16_t serving_image,
                      std::vector<std::uint16_t> const& best_effort_images)
{
    return std::any_of(best_effort_images.begin(),
                       best_effort_images.end(),
                       [&](std::uint16_t best_effort_image)
                       {
                           return pairs.disturbs(serving_image,
                                                 best_effort_image);
                       });
}

// Returns the share of the waiting work that can no longer run on `target` once
// the candidate is placed there.
double closed_share(colocation const& pairs,
                    rebalance_worker const& target,
                    movable_task const& candidate,
                    std::vector<waiting_image> const& waiting)
{
    double closed = 0;
    double total = 0;
    for (auto const& work : waiting)
    {
        auto const cores = static_cast<double>(work.total);
        bool const newly_closed = pairs.disturbs(candidate.image, work.image) &&
                                  !disturbed(pairs, target, work.image);
        closed += newly_closed ? cores : 0;
        total += cores;
    }
    return total > 0 ? closed / total : 0;
}

double score_place(colocation const& pairs,
                   rebalance_worker const& target,
                   movable_task const& candidate,
                   std::vector<waiting_image> const& waiting)
{
    bool const same_image = std::all_of(target.serving.begin(),
                                        target.serving.end(),
                                        [&candidate](movable_task const& t)
                                        {
                                            return t.image == candidate.image;
                                        });
    auto const free_share =
        static_cast<double>(target.free.millicores) /
        static_cast<double>(std::max<std::int64_t>(target.capacity, 1));
    return free_share + closed_share(pairs, target, candidate, waiting) +
           (target.serving.empty() ? empty_worker : 0) +
           (same_image ? 0 : other_image);
}

class planner
{
public:
    planner(rebalance_settings const& settings,
            colocation const& pairs,
            std::vector<rebalance_worker> const& workers,
            std::vector<waiting_image> const& waiting)
        : settings_(settings), pairs_(pairs), workers_(workers),
          waiting_(waiting)
    {
    }

    // Returns the plan with the highest gain whose tasks all have a
    // destination.
    std::optional<rebalance_plan> best_plan() const
    {
        auto candidates = find_candidates();
        auto const tries = std::min(candidates.size(), settings_.max_tries);
        std::partial_sort(candidates.begin(),
                          candidates.begin() +
                              static_cast<std::ptrdiff_t>(tries),
                          candidates.end(),
                          [](candidate const& lhs, candidate const& rhs)
                          {
                              return lhs.gain > rhs.gain;
                          });
        for (std::size_t index = 0; index < tries; ++index)
        {
            if (auto plan = plan_clearing(*candidates[index].from,
                                          *candidates[index].work))
            {
                return plan;
            }
        }
        return std::nullopt;
    }

private:
    struct candidate
    {
        double gain = 0;
        rebalance_worker const* from = nullptr;
        waiting_image const* work = nullptr;
    };

    std::vector<candidate> find_candidates() const
    {
        std::vector<candidate> candidates;
        for (auto const& work : waiting_)
        {
            if (has_place(work))
            {
                continue;
            }
            for (auto const& from : workers_)
            {
                auto const gain = gain_of(from, work);
                if (gain > 0)
                {
                    candidates.push_back({gain, &from, &work});
                }
            }
        }
        return candidates;
    }

    // Whether a worker can take the work without being cleared.
    bool has_place(waiting_image const& work) const
    {
        return std::any_of(workers_.begin(),
                           workers_.end(),
                           [&](rebalance_worker const& w)
                           {
                               return w.idle >= work.smallest_task &&
                                      !disturbed(pairs_, w, work.image);
                           });
    }

    // Returns the core-seconds that clearing `from` unlocks, minus the cost of
    // the moves; 0 if `from` can't be cleared.
    double gain_of(rebalance_worker const& from,
                   waiting_image const& work) const
    {
        std::int64_t moved_millicores = 0;
        std::size_t moved_tasks = 0;
        bool movable = true;
        for (auto const& t : from.serving)
        {
            if (!pairs_.disturbs(t.image, work.image))
            {
                continue;
            }
            ++moved_tasks;
            moved_millicores += t.declared.millicores;
            movable =
                movable && t.may_move && pairs_.pair_known(t.image, work.image);
        }
        if (!from.may_be_cleared || !movable || moved_tasks == 0 ||
            moved_tasks > settings_.max_moved_tasks ||
            from.idle < work.smallest_task)
        {
            return 0;
        }
        auto const unlocked =
            static_cast<double>(std::min(from.idle, work.total));
        return unlocked * settings_.benefit_horizon -
               static_cast<double>(moved_millicores) * settings_.move_cost;
    }

    std::optional<rebalance_plan> plan_clearing(rebalance_worker const& from,
                                                waiting_image const& work) const
    {
        rebalance_plan plan{from.id, work.image, from.idle, {}};
        std::map<std::string, ports::resources> reserved;
        for (auto const& t : from.serving)
        {
            if (!pairs_.disturbs(t.image, work.image))
            {
                continue;
            }
            auto const* const destination =
                destination_of(t, from, work, reserved);
            if (destination == nullptr)
            {
                return std::nullopt;
            }
            reserved[destination->id] += t.declared;
            plan.moves.push_back({t.name, destination->id});
        }
        return plan;
    }

    // Returns the best destination of the task: a worker with capacity that is
    // already closed to the same work or has no serving task, and where nothing
    // disturbs the task.
    rebalance_worker const* destination_of(
        movable_task const& moved_task,
        rebalance_worker const& from,
        waiting_image const& work,
        std::map<std::string, ports::resources> const& reserved) const
    {
        rebalance_worker const* best = nullptr;
        double lowest = 0;
        for (auto const& target : workers_)
        {
            auto needed = moved_task.declared;
            if (auto const found = reserved.find(target.id);
                found != reserved.end())
            {
                needed += found->second;
            }
            bool const fits = target.id != from.id &&
                              target.service == from.service &&
                              target.free.covers(needed);
            bool const would_close = !target.serving.empty() &&
                                     !disturbed(pairs_, target, work.image);
            if (!fits || would_close ||
                disturbed_by_any(
                    pairs_, moved_task.image, target.cleared_for) ||
                headroom_at(pairs_, target, moved_task) <
                    pairs_.settings().placement_headroom)
            {
                continue;
            }
            auto const score =
                score_place(pairs_, target, moved_task, waiting_);
            if (best == nullptr || score < lowest)
            {
                best = &target;
                lowest = score;
            }
        }
        return best;
    }

    rebalance_settings const& settings_;
    colocation const& pairs_;
    std::vector<rebalance_worker> const& workers_;
    std::vector<waiting_image> const& waiting_;
};

} // namespace

std::optional<rebalance_plan>
plan_rebalance(rebalance_settings const& settings,
               colocation const& pairs,
               std::vector<rebalance_worker> const& workers,
               std::vector<waiting_image> const& waiting)
{
    return planner(settings, pairs, workers, waiting).best_plan();
}

} // namespace fuchsia::core::pool
