#include "tools/soak/plan.hpp"

#include "tools/soak/job_id.hpp"
#include "tools/soak/late_order_plan.hpp"
#include "tools/soak/owner_loss_plan.hpp"
#include "tools/soak/random_source.hpp"

#include <algorithm>
#include <array>
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
    bool suspends_limits;
    duration shortest;
    duration longest;
};

constexpr std::array<kind_row, 33> kinds{{
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
    {fault_kind::owner_change, "owner_change", true, 300ms, 4000ms},
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
    {fault_kind::shrink, "shrink", false, 3000ms, 9000ms},
    {fault_kind::store_outage, "store_outage", true, 400ms, 600ms},
    {fault_kind::owner_loss, "owner_loss", true, 1500ms, 4000ms},
    {fault_kind::long_worker_cut, "long_worker_cut", true, 6000ms, 20000ms},
    {fault_kind::late_orders, "late_orders", true, 2500ms, 6000ms},
    {fault_kind::same_id_restart, "same_id_restart", true, 100ms, 1500ms},
}};

kind_row const& row_of(fault_kind kind) noexcept
{
    return kinds[static_cast<std::size_t>(kind)];
}

// Periods with faults alternate with fault-free periods, so that time limits
// are checked too.
constexpr duration shortest_fault_period = 2s;
constexpr duration longest_fault_period = 6s;
constexpr duration shortest_fault_free_period = 4s;
constexpr duration longest_fault_free_period = 8s;
constexpr duration longest_gap = 1200ms;
constexpr duration longest_gap_in_series = 150ms;
constexpr std::uint32_t series_percent = 45;

void draw_fault(duration at,
                std::vector<kind_row> const& rows,
                plan_settings const& settings,
                random_source& random,
                std::vector<fault>& out)
{
    auto const& row = rows[random.below(rows.size())];
    fault result;
    result.at = at;
    result.kind = row.kind;
    result.length = draw_length(row.kind, random);
    result.target = random.below(1000);
    result.variant = random.below(1000);
    result.at_owner = random.true_with_percent(30);
    result.target %=
        hits_worker(row.kind) ? settings.workers : settings.instances;
    out.push_back(result);
}

std::vector<kind_row> selected_rows(plan_settings const& settings,
                                    bool suspends_limits)
{
    std::vector<kind_row> result;
    for (auto const& row : kinds)
    {
        if (row.suspends_limits == suspends_limits &&
            row.kind != fault_kind::shrink &&
            row.kind != fault_kind::owner_change &&
            !is_of_owner_losses(row.kind) && !is_of_late_orders(row.kind) &&
            settings.kinds.contains(row.kind))
        {
            result.push_back(row);
        }
    }
    return result;
}

void draw_faults(plan_settings const& settings, std::vector<fault>& out)
{
    auto const rows = selected_rows(settings, true);
    random_source random(settings.seed);
    duration at = 1s;
    while (!rows.empty() && at < settings.traffic)
    {
        auto const until = std::min(
            at + random.between(shortest_fault_period, longest_fault_period),
            settings.traffic);
        while (at < until)
        {
            draw_fault(at, rows, settings, random, out);
            at += random.between(0ms,
                                 random.true_with_percent(series_percent)
                                     ? longest_gap_in_series
                                     : longest_gap);
        }
        at += random.between(shortest_fault_free_period,
                             longest_fault_free_period);
    }
}

// Operator actions and ordinary maintenance, which suspend no time limits,
// occur at any time.
void draw_operator_actions(plan_settings const& settings,
                           std::vector<fault>& out)
{
    constexpr duration longest_wait = 2500ms;
    auto const rows = selected_rows(settings, false);
    random_source random(settings.seed + 1);
    duration at = random.between(0ms, longest_wait);
    while (!rows.empty() && at < settings.traffic)
    {
        draw_fault(at, rows, settings, random, out);
        at += random.between(0ms, longest_wait);
    }
}

// Capacities change at any time, several of them at once. They are drawn on
// their own, so that the other faults of a seed stay as they are.
void draw_capacity_changes(plan_settings const& settings,
                           std::vector<fault>& out)
{
    constexpr duration longest_wait = 3s;
    if (!settings.kinds.contains(fault_kind::shrink))
    {
        return;
    }
    random_source random(settings.seed + 4);
    for (duration at = random.between(0ms, longest_wait); at < settings.traffic;
         at += random.between(0ms, longest_wait))
    {
        draw_fault(at, {row_of(fault_kind::shrink)}, settings, random, out);
    }
}

