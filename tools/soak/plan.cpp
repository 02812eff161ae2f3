#include "tools/soak/plan.hpp"

#include "tools/soak/random_source.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

namespace fuchsia::tools::soak
{

namespace
{

using namespace std::chrono_literals;
using core::common::duration;
using core::common::to_milliseconds;

struct kind_row
{
    fault_kind kind;
    std::string_view name;
    bool trouble;
    duration shortest;
    duration longest;
};

constexpr std::array<kind_row, 26> kinds{{
    {fault_kind::kill, "kill", true, 200ms, 2500ms},
    {fault_kind::stop, "stop", true, 200ms, 2500ms},
    {fault_kind::pause, "pause", true, 100ms, 6000ms},
    {fault_kind::settings_change, "hangup", false, 0ms, 0ms},
    {fault_kind::store_delay, "store_delay", true, 500ms, 2500ms},
    {fault_kind::store_cut, "store_cut", true, 300ms, 6000ms},
    {fault_kind::store_reset, "store_reset", true, 0ms, 0ms},
    {fault_kind::caller_delay, "caller_delay", true, 500ms, 2500ms},
    {fault_kind::caller_cut, "caller_cut", true, 300ms, 2500ms},
    {fault_kind::caller_reset, "caller_reset", true, 0ms, 0ms},
    {fault_kind::worker_cut, "worker_cut", true, 300ms, 6000ms},
    {fault_kind::worker_reset, "worker_reset", true, 0ms, 0ms},
    {fault_kind::store_silent, "store_silent", true, 200ms, 5000ms},
    {fault_kind::store_refusing, "store_refusing", true, 200ms, 3000ms},
    {fault_kind::store_late, "store_late", true, 500ms, 3000ms},
    {fault_kind::store_lossy, "store_lossy", true, 100ms, 1000ms},
    {fault_kind::watch_lost, "watch_lost", true, 0ms, 0ms},
    {fault_kind::compaction, "compaction", true, 0ms, 0ms},
    {fault_kind::lease_lapse, "lease_lapse", true, 0ms, 0ms},
    {fault_kind::crash, "crash", true, 100ms, 2500ms},
    {fault_kind::drain, "drain", false, 3000ms, 5000ms},
    {fault_kind::worker_late, "worker_late", true, 500ms, 3000ms},
    {fault_kind::worker_silent, "worker_silent", true, 300ms, 3000ms},
    {fault_kind::worker_lossy, "worker_lossy", true, 300ms, 2000ms},
    {fault_kind::configuration, "configuration", false, 0ms, 0ms},
    {fault_kind::evacuation, "evacuation", false, 2000ms, 8000ms},
}};

kind_row const& row_of(fault_kind kind) noexcept
{
    return kinds[static_cast<std::size_t>(kind)];
}

// Troubled time and calm time take turns, so that promises with a time limit
// are checked too.
constexpr duration shortest_trouble = 2s;
constexpr duration longest_trouble = 6s;
constexpr duration shortest_calm = 4s;
constexpr duration longest_calm = 8s;
constexpr duration longest_gap = 1200ms;
constexpr duration longest_gap_in_series = 150ms;
constexpr std::uint32_t series_percent = 45;

void draw_fault(duration at,
                std::vector<kind_row> const& from,
                plan_settings const& settings,
                random_source& random,
                std::vector<fault>& out)
{
    auto const& row = from[random.below(from.size())];
    fault made;
    made.at = at;
    made.kind = row.kind;
    made.length = random.between(row.shortest, row.longest);
    made.target = random.below(1000);
    made.variant = random.below(1000);
    made.at_owner = random.true_with_percent(30);
    made.target %= row.kind >= fault_kind::worker_cut ? settings.workers
                                                      : settings.instances;
    out.push_back(made);
}

std::vector<kind_row> chosen(plan_settings const& settings, bool trouble)
{
    std::vector<kind_row> made;
    for (auto const& row : kinds)
    {
        if (row.trouble == trouble && settings.kinds.contains(row.kind))
        {
            made.push_back(row);
        }
    }
    return made;
}

void draw_troubles(plan_settings const& settings, std::vector<fault>& out)
{
    auto const from = chosen(settings, true);
    random_source random(settings.seed);
    duration at = 1s;
    while (!from.empty() && at < settings.traffic)
    {
        auto const until =
            std::min(at + random.between(shortest_trouble, longest_trouble),
                     settings.traffic);
        while (at < until)
        {
            draw_fault(at, from, settings, random, out);
            at += random.between(0ms,
                                 random.true_with_percent(series_percent)
                                     ? longest_gap_in_series
                                     : longest_gap);
        }
        at += random.between(shortest_calm, longest_calm);
    }
}

// Words of operators and ordinary upkeep come at any time.
void draw_words(plan_settings const& settings, std::vector<fault>& out)
{
    constexpr duration longest_wait = 2500ms;
    auto const from = chosen(settings, false);
    random_source random(settings.seed + 1);
    duration at = random.between(0ms, longest_wait);
    while (!from.empty() && at < settings.traffic)
    {
        draw_fault(at, from, settings, random, out);
        at += random.between(0ms, longest_wait);
    }
}

// Tasks that outlive a lease, among many that are soon over.
enum class job_kind : std::uint8_t
{
    brief,
    lengthy,
    lasting,
};

job_kind draw_kind(random_source& random)
{
    constexpr std::uint32_t lasting_percent = 8;
    constexpr std::uint32_t lengthy_percent = 22;
    auto const drawn = random.below(100);
    return drawn < lasting_percent                     ? job_kind::lasting
           : drawn < lasting_percent + lengthy_percent ? job_kind::lengthy
                                                       : job_kind::brief;
}

job_shape draw_shape(random_source& random, job_kind kind)
{
    constexpr std::uint32_t most_steps = 3;
    constexpr std::uint32_t most_tasks = 4;
    constexpr std::uint32_t most_lengthy = 2;
    job_shape made;
    made.queue = random.true_with_percent(75) ? first_queue : second_queue;
    made.attempts = 3;
    auto const steps =
        kind == job_kind::brief ? 1 + random.below(most_steps) : 1;
    for (std::uint32_t number = 0; number < steps; ++number)
    {
        step_shape step;
        step.count = 1 + random.below(kind == job_kind::brief ? most_tasks
                                                              : most_lengthy);
        step.lasting = kind == job_kind::lasting;
        if (number > 0 && random.true_with_percent(80))
        {
            step.after = {random.below(number)};
        }
        made.steps.push_back(step);
    }
    return made;
}

planned_job draw_job(std::uint32_t number, duration at, random_source& random)
{
    planned_job made;
    made.at = at;
    std::array<char, 17> id{};
    std::snprintf(
        id.data(), id.size(), "%08x%08x", random.below(1U << 31U), number);
    made.id = id.data();
    auto const kind = draw_kind(random);
    bool const lasting = kind == job_kind::lasting;
    made.shape = draw_shape(random, kind);
    auto const work = kind == job_kind::lengthy ? 2000 + random.below(4000)
                                                : 50 + random.below(1200);
    made.spec = "work=" + std::to_string(work);
    auto const fate = random.below(100);
    made.spec += lasting     ? " lasts"
                 : fate < 8  ? " fail_first"
                 : fate < 12 ? " fail"
                             : "";
    made.caller = random.below(caller_count);
    made.instance = random.below(1000);
    made.retries_refusals = random.true_with_percent(60);
    made.resubmitted = random.true_with_percent(10);
    if (lasting || random.true_with_percent(12))
    {
        made.cancel_after = random.between(0ms, lasting ? 6s : 1500ms);
    }
    return made;
}

} // namespace

std::string_view name_of(fault_kind kind) noexcept
{
    return row_of(kind).name;
}

std::optional<fault_kind> fault_kind_from(std::string_view name) noexcept
{
    for (auto const& row : kinds)
    {
        if (row.name == name)
        {
            return row.kind;
        }
    }
    return std::nullopt;
}

std::set<fault_kind> all_fault_kinds()
{
    std::set<fault_kind> made;
    for (auto const& row : kinds)
    {
        made.insert(row.kind);
    }
    return made;
}

bool suspends_time_limits(fault_kind kind) noexcept
{
    return row_of(kind).trouble;
}

std::string extra_queue(std::uint32_t number)
{
    return "extra" + std::to_string(number);
}

plan make_plan(plan_settings const& settings)
{
    constexpr duration mean_gap = 240ms;
    constexpr std::uint32_t burst_percent = 30;
    plan made;
    draw_troubles(settings, made.faults);
    draw_words(settings, made.faults);
    std::stable_sort(made.faults.begin(),
                     made.faults.end(),
                     [](fault const& left, fault const& right)
                     {
                         return left.at < right.at;
                     });
    random_source random(settings.seed + 2);
    std::uint32_t number = 0;
    for (duration at{}; at < settings.traffic;
         at += random.true_with_percent(burst_percent)
                   ? duration{}
                   : random.between(0ms, 2 * mean_gap))
    {
        made.jobs.push_back(draw_job(++number, at, random));
    }
    return made;
}

std::string to_text(plan const& drawn)
{
    std::ostringstream out;
    for (auto const& each : drawn.faults)
    {
        out << to_milliseconds(each.at) << " fault " << name_of(each.kind)
            << ' ' << each.target << " for " << to_milliseconds(each.length)
            << " value " << each.variant
            << (each.at_owner ? " at the owner" : "") << '\n';
    }
    for (auto const& each : drawn.jobs)
    {
        out << to_milliseconds(each.at) << " job " << each.id << " to "
            << each.shape.queue << " caller " << each.caller << " instance "
            << each.instance << " steps " << each.shape.steps.size() << ' '
            << each.spec << (each.resubmitted ? " repeated" : "")
            << (each.retries_refusals ? "" : " gives up");
        if (each.cancel_after)
        {
            out << " cancel after " << to_milliseconds(*each.cancel_after);
        }
        out << '\n';
    }
    return out.str();
}

} // namespace fuchsia::tools::soak
