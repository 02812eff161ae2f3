#include "core/pool/owner.hpp"

#include <utility>

// Says in the log why steps wait. Whoever asks afterwards why a job was late
// finds its second and its kind of step here, with what kept it from how many
// workers.
namespace fuchsia::core::pool
{

using ports::severity;

namespace
{

// Steps that are looked at and kinds that are told of, each second: the lines
// stay few however long the queue is.
constexpr std::size_t most_steps = 512;
constexpr std::size_t most_lines = 12;
// Between two lines about a kind that goes on waiting.
constexpr common::duration told_again_after = std::chrono::seconds(5);

} // namespace

std::vector<owner::waiting_kind> owner::waiting_kinds()
{
    std::map<std::pair<std::string, std::string>, waiting_kind> kinds;
    std::size_t looked_at = 0;
    for (auto const& key : ready_)
    {
        auto* const run = find_job(key.job);
        if (run == nullptr)
        {
            continue;
        }
        if (++looked_at > most_steps)
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
    std::vector<waiting_kind> made;
    for (auto const& [name, kind] : kinds)
    {
        if (kind.tasks > 0 && made.size() < most_lines)
        {
            made.push_back(kind);
        }
    }
    return made;
}

// What keeps the first task of a kind from each worker stands for the rest.
void owner::log_waiting(common::time_point now)
{
    std::erase_if(waiting_reported_at_,
                  [now](auto const& told)
                  {
                      return now - told.second >= told_again_after;
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
        auto const found = why_waiting(
            now, run, {key.job, key.occurrence, key.step, ready.back()});
        std::vector<ports::header> fields{
            {"queue", run.spec.queue},
            {"image", image},
            {"steps", std::to_string(kind.steps)},
            {"tasks", std::to_string(kind.tasks)},
            {"possible", std::to_string(found.possible)},
            {"idle_where_it_disturbs",
             std::to_string(found.idle_unusable / 1000)}};
        for (auto const& [why, count] : found.obstacles)
        {
            auto const name = obstacle_names[static_cast<std::size_t>(why)];
            fields.push_back({std::string(name), std::to_string(count)});
        }
        out_.log(severity::info, "steps_wait", std::move(fields));
    }
}

} // namespace fuchsia::core::pool
