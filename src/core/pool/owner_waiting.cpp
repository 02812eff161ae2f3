#include "core/pool/owner.hpp"

#include <utility>

// Logs why steps wait. For a job that was late, the log shows by second, queue
// and image which obstacles there were at how many workers.
namespace fuchsia::core::pool
{

using ports::severity;

namespace
{

// Maximum number of steps examined and of lines written per second, so that the
// log stays short however long the queue is.
constexpr std::size_t max_examined_steps = 512;
constexpr std::size_t max_lines = 12;
// Time between two lines about steps of one queue and image that keep waiting.
constexpr common::duration repeat_interval = std::chrono::seconds(5);

} // namespace

std::vector<owner::waiting_kind> owner::waiting_kinds()
{
    std::map<std::pair<std::string, std::string>, waiting_kind> kinds;
    std::size_t examined_steps = 0;
    for (auto const& key : ready_)
    {
        auto* const run = find_job(key.job);
        if (run == nullptr)
        {
            continue;
        }
        if (++examined_steps > max_examined_steps)
        {
            break;
        }
        auto const& steps = run->occurrences[key.occurrence].steps[key.step];
        auto const& image = run->spec.steps[key.step].image;
        auto& kind = kinds[{run->spec.queue, image}];
        if (kind.steps == 0)
        {
            kind.first = key;
        }
        ++kind.steps;
        kind.tasks += steps.ready.size();
    }
    std::vector<waiting_kind> result;
    for (auto const& [name, kind] : kinds)
    {
        if (kind.tasks > 0 && result.size() < max_lines)
        {
            result.push_back(kind);
        }
    }
    return result;
}

// Logs the obstacles of the first waiting task of each queue and image; it
// stands for the rest.
void owner::log_waiting(common::time_point now)
{
    std::erase_if(waiting_reported_at_,
                  [now](auto const& entry)
                  {
                      return now - entry.second >= repeat_interval;
                  });
    for (auto const& kind : waiting_kinds())
    {
        auto const& key = kind.first;
        auto& run = *find_job(key.job);
        auto const& ready =
            run.occurrences[key.occurrence].steps[key.step].ready;
        if (ready.empty())
        {
            continue;
        }
        auto const& image = run.spec.steps[key.step].image;
        if (!waiting_reported_at_.insert({{run.spec.queue, image}, now}).second)
        {
            continue;
        }
        auto const status = waiting_status(
            now, run, {key.job, key.occurrence, key.step, ready.back()});
        std::vector<ports::header> fields{
            {"queue", run.spec.queue},
            {"image", image},
            {"steps", std::to_string(kind.steps)},
            {"tasks", std::to_string(kind.tasks)},
            {"possible", std::to_string(status.possible)},
            {"idle_where_it_disturbs",
             std::to_string(status.idle_unusable / 1000)}};
        for (auto const& [reason, count] : status.obstacles)
        {
            auto const name = obstacle_names[static_cast<std::size_t>(reason)];
            fields.push_back({std::string(name), std::to_string(count)});
        }
        out_.log(severity::info, "steps_wait", std::move(fields));
    }
}

} // namespace fuchsia::core::pool