// Most machines are small, and a few, wherever they are in the group, are
// large. They are drawn on their own, so that the faults and jobs of a seed
// stay as they are.
std::vector<machine_size> draw_machines(plan_settings const& settings)
{
    constexpr std::uint32_t instances_per_large = 4;
    std::vector<machine_size> result(settings.instances, small_machine);
    random_source random(settings.seed + 8);
    auto const most = std::max(settings.instances / instances_per_large, 1U);
    for (auto left = 1 + random.below(most); left > 0; --left)
    {
        result[random.below(result.size())] = large_machine;
    }
    return result;
}

// Owners change several times, each before its successor has worked for long.
// The time after a series suffices for the bounds that hold only in calm time,
// unless there are other faults. The series are drawn on their own, so that the
// other faults of a seed stay as they are.
void draw_owner_changes(plan_settings const& settings, std::vector<fault>& out)
{
    constexpr std::uint32_t fewest = 3;
    constexpr std::uint32_t most = 8;
    constexpr duration longest_wait = 6s;
    constexpr duration shortest_calm = 12s;
    constexpr duration longest_calm = 18s;
    if (!settings.kinds.contains(fault_kind::owner_change))
    {
        return;
    }
    random_source random(settings.seed + 7);
    duration at = random.between(1s, longest_wait);
    while (at < settings.traffic)
    {
        for (auto left = fewest + random.below(most - fewest + 1);
             left > 0 && at < settings.traffic;
             --left)
        {
            draw_fault(
                at, {row_of(fault_kind::owner_change)}, settings, random, out);
            out.back().at_owner = true;
            at += random.between(1s, longest_wait);
        }
        at += random.between(shortest_calm, longest_calm);
    }
}

// In some jobs, makes the first task of each step crash the workers that start
// it, at once or late.
void draw_crashing_jobs(plan_settings const& settings,
                        std::vector<planned_job>& jobs)
{
    constexpr std::uint32_t crashing_percent = 4;
    constexpr std::uint32_t late_percent = 25;
    constexpr std::uint32_t latest_crash_ms = 1200;
    random_source random(settings.seed + 5);
    for (auto& job : jobs)
    {
        if (!random.true_with_percent(crashing_percent))
        {
            continue;
        }
        auto const after = random.true_with_percent(late_percent)
                               ? 200 + random.below(latest_crash_ms)
                               : 10;
        job.spec += " crash crash_index=0 crash_after=" + std::to_string(after);
    }
}

// Kind of job by the length of its tasks. Some tasks must outlive a lease; most
// end soon.
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
    job_shape result;
    result.queue = random.true_with_percent(75) ? first_queue : second_queue;
    result.attempts = 3;
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
        result.steps.push_back(step);
    }
    return result;
}

planned_job draw_job(std::uint32_t number, duration at, random_source& random)
{
    planned_job result;
    result.at = at;
    result.id = draw_id(number, random);
    auto const kind = draw_kind(random);
    bool const lasting = kind == job_kind::lasting;
    result.shape = draw_shape(random, kind);
    auto const work = kind == job_kind::lengthy ? 2000 + random.below(4000)
                                                : 50 + random.below(1200);
    result.spec = "work=" + std::to_string(work);
    auto const outcome_draw = random.below(100);
    result.spec += lasting             ? " lasts"
                   : outcome_draw < 8  ? " fail_first"
                   : outcome_draw < 12 ? " fail"
                                       : "";
    result.caller = random.below(caller_count);
    result.instance = random.below(1000);
    result.retries_refusals = random.true_with_percent(60);
    result.resubmitted = random.true_with_percent(10);
    if (lasting || random.true_with_percent(12))
    {
        result.cancel_after = random.between(0ms, lasting ? 6s : 1500ms);
    }
    return result;
}

