#include "core/pool/rebalance.hpp"

#include <algorithm>
#include <map>

namespace fuchsia::core::pool
{

namespace
{

// Scores of places, the lowest wins: a worker without serving tasks is closed
// to more work than one that is closed already, and an image keeps to itself.
constexpr double empty_worker = 1;
constexpr double other_image = 0.5;

bool disturbed(colocation const& pairs,
               rebalance_worker const& on,
               std::uint16_t fill)
{
    return std::any_of(on.serving.begin(),
                       on.serving.end(),
                       [&](movable_task const& each)
                       {
                           return pairs.disturbs(each.image, fill);
                       });
}

// What the tasks that fill leave to one that would come.
double headroom_at(colocation const& pairs,
                   rebalance_worker const& on,
                   movable_task const& what)
{
    return what.isolated_headroom -
           pairs.headroom_loss(what.image, on.best_effort);
}

bool disturbed_by_any(colocation const& pairs,
                      std::uint16_t served,
                      std::vector<std::uint16_t> const& fills)
{
    return std::any_of(fills.begin(),
                       fills.end(),
                       [&](std::uint16_t fill)
                       {
                           return pairs.disturbs(served, fill);
                       });
}

// Cores beside which waiting work may run no more once `what` stands there.
double closed_by(colocation const& pairs,
                 rebalance_worker const& on,
                 movable_task const& what,
                 std::vector<waiting_image> const& waiting)
{
    double closed = 0;
    double total = 0;
    for (auto const& each : waiting)
    {
        auto const cores = static_cast<double>(each.total);
        bool const opens = pairs.disturbs(what.image, each.image) &&
                           !disturbed(pairs, on, each.image);
        closed += opens ? cores : 0;
        total += cores;
    }
    return total > 0 ? closed / total : 0;
}

double score_place(colocation const& pairs,
                   rebalance_worker const& on,
                   movable_task const& what,
                   std::vector<waiting_image> const& waiting)
{
    bool const same = std::all_of(on.serving.begin(),
                                  on.serving.end(),
                                  [&what](movable_task const& each)
                                  {
                                      return each.image == what.image;
                                  });
    auto const left =
        static_cast<double>(on.free.millicores) /
        static_cast<double>(std::max<std::int64_t>(on.capacity, 1));
    return left + closed_by(pairs, on, what, waiting) +
           (on.serving.empty() ? empty_worker : 0) + (same ? 0 : other_image);
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

    // Of what would unlock most, the first that has places for its tasks.
    std::optional<rebalance_plan> best() const
    {
        auto wanted = candidates();
        auto const tries = std::min(wanted.size(), settings_.max_tries);
        std::partial_sort(wanted.begin(),
                          wanted.begin() + static_cast<std::ptrdiff_t>(tries),
                          wanted.end(),
                          [](candidate const& left, candidate const& right)
                          {
                              return left.gain > right.gain;
                          });
        for (std::size_t index = 0; index < tries; ++index)
        {
            if (auto plan = clear(*wanted[index].from, *wanted[index].work))
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

    std::vector<candidate> candidates() const
    {
        std::vector<candidate> made;
        for (auto const& work : waiting_)
        {
            if (has_place(work))
            {
                continue;
            }
            for (auto const& from : workers_)
            {
                auto const gain = worth(from, work);
                if (gain > 0)
                {
                    made.push_back({gain, &from, &work});
                }
            }
        }
        return made;
    }

    // Work that finds a worker needs no room made for it.
    bool has_place(waiting_image const& work) const
    {
        return std::any_of(workers_.begin(),
                           workers_.end(),
                           [&](rebalance_worker const& each)
                           {
                               return each.idle >= work.smallest_task &&
                                      !disturbed(pairs_, each, work.image);
                           });
    }

    // Core-seconds that clearing `from` unlocks, less what it costs.
    double worth(rebalance_worker const& from, waiting_image const& work) const
    {
        std::int64_t moved = 0;
        std::size_t count = 0;
        bool known = true;
        for (auto const& each : from.serving)
        {
            if (!pairs_.disturbs(each.image, work.image))
            {
                continue;
            }
            ++count;
            moved += each.declared.millicores;
            known = known && each.may_move &&
                    pairs_.pair_known(each.image, work.image);
        }
        if (!from.may_be_cleared || !known || count == 0 ||
            count > settings_.max_moved_tasks || from.idle < work.smallest_task)
        {
            return 0;
        }
        auto const unlocked =
            static_cast<double>(std::min(from.idle, work.total));
        return unlocked * settings_.benefit_horizon -
               static_cast<double>(moved) * settings_.move_cost;
    }

    std::optional<rebalance_plan> clear(rebalance_worker const& from,
                                        waiting_image const& work) const
    {
        rebalance_plan made{from.id, work.image, from.idle, {}};
        std::map<std::string, ports::resources> promised;
        for (auto const& each : from.serving)
        {
            if (!pairs_.disturbs(each.image, work.image))
            {
                continue;
            }
            auto const* const to = place_for(each, from, work, promised);
            if (to == nullptr)
            {
                return std::nullopt;
            }
            promised[to->id] += each.declared;
            made.moves.push_back({each.name, to->id});
        }
        return made;
    }

    // Where the task disturbs nobody's plans: among tasks that the same work
    // would disturb, with room, and beside nothing that disturbs it.
    rebalance_worker const*
    place_for(movable_task const& what,
              rebalance_worker const& from,
              waiting_image const& work,
              std::map<std::string, ports::resources> const& promised) const
    {
        rebalance_worker const* best = nullptr;
        double lowest = 0;
        for (auto const& to : workers_)
        {
            auto wanted = what.declared;
            if (auto const found = promised.find(to.id);
                found != promised.end())
            {
                wanted += found->second;
            }
            bool const fits = to.id != from.id && to.service == from.service &&
                              to.free.covers(wanted);
            bool const opens =
                !to.serving.empty() && !disturbed(pairs_, to, work.image);
            if (!fits || opens ||
                disturbed_by_any(pairs_, what.image, to.cleared_for) ||
                headroom_at(pairs_, to, what) <
                    pairs_.settings().placement_headroom)
            {
                continue;
            }
            auto const score = score_place(pairs_, to, what, waiting_);
            if (best == nullptr || score < lowest)
            {
                best = &to;
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
    return planner(settings, pairs, workers, waiting).best();
}

} // namespace fuchsia::core::pool
