#include "tools/soak/late_order_plan.hpp"

#include "tools/soak/random_source.hpp"
#include "tools/soak/series_job.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

namespace
{

using namespace std::chrono_literals;
using core::common::duration;

// The worker restarts once or twice before its last orders are carried out.
void draw_restarts(duration series_at,
                   std::uint32_t worker,
                   random_source& random,
                   std::vector<fault>& out)
{
    auto at = series_at + random.between(1s, 4s);
    for (auto left = 1 + random.below(2); left > 0; --left)
    {
        fault restart;
        restart.at = at;
        restart.kind = fault_kind::same_id_restart;
        restart.length = draw_length(restart.kind, random);
        restart.target = worker;
        out.push_back(restart);
        at += restart.length + random.between(1s, 4s);
    }
}

void draw_workers(duration series_at,
                  plan_settings const& settings,
                  random_source& random,
                  std::vector<fault>& out)
{
    constexpr std::uint32_t workers_per_fault = 4;
    auto const first_worker = random.below(settings.workers);
    auto const hit = std::max(settings.workers / workers_per_fault, 1U);
    for (std::uint32_t number = 0; number < hit; ++number)
    {
        fault late;
        late.at = series_at + random.between(0ms, 500ms);
        late.kind = fault_kind::late_orders;
        late.length = draw_length(late.kind, random);
        late.target = (first_worker + number) % settings.workers;
        out.push_back(late);
        draw_restarts(series_at, late.target, random, out);
    }
}

// Short tasks, so that most are over by the time at which their orders are
// carried out late.
void draw_jobs(duration series_at,
               random_source& random,
               std::vector<planned_job>& out)
{
    constexpr duration period = 12s;
    constexpr std::uint32_t first_number = 0x40000;
    constexpr std::uint32_t count = 120;
    for (std::uint32_t number = 0; number < count; ++number)
    {
        auto const at = series_at + random.between(0ms, period);
        auto const drawn =
            first_number + static_cast<std::uint32_t>(out.size());
        out.push_back(
            draw_series_job(drawn, at, 50 + random.below(500), random));
        out.back().shape.queue = first_queue;
    }
}

} // namespace

bool is_of_late_orders(fault_kind kind) noexcept
{
    return kind == fault_kind::late_orders ||
           kind == fault_kind::same_id_restart;
}

void draw_late_orders(plan_settings const& settings, plan& out)
{
    // After this time, the orders of a series have been carried out.
    constexpr duration time_for_series = 18s;
    constexpr duration longest_pause = 4s;
    if (std::none_of(
            settings.kinds.begin(), settings.kinds.end(), is_of_late_orders))
    {
        return;
    }
    random_source random(settings.seed + 10);
    duration at = random.between(1500ms, 3s);
    do
    {
        draw_workers(at, settings, random, out.faults);
        draw_jobs(at, random, out.jobs);
        at += time_for_series + random.between(0ms, longest_pause);
    } while (at + time_for_series <= settings.traffic);
    std::erase_if(out.faults,
                  [&settings](fault const& drawn)
                  {
                      return !settings.kinds.contains(drawn.kind);
                  });
}

} // namespace fuchsia::tools::soak
