#include "core/pool/job_run.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

// A job keeps some value for its users up to this multiple of its time limit.
constexpr std::int64_t worthless_limit_factor = 3;
// Upper bound of a time limit, so that sums of a few limits and a time of day
// stay exact.
constexpr double max_limit_ms = 1e15;

// Maximum number of bytes of checkpoints in one progress record. Together with
// the rows of the largest job they fit into one value of the store. A task
// whose checkpoint is left out starts from the beginning after a takeover.
constexpr std::size_t max_checkpoint_bytes = 400'000;

// Returns the size of the text in JSON, where some bytes take six.
std::size_t written_size(std::string const& text)
{
    constexpr std::size_t escaped = 6;
    std::size_t size = 0;
    for (char const character : text)
    {
        auto const byte = static_cast<unsigned char>(character);
        bool const plain = byte >= ' ' && character != '"' && character != '\\';
        size += plain ? 1 : escaped;
    }
    return size;
}

occurrence_run make_occurrence(job const& spec)
{
    occurrence_run result;
    for (auto const& s : spec.steps)
    {
        step_run run;
        run.tasks.resize(s.count);
        run.tasks_left = s.count;
        result.steps.push_back(std::move(run));
    }
    return result;
}

} // namespace

std::string_view name_of(task_phase phase) noexcept
{
    constexpr std::array<std::string_view, 7> names{"blocked",
                                                    "unresolved",
                                                    "ready",
                                                    "starting",
                                                    "running",
                                                    "stopping",
                                                    "done"};
    return names[static_cast<std::size_t>(phase)];
}

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
    job_run run;
    run.revision = revision;
    run.rules = rules;
    run.rank = rules.priority;
    auto const chain = common::to_milliseconds(spec.longest_chain());
    auto const stretched = std::min(
        static_cast<double>(chain) * rules.deadline_stretch, max_limit_ms);
    auto const limit = static_cast<std::int64_t>(stretched) +
                       common::to_milliseconds(rules.deadline_slack);
    auto const first =
        spec.first_unix_ms > 0 ? spec.first_unix_ms : spec.accepted_unix_ms;
    run.due_unix_ms = first + limit;
    run.late_unix_ms = first + worthless_limit_factor * limit;
    for (std::uint32_t occurrence_index = 0;
         occurrence_index < spec.occurrences;
         ++occurrence_index)
    {
        auto occurrence = make_occurrence(spec);
        // A job without a first start time may start at once, whatever the
        // clocks say.
        occurrence.due_unix_ms =
            spec.first_unix_ms > 0 ? first + occurrence_index * spec.interval_ms
                                   : 0;
        for (auto const& s : occurrence.steps)
        {
            run.tasks_left += s.tasks_left;
        }
        run.occurrences.push_back(std::move(occurrence));
    }
    run.spec = std::move(spec);
    return run;
}

bool out_of_attempts(job_run const& run,
                     std::size_t occurrence,
                     std::size_t step_index)
{
    auto const& s = run.spec.steps[step_index];
    std::set<std::uint32_t> gang_failures;
    std::size_t max_failures = 0;
    bool crash_limit_reached = false;
    for (auto const& t : run.occurrences[occurrence].steps[step_index].tasks)
    {
        max_failures = std::max(max_failures, t.failures.size());
        gang_failures.insert(t.failures.begin(), t.failures.end());
        crash_limit_reached |= t.crash_history.is_exhausted();
    }
    auto const failures = s.gang ? gang_failures.size() : max_failures;
    return crash_limit_reached ||
           (!s.long_running && failures >= run.rules.attempts);
}

bool out_of_attempts(job_run const& run)
{
    for (std::size_t occurrence_index = 0;
         occurrence_index < run.occurrences.size();
         ++occurrence_index)
    {
        for (std::size_t step_index = 0; step_index < run.spec.steps.size();
             ++step_index)
        {
            if (out_of_attempts(run, occurrence_index, step_index))
            {
                return true;
            }
        }
    }
    return false;
}

void apply(progress const& saved, job_run& run)
{
    run.has_progress = true;
    for (auto const& row : saved.tasks)
    {
        auto* const t =
            run.find({saved.job, row.occurrence, row.step, row.index});
        if (t == nullptr)
        {
            continue;
        }
        run.started = true;
        t->failures = row.failures;
        for (auto const attempt : row.failures)
        {
            t->attempt = std::max(t->attempt, attempt);
        }
        t->checkpoint = row.checkpoint;
        if (row.done && t->phase != task_phase::done)
        {
            t->phase = task_phase::done;
            --run.occurrences[row.occurrence].steps[row.step].tasks_left;
            --run.tasks_left;
        }
    }
    for (auto const& row : saved.suspects)
    {
        auto* const t =
            run.find({saved.job, row.occurrence, row.step, row.index});
        if (t != nullptr)
        {
            run.started = true;
            t->crash_history = row.history;
        }
    }
}

progress progress_of(job_run const& run)
{
    progress result;
    result.job = run.spec.id;
    auto bytes_left = max_checkpoint_bytes;
    for (std::uint32_t occurrence_index = 0;
         occurrence_index < run.occurrences.size();
         ++occurrence_index)
    {
        auto const& steps = run.occurrences[occurrence_index].steps;
        for (std::uint32_t step_index = 0; step_index < steps.size();
             ++step_index)
        {
            auto const& tasks = steps[step_index].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index)
            {
                auto const& t = tasks[index];
                if (t.crash_history.must_be_kept())
                {
                    result.suspects.push_back(
                        {occurrence_index, step_index, index, t.crash_history});
                }
                bool const done = t.is_done();
                auto const size = done ? 0 : written_size(t.checkpoint);
                bool const kept = size > 0 && size <= bytes_left;
                if (!done && !kept && t.failures.empty())
                {
                    continue;
                }
                bytes_left -= kept ? size : 0;
                result.tasks.push_back({occurrence_index,
                                        step_index,
                                        index,
                                        done,
                                        t.failures,
                                        kept ? t.checkpoint : std::string()});
            }
        }
    }
    return result;
}

} // namespace fuchsia::core::pool
