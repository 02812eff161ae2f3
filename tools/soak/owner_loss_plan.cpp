#include "tools/soak/owner_loss_plan.hpp"

#include "tools/soak/job_id.hpp"
#include "tools/soak/random_source.hpp"
#include "tools/soak/series_job.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::tools::soak
{

namespace
{

using namespace std::chrono_literals;
using core::common::duration;

// A third of the workers are cut off in both directions at the begin of the
// series, some of them until a takeover is complete without them.
void draw_worker_cuts(duration series_at,
                      plan_settings const& settings,
                      random_source& random,
                      std::vector<fault>& out)
{
    constexpr std::uint32_t workers_per_cut = 3;
    auto const first_worker = random.below(settings.workers);
    auto const cuts = std::max(settings.workers / workers_per_cut, 1U);
    for (std::uint32_t number = 0; number < cuts; ++number)
    {
        fault cut;
        cut.at = series_at + random.between(0ms, 500ms);
        cut.kind = fault_kind::long_worker_cut;
        cut.length = draw_length(cut.kind, random);
        cut.target = (first_worker + number) % settings.workers;
        out.push_back(cut);
    }
}

// The store is cut off for a moment, and the owner is killed in it; its
// successors follow after a while.
void draw_losses(duration series_at,
                 random_source& random,
                 std::vector<fault>& out)
{
    constexpr std::uint32_t fewest = 2;
    constexpr std::uint32_t most = 4;
    auto at = series_at;
    for (auto left = fewest + random.below(most - fewest + 1); left > 0; --left)
    {
        at += random.between(500ms, 1500ms);
        fault outage;
        outage.at = at;
        outage.kind = fault_kind::store_outage;
        outage.length = draw_length(outage.kind, random);
        out.push_back(outage);
        fault loss;
        loss.at = at + random.between(0ms, 300ms);
        loss.kind = fault_kind::owner_loss;
        loss.length = draw_length(loss.kind, random);
        loss.at_owner = true;
        out.push_back(loss);
    }
}

// Tasks of the less urgent queue that end around the begin of a series.
void draw_brief_jobs(duration series_at,
                     random_source& random,
                     std::vector<planned_job>& out)
{
    constexpr duration lead = 1500ms;
    constexpr std::uint32_t first_number = 0x20000;
    constexpr std::uint32_t count = 16;
    for (std::uint32_t number = 0; number < count; ++number)
    {
        auto const at = series_at - random.between(0ms, lead);
        auto const drawn =
            first_number + static_cast<std::uint32_t>(out.size());
        out.push_back(
            draw_series_job(drawn, at, 1000 + random.below(1500), random));
        out.back().shape.queue = first_queue;
    }
}

// More urgent work than the pool has room for, until the workers that were cut
// off for longest are back.
void draw_urgent_jobs(duration series_at,
                      random_source& random,
                      std::vector<planned_job>& out)
{
    constexpr duration period = 15s;
    constexpr std::uint32_t first_number = 0x30000;
    constexpr std::uint32_t count = 32;
    for (std::uint32_t number = 0; number < count; ++number)
    {
        auto const at = series_at + random.between(0ms, period);
        auto const drawn =
            first_number + static_cast<std::uint32_t>(out.size());
        out.push_back(
            draw_series_job(drawn, at, 3000 + random.below(2000), random));
        out.back().shape.queue = second_queue;
    }
}

} // namespace

bool is_of_owner_losses(fault_kind kind) noexcept
{
    return kind == fault_kind::store_outage || kind == fault_kind::owner_loss ||
           kind == fault_kind::long_worker_cut;
}

void draw_owner_losses(plan_settings const& settings, plan& out)
{
    // After this time, the jobs of a series are over.
    constexpr duration time_for_series = 24s;
    constexpr duration longest_pause = 6s;
    if (std::none_of(
            settings.kinds.begin(), settings.kinds.end(), is_of_owner_losses))
    {
        return;
    }
    random_source random(settings.seed + 9);
    duration at = random.between(2500ms, 5s);
    do
    {
        draw_worker_cuts(at, settings, random, out.faults);
        draw_losses(at, random, out.faults);
        draw_brief_jobs(at, random, out.jobs);
        draw_urgent_jobs(at, random, out.jobs);
        at += time_for_series + random.between(0ms, longest_pause);
    } while (at + time_for_series <= settings.traffic);
    std::erase_if(out.faults,
                  [&settings](fault const& drawn)
                  {
                      return !settings.kinds.contains(drawn.kind);
                  });
}

} // namespace fuchsia::tools::soak
