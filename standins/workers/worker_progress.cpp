#include "standins/workers/worker_pool.hpp"

#include <algorithm>
#include <utility>

// Progress of workers over time: work, leases, ends and reports.
namespace fuchsia::standins::workers
{

namespace
{
using ports::attempt_state;
} // namespace

void worker_pool::tick(core::common::time_point now)
{
    for (std::size_t worker = 0; worker < workers_.size(); ++worker)
    {
        advance(worker, now);
        auto& w = workers_[worker];
        std::erase_if(w.attempts,
                      [&](auto const& entry)
                      {
                          auto const& attempt = entry.second;
                          return attempt.state != attempt_state::running &&
                                 now - attempt.ended >
                                     settings_.ended_retention;
                      });
        if (now >= w.next_report && !w.crashed && !w.frozen)
        {
            make_report(worker, now);
        }
    }
}

void worker_pool::advance(std::size_t worker, core::common::time_point now)
{
    auto& w = workers_[worker];
    if (now <= w.advanced_until || w.crashed)
    {
        return;
    }
    measure(w, now);
    auto const clock_before = clock_ms(worker, w.advanced_until);
    auto const clock_now = clock_ms(worker, now);
    auto const elapsed = static_cast<double>(clock_now - clock_before);
    w.advanced_until = now;
    for (auto& [attempt_id, attempt] : w.attempts)
    {
        if (attempt.state == attempt_state::running)
        {
            progress(attempt, elapsed, clock_before, now);
        }
    }
}

void worker_pool::progress(attempt_record& attempt,
                           double elapsed_ms,
                           std::uint64_t clock_before,
                           core::common::time_point now)
{
    if (attempt.fails_next)
    {
        end_attempt(attempt, attempt_state::failed, now, attempt.why);
        return;
    }
    double const lease_left_ms =
        attempt.lease_until_ms > clock_before
            ? static_cast<double>(attempt.lease_until_ms - clock_before)
            : 0.0;
    double const ran_ms = std::min(elapsed_ms, lease_left_ms);
    attempt.work_done_ms += ran_ms * attempt.speed;
    bool const done =
        !attempt.call.service &&
        attempt.work_done_ms >= static_cast<double>(attempt.call.work_ms);
    if (done)
    {
        end_attempt(attempt, attempt_state::finished, now, {});
    }
    else if (lease_left_ms <= elapsed_ms)
    {
        end_attempt(attempt, attempt_state::lease_expired, now, {});
    }
}

// Sets the resource use, speed and latency of each running attempt under
// interference from the other running attempts on the worker.
void worker_pool::measure(worker_record& worker, core::common::time_point now)
{
    constexpr double max_permille = 1'000.0;
    auto const capacity = static_cast<double>(
        std::max<std::int64_t>(1, worker.instance.capacity.millicores));
    double cores_used = 0;
    std::vector<attempt_record*> running;
    for (auto& [attempt_id, attempt] : worker.attempts)
    {
        if (attempt.state != attempt_state::running)
        {
            continue;
        }
        double const factor =
            interference_.size_factor(attempt.call.task_class);
        attempt.used = attempt.call.declared;
        auto const scaled = [&](std::int64_t declared, double scale)
        {
            return static_cast<std::int64_t>(static_cast<double>(declared) *
                                             scale);
        };
        attempt.used.millicores =
            scaled(attempt.call.declared.millicores,
                   factor * attempt.permille / max_permille);
        attempt.used.memory_mb =
            scaled(attempt.call.declared.memory_mb, factor);
        cores_used += static_cast<double>(attempt.used.millicores);
        running.push_back(&attempt);
    }
    double const crowding = std::max(1.0, cores_used / capacity);
    double const noise =
        interference_.noise_factor(worker.instance.id, now, worker.noise);
    for (auto* attempt : running)
    {
        double slowdown = 1.0;
        for (auto const* other : running)
        {
            if (other != attempt)
            {
                slowdown +=
                    noise *
                    interference_.disturbance(
                        attempt->call.task_class,
                        other->call.task_class,
                        static_cast<double>(other->used.millicores) / capacity);
            }
        }
        attempt->speed = attempt->permille / max_permille / slowdown / crowding;
        attempt->latency_p99_us =
            attempt->call.service
                ? static_cast<std::uint64_t>(
                      static_cast<double>(settings_.service_latency_us) *
                      slowdown * crowding * max_permille / attempt->permille)
                : 0;
    }
}

void worker_pool::end_attempt(attempt_record& attempt,
                              ports::attempt_state state,
                              core::common::time_point now,
                              std::string why)
{
    attempt.state = state;
    attempt.ended = now;
    attempt.why = std::move(why);
    attempt.used = {};
    remove_running(attempt.call.attempt_id);
    count_end(attempt);
}

void worker_pool::count_end(attempt_record const& attempt)
{
    --counters_.running;
    counters_.finished += attempt.state == attempt_state::finished ? 1 : 0;
    counters_.failed += attempt.state == attempt_state::failed ? 1 : 0;
    counters_.stopped += attempt.state == attempt_state::stopped ? 1 : 0;
    counters_.expired += attempt.state == attempt_state::lease_expired ? 1 : 0;
    auto const resumed = checkpoints_.find(attempt.call.checkpoint);
    if (resumed != checkpoints_.end() &&
        resumed->second.resumed_by == attempt.call.attempt_id)
    {
        resumed->second.resumer_finished =
            attempt.state == attempt_state::finished;
    }
}

void worker_pool::remove_running(ports::task_attempt const& attempt_id)
{
    auto const locations = running_.find(attempt_id.task);
    if (locations == running_.end())
    {
        return;
    }
    // Removes a single location: an attempt that runs on two workers ends on
    // each separately.
    auto const found =
        std::find_if(locations->second.begin(),
                     locations->second.end(),
                     [&](task_location const& location)
                     {
                         return location.attempt_id == attempt_id;
                     });
    if (found != locations->second.end())
    {
        locations->second.erase(found);
    }
    if (locations->second.empty())
    {
        running_.erase(locations);
    }
}

void worker_pool::make_report(std::size_t worker, core::common::time_point now)
{
    auto& w = workers_[worker];
    ports::worker_report report;
    report.worker = w.instance.id;
    report.sequence = ++w.sequence;
    report.clock_ms = clock_ms(worker, now);
    for (auto const& [attempt_id, attempt] : w.attempts)
    {
        report.attempts.push_back(
            {attempt_id,
             attempt.state,
             attempt.used,
             attempt.latency_p99_us,
             static_cast<std::uint64_t>(attempt.work_done_ms),
             attempt.why});
    }
    w.reports.push_back({now, std::move(report)});
    while (w.reports.size() > 1 &&
           w.reports[1].published_at + w.report_lag <= now)
    {
        w.reports.pop_front();
    }
    w.next_report = now + settings_.report_interval;
}

} // namespace fuchsia::standins::workers
