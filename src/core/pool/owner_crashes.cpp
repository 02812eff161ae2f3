#include "core/pool/owner.hpp"

// Handles the tasks of workers that crashed or can no longer be reached.
namespace fuchsia::core::pool
{

using ports::severity;

// Logs what ran on the lost worker. The youngest run is the likeliest cause of
// a crash: tasks that crash their workers mostly do so when they start.
void owner::log_worker_lost(worker const& target, char const* reason)
{
    ports::task_name const* youngest = nullptr;
    common::duration min_seen{};
    for (auto const& name : target.runs)
    {
        auto const* const t = find_task(name).state;
        if (t != nullptr && (youngest == nullptr || t->seen_running < min_seen))
        {
            youngest = &name;
            min_seen = t->seen_running;
        }
    }
    if (youngest == nullptr)
    {
        return;
    }
    out_.log(severity::warning,
             "worker_lost",
             {{"worker", target.info.id},
              {"why", reason},
              {"runs", std::to_string(target.runs.size())},
              {"youngest", youngest->job + "." + text_of(*youngest)},
              {"ran_ms", std::to_string(common::to_milliseconds(min_seen))}});
}

void owner::mark_attempts_lost(common::time_point now,
                               worker& target,
                               char const* reason)
{
    log_worker_lost(target, reason);
    auto const runs = target.runs;
    for (auto const& name : runs)
    {
        auto const [run, t] = find_task(name);
        if (t == nullptr)
        {
            target.runs.erase(name);
            continue;
        }
        ++counters_.tasks_lost;
        log_task(severity::warning,
                 "task_lost",
                 {name, t->attempt},
                 target.info.id,
                 {{"why", reason},
                  {"ran_ms",
                   std::to_string(common::to_milliseconds(t->seen_running))}});
        t->phase = task_phase::blocked;
        task_over(now, *run, name);
    }
}

} // namespace fuchsia::core::pool
