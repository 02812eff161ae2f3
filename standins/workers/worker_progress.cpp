#include "standins/workers/worker_pool.hpp"

#include <algorithm>
#include <utility>

// What happens on workers as time goes by: work, leases, ends and reports.
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
        auto& at = workers_[worker];
        std::erase_if(at.attempts,
                      [&](auto const& each)
                      {
                          auto const& attempt = each.second;
                          return attempt.state != attempt_state::running &&
                                 now - attempt.ended >
                                     settings_.ended_retention;
                      });
        if (now >= at.next_report && !at.crashed && !at.frozen)
        {
            make_report(worker, now);
        }
    }
}

void worker_pool::advance(std::size_t worker, core::common::time_point now)
{
    auto& at = workers_[worker];
    if (now <= at.advanced || at.crashed)
    {
        return;
    }
    measure(at, now);
    auto const clock_before = clock_ms(worker, at.advanced);
    auto const clock_now = clock_ms(worker, now);
    auto const elapsed = static_cast<double>(clock_now - clock_before);
    at.advanced = now;
    for (auto& [what, attempt] : at.attempts)
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
    if (attempt.doomed)
    {
        end_attempt(attempt, attempt_state::failed, now, attempt.why);
        return;
    }
    double const lease_left =
        attempt.lease_until_ms > clock_before
            ? static_cast<double>(attempt.lease_until_ms - clock_before)
            : 0.0;
    double const ran = std::min(elapsed_ms, lease_left);
    attempt.work_done_ms += ran * attempt.speed;
    bool const done =
        !attempt.call.service &&
        attempt.work_done_ms >= static_cast<double>(attempt.call.work_ms);
    if (done)
    {
        end_attempt(attempt, attempt_state::finished, now, {});
    }
    else if (lease_left <= elapsed_ms)
    {
        end_attempt(attempt, attempt_state::lease_expired, now, {});
    }
}

// Sets what each running attempt uses, how fast it works and how slow its
// answers are, beside its present neighbours.
void worker_pool::measure(worker_record& worker, core::common::time_point now)
{
    constexpr double whole = 1'000.0;
    auto const capacity = static_cast<double>(
        std::max<std::int64_t>(1, worker.listed.capacity.millicores));
    double cores_used = 0;
    std::vector<attempt_record*> running;
    for (auto& [what, attempt] : worker.attempts)
    {
        if (attempt.state != attempt_state::running)
        {
            continue;
        }
        double const factor =
            interference_.size_factor(attempt.call.task_class);
        attempt.used = attempt.call.declared;
        auto const scaled = [&](std::int64_t declared, double by)
        {
            return static_cast<std::int64_t>(static_cast<double>(declared) *
                                             by);
        };
        attempt.used.millicores = scaled(attempt.call.declared.millicores,
                                         factor * attempt.permille / whole);
        attempt.used.memory_mb =
            scaled(attempt.call.declared.memory_mb, factor);
        cores_used += static_cast<double>(attempt.used.millicores);
        running.push_back(&attempt);
    }
    double const crowding = std::max(1.0, cores_used / capacity);
    double const wave =
        interference_.noise_factor(worker.listed.id, now, worker.noise);
    for (auto* attempt : running)
    {
        double slowdown = 1.0;
        for (auto const* other : running)
        {
            if (other != attempt)
            {
                slowdown +=
                    wave *
                    interference_.disturbance(
                        attempt->call.task_class,
                        other->call.task_class,
                        static_cast<double>(other->used.millicores) / capacity);
            }
        }
        attempt->speed = attempt->permille / whole / slowdown / crowding;
        attempt->latency_p99_us =
            attempt->call.service
                ? static_cast<std::uint64_t>(
                      static_cast<double>(settings_.service_latency_us) *
                      slowdown * crowding * whole / attempt->permille)
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
    forget_running(attempt.call.attempt_id);
    count_end(attempt);
}

void worker_pool::count_end(attempt_record const& attempt)
{
    --books_.running;
    books_.finished += attempt.state == attempt_state::finished ? 1 : 0;
    books_.failed += attempt.state == attempt_state::failed ? 1 : 0;
    books_.stopped += attempt.state == attempt_state::stopped ? 1 : 0;
    books_.expired += attempt.state == attempt_state::lease_expired ? 1 : 0;
    auto const resumed = checkpoints_.find(attempt.call.checkpoint);
    if (resumed != checkpoints_.end() &&
        resumed->second.resumed_by == attempt.call.attempt_id)
    {
        resumed->second.resumer_finished =
            attempt.state == attempt_state::finished;
    }
}

void worker_pool::forget_running(ports::task_attempt const& what)
{
    auto const places = running_.find(what.task);
    if (places == running_.end())
    {
        return;
    }
    // One only: the same attempt at two workers ends at each by itself.
    auto const one = std::find_if(places->second.begin(),
                                  places->second.end(),
                                  [&](place const& each)
                                  {
                                      return each.what == what;
                                  });
    if (one != places->second.end())
    {
        places->second.erase(one);
    }
    if (places->second.empty())
    {
        running_.erase(places);
    }
}

void worker_pool::make_report(std::size_t worker, core::common::time_point now)
{
    auto& at = workers_[worker];
    ports::worker_report report;
    report.worker = at.listed.id;
    report.sequence = ++at.sequence;
    report.clock_ms = clock_ms(worker, now);
    for (auto const& [what, attempt] : at.attempts)
    {
        report.attempts.push_back(
            {what,
             attempt.state,
             attempt.used,
             attempt.latency_p99_us,
             static_cast<std::uint64_t>(attempt.work_done_ms),
             attempt.why});
    }
    at.reports.push_back({now, std::move(report)});
    while (at.reports.size() > 1 && at.reports[1].made + at.report_lag <= now)
    {
        at.reports.pop_front();
    }
    at.next_report = now + settings_.report_interval;
}

} // namespace fuchsia::standins::workers