// Some jobs last from the begin of the traffic to the end of the run, through
// all faults, and a few more begin later. They are drawn on their own, so that
// the other jobs of a seed stay as they are.
void draw_kept_jobs(plan_settings const& settings,
                    std::vector<planned_job>& jobs)
{
    constexpr std::uint32_t first_number = 0x10000;
    constexpr duration latest_early = 500ms;
    constexpr std::uint32_t early = 2;
    constexpr std::uint32_t most_later = 2;
    random_source random(settings.seed + 6);
    auto const count = early + random.below(most_later + 1);
    for (std::uint32_t number = 0; number < count; ++number)
    {
        planned_job job;
        job.at = random.between(
            0ms, number < early ? latest_early : settings.traffic / 2);
        job.id = draw_id(first_number + number, random);
        job.shape = draw_shape(random, job_kind::lasting);
        job.spec = "work=500 lasts";
        job.caller = random.below(caller_count);
        job.instance = random.below(1000);
        job.kept = true;
        jobs.push_back(std::move(job));
    }
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
    std::set<fault_kind> result;
    for (auto const& row : kinds)
    {
        result.insert(row.kind);
    }
    return result;
}

std::set<fault_kind> default_fault_kinds()
{
    auto result = all_fault_kinds();
    std::erase_if(result, is_of_owner_losses);
    std::erase_if(result, is_of_late_orders);
    return result;
}

bool hits_worker(fault_kind kind) noexcept
{
    return kind >= fault_kind::worker_cut && kind != fault_kind::store_outage &&
           kind != fault_kind::owner_loss;
}

duration draw_length(fault_kind kind, random_source& random)
{
    auto const& row = row_of(kind);
    return random.between(row.shortest, row.longest);
}

bool suspends_time_limits(fault_kind kind) noexcept
{
    return row_of(kind).suspends_limits;
}

fault_kind kind_of_owner_change(std::uint32_t variant) noexcept
{
    constexpr std::array<fault_kind, 4> result{fault_kind::kill,
                                               fault_kind::stop,
                                               fault_kind::pause,
                                               fault_kind::store_cut};
    return result[variant % result.size()];
}

std::string extra_queue(std::uint32_t number)
{
    return "extra" + std::to_string(number);
}

plan make_plan(plan_settings const& settings)
{
    constexpr duration mean_gap = 240ms;
    constexpr std::uint32_t burst_percent = 30;
    plan result;
    result.machines = draw_machines(settings);
    draw_faults(settings, result.faults);
    draw_operator_actions(settings, result.faults);
    draw_capacity_changes(settings, result.faults);
    draw_owner_changes(settings, result.faults);
    random_source random(settings.seed + 2);
    std::uint32_t number = 0;
    for (duration at{}; at < settings.traffic;
         at += random.true_with_percent(burst_percent)
                   ? duration{}
                   : random.between(0ms, 2 * mean_gap))
    {
        result.jobs.push_back(draw_job(++number, at, random));
    }
    draw_crashing_jobs(settings, result.jobs);
    draw_kept_jobs(settings, result.jobs);
    draw_owner_losses(settings, result);
    draw_late_orders(settings, result);
    std::stable_sort(result.faults.begin(),
                     result.faults.end(),
                     [](fault const& left, fault const& right)
                     {
                         return left.at < right.at;
                     });
    return result;
}

std::string to_text(plan const& drawn)
{
    std::ostringstream out;
    std::uint32_t instance = 0;
    for (auto const& machine : drawn.machines)
    {
        out << "machine " << instance++ << " cores " << machine.cores
            << " link_mbps " << machine.link_mbps << '\n';
    }
    for (auto const& entry : drawn.faults)
    {
        out << to_milliseconds(entry.at) << " fault " << name_of(entry.kind)
            << ' ' << entry.target << " for " << to_milliseconds(entry.length)
            << " value " << entry.variant
            << (entry.at_owner ? " at the owner" : "") << '\n';
    }
    for (auto const& entry : drawn.jobs)
    {
        out << to_milliseconds(entry.at) << " job " << entry.id << " to "
            << entry.shape.queue << " caller " << entry.caller << " instance "
            << entry.instance << " steps " << entry.shape.steps.size() << ' '
            << entry.spec << (entry.resubmitted ? " repeated" : "")
            << (entry.retries_refusals ? "" : " gives up");
        if (entry.cancel_after)
        {
            out << " cancel after " << to_milliseconds(*entry.cancel_after);
        }
        out << (entry.kept ? " kept\n" : "\n");
    }
    return out.str();
}

} // namespace fuchsia::tools::soak
