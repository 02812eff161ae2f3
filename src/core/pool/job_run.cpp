#include "core/pool/job_run.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

// Up to three times its time limit a job still has some worth for its users.
constexpr std::int64_t worthless_after = 3;
// Of a time limit; sums of a few of them and a time of day stay exact.
constexpr double longest_limit_ms = 1e15;

// Bytes of checkpoints in one record of progress. With the rows of the largest
// job they fit into one value of the store; a task whose checkpoint is left out
// begins anew after a takeover.
constexpr std::size_t checkpoint_room = 400'000;

// As it stands in JSON, where some bytes take six.
std::size_t written_size(std::string const& text)
{
    constexpr std::size_t escaped = 6;
    std::size_t size = 0;
    for (char const letter : text)
    {
        auto const byte = static_cast<unsigned char>(letter);
        bool const plain = byte >= ' ' && letter != '"' && letter != '\\';
        size += plain ? 1 : escaped;
    }
    return size;
}

occurrence_run make_occurrence(job const& spec)
{
    occurrence_run made;
    for (auto const& each : spec.steps)
    {
        step_run steps;
        steps.tasks.resize(each.count);
        steps.tasks_left = each.count;
        made.steps.push_back(std::move(steps));
    }
    return made;
}

} // namespace

task* job_run::find(ports::task_name const& name)
{
    if (name.occurrence >= occurrences.size() ||
        name.step >= occurrences[name.occurrence].steps.size())
    {
        return nullptr;
    }
    auto& tasks = occurrences[name.occurrence].steps[name.step].tasks;
    return name.index < tasks.size() ? &tasks[name.index] : nullptr;
}

task& job_run::at(ports::task_name const& name)
{
    return occurrences[name.occurrence].steps[name.step].tasks[name.index];
}

step const& job_run::step_of(ports::task_name const& name) const
{
    return spec.steps[name.step];
}

job_run make_job_run(job spec, std::uint64_t revision, queue const& rules)
{
    job_run made;
    made.revision = revision;
    made.rules = rules;
    made.rank = rules.priority;
    auto const chain = common::to_milliseconds(spec.longest_chain());
    auto const stretched = std::min(
        static_cast<double>(chain) * rules.deadline_stretch, longest_limit_ms);
    auto const limit = static_cast<std::int64_t>(stretched) +
                       common::to_milliseconds(rules.deadline_slack);
    auto const first =
        spec.first_unix_ms > 0 ? spec.first_unix_ms : spec.accepted_unix_ms;
    made.due_unix_ms = first + limit;
    made.late_unix_ms = first + worthless_after * limit;
    for (std::uint32_t number = 0; number < spec.occurrences; ++number)
    {
        auto occurrence = make_occurrence(spec);
        // Without a time of its own it may start whatever any clock says.
        occurrence.due_unix_ms =
            spec.first_unix_ms > 0 ? first + number * spec.interval_ms : 0;
        for (auto const& each : occurrence.steps)
        {
            made.tasks_left += each.tasks_left;
        }
        made.occurrences.push_back(std::move(occurrence));
    }
    made.spec = std::move(spec);
    return made;
}

bool out_of_attempts(job_run const& run,
                     std::size_t occurrence,
                     std::size_t number)
{
    auto const& what = run.spec.steps[number];
    std::set<std::uint32_t> of_gang;
    std::size_t most = 0;
    for (auto const& each : run.occurrences[occurrence].steps[number].tasks)
    {
        most = std::max(most, each.failures.size());
        of_gang.insert(each.failures.begin(), each.failures.end());
    }
    auto const failures = what.gang ? of_gang.size() : most;
    return !what.long_running && failures >= run.rules.attempts;
}

bool out_of_attempts(job_run const& run)
{
    for (std::size_t k = 0; k < run.occurrences.size(); ++k)
    {
        for (std::size_t number = 0; number < run.spec.steps.size(); ++number)
        {
            if (out_of_attempts(run, k, number))
            {
                return true;
            }
        }
    }
    return false;
}

void apply(progress const& known, job_run& to)
{
    to.has_progress = true;
    for (auto const& each : known.tasks)
    {
        auto* const found =
            to.find({known.job, each.occurrence, each.step, each.index});
        if (found == nullptr)
        {
            continue;
        }
        to.started = true;
        found->failures = each.failures;
        for (auto const attempt : each.failures)
        {
            found->attempt = std::max(found->attempt, attempt);
        }
        found->checkpoint = each.checkpoint;
        if (each.done && found->phase != task_phase::done)
        {
            found->phase = task_phase::done;
            --to.occurrences[each.occurrence].steps[each.step].tasks_left;
            --to.tasks_left;
        }
    }
}

progress progress_of(job_run const& from)
{
    progress made;
    made.job = from.spec.id;
    auto room = checkpoint_room;
    for (std::uint32_t k = 0; k < from.occurrences.size(); ++k)
    {
        auto const& steps = from.occurrences[k].steps;
        for (std::uint32_t number = 0; number < steps.size(); ++number)
        {
            auto const& tasks = steps[number].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index)
            {
                auto const& each = tasks[index];
                bool const done = each.phase == task_phase::done;
                auto const size = done ? 0 : written_size(each.checkpoint);
                bool const kept = size > 0 && size <= room;
                if (!done && !kept && each.failures.empty())
                {
                    continue;
                }
                room -= kept ? size : 0;
                made.tasks.push_back({k,
                                      number,
                                      index,
                                      done,
                                      each.failures,
                                      kept ? each.checkpoint : std::string()});
            }
        }
    }
    return made;
}

} // namespace fuchsia::core::pool
