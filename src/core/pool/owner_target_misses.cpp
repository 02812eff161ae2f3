#include "core/pool/owner.hpp"

#include <algorithm>
#include <cmath>

// Follows and logs the times for which serving tasks are over their latency
// targets beside best-effort tasks.
namespace fuchsia::core::pool
{

using ports::severity;

namespace
{

// Length from which a miss is logged, and the time between two lines about it.
constexpr common::duration min_logged_miss = std::chrono::seconds(1);
constexpr common::duration miss_log_interval = std::chrono::seconds(1);

} // namespace

void owner::follow_target_miss(common::time_point now,
                               worker& target,
                               worker_view const& view)
{
    auto const headroom = lowest_headroom(view);
    // A report without a measurement says nothing about a miss.
    if (!headroom)
    {
        return;
    }
    auto& miss = target.miss;
    if (target.adopted_at == now && *headroom < 1)
    {
        // An earlier owner may have seen the miss for any time.
        miss.since = now - settings_.colocation.stop_after;
        miss.unbroken_since = now;
        miss.last_report = now;
    }
    auto const previous_report = miss.last_report;
    miss.update(now, *headroom);
    if (!miss.active())
    {
        return;
    }
    if (*headroom < 1 && previous_report > common::time_point{})
    {
        counters_.over_target += now - previous_report;
    }
    bool const some_work = std::any_of(view.best_effort.begin(),
                                       view.best_effort.end(),
                                       [](best_effort_view const& task)
                                       {
                                           return task.speed_limit > 0;
                                       });
    counters_.longest_miss =
        std::max(counters_.longest_miss,
                 some_work ? miss.length(now) : common::duration{});
    if (miss.length(now) >= min_logged_miss && now >= miss.next_log)
    {
        miss.next_log = now + miss_log_interval;
        log_target_miss(now, target, view, *headroom);
    }
}

// The fields tell the causes apart: figures that flicker around the target
// (`unbroken_ms`), tasks that were placed meanwhile, tasks that go on although
// they count as paused (`paused_cores`), and reports that came late.
void owner::log_target_miss(common::time_point now,
                            worker const& target,
                            worker_view const& view,
                            double headroom)
{
    double used = 0;
    double used_while_paused = 0;
    std::size_t working = 0;
    for (auto const& task : view.best_effort)
    {
        used += task.used;
        used_while_paused += task.speed_limit == 0 ? task.used : 0;
        working += task.speed_limit > 0 ? 1U : 0U;
    }
    auto const cores = [&target](double share)
    {
        auto const millicores =
            share * static_cast<double>(target.info.capacity.millicores);
        return std::to_string(std::lround(millicores / 1000));
    };
    auto const milliseconds = [](common::duration length)
    {
        return std::to_string(common::to_milliseconds(length));
    };
    out_.log(severity::warning,
             "serving_over_target",
             {{"worker", target.info.id},
              {"over_ms", milliseconds(target.miss.length(now))},
              {"unbroken_ms", milliseconds(target.miss.unbroken(now))},
              {"headroom_percent", std::to_string(std::lround(headroom * 100))},
              {"best_effort", std::to_string(view.best_effort.size())},
              {"working", std::to_string(working)},
              {"cores", cores(used)},
              {"paused_cores", cores(used_while_paused)},
              {"placed", std::to_string(target.miss.placed)},
              {"gap_ms", milliseconds(target.miss.longest_gap)},
              {"adopted_ms", milliseconds(now - target.adopted_at)}});
}

} // namespace fuchsia::core::pool
