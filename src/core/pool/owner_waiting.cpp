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

// Returns the kinds of the waiting steps, at most `max_examined_steps` of them.
// Each call goes on where the last one stopped, so that the first steps do not
// hide the kinds of those behind them.
std::map<owner::kind_name, owner::waiting_kind> owner::waiting_kinds()
{
    std::map<kind_name, waiting_kind> kinds;
    auto next = ready_.lower_bound(log_from_);
    auto const examined = std::min(ready_.size(), max_examined_steps);
    for (std::size_t count = 0; count < examined; ++count)
    {
        next = next == ready_.end() ? ready_.begin() : next;
        auto const& key = *next++;
        auto* const run = find_job(key.job);
        if (run == nullptr)
        {
            continue;
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
    log_from_ = next == ready_.end() ? ready_key{} : *next;
    return kinds;
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
    std::size_t lines = 0;
    for (auto const& [name, kind] : waiting_kinds())
    {
        if (kind.tasks == 0 || lines == max_lines ||
            waiting_reported_at_.contains(name))
        {
            continue;
        }
        auto const& key = kind.first;
        auto& run = *find_job(key.job);
        auto const& ready =
            run.occurrences[key.occurrence].steps[key.step].ready;
        if (ready.empty())
        {
            continue;
        }
        ++lines;
        waiting_reported_at_[name] = now;
        auto const status = waiting_status(
            now, run, {key.job, key.occurrence, key.step, ready.back()});
        std::vector<ports::header> fields{
            {"queue", name.first},
            {"image", name.second},
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
