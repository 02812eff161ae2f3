#include "standins/workers/worker_pool.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::standins::workers
{

namespace
{

using ports::attempt_state;

// Worker clocks start at different readings, so that a reading taken from one
// worker is plainly wrong on another.
constexpr std::uint64_t max_clock_offset_ms = 3'600'000;

std::string worker_name(std::uint32_t number)
{
    return "worker-" + std::to_string(number + 1);
}

std::string rack_name(std::uint32_t number)
{
    return "rack-" + std::to_string(number + 1);
}

} // namespace

worker_pool::worker_pool(worker_pool_settings settings,
                         core::common::time_point start)
    : settings_(std::move(settings)), start_(start),
      interference_(settings_.interference)
{
    auto const drift = static_cast<std::int64_t>(settings_.clock_drift_ppm);
    for (std::uint32_t number = 0; number < settings_.count; ++number)
    {
        worker_record worker;
        worker.listed.id = worker_name(number);
        auto const rack = number / settings_.per_rack;
        worker.listed.rack = rack_name(rack);
        auto const& names = settings_.data_centres;
        worker.listed.data_centre =
            names.empty() ? "" : names[rack % names.size()];
        worker.listed.capacity = settings_.capacity;
        if (settings_.accelerator_every > 0 &&
            number % settings_.accelerator_every == 0)
        {
            worker.listed.capacity.accelerators = settings_.accelerators;
        }
        auto const draw = core::common::hash_of(worker.listed.id,
                                                settings_.interference.seed);
        worker.clock_offset_ms =
            static_cast<std::int64_t>(draw % max_clock_offset_ms);
        worker.clock_drift_ppm =
            static_cast<std::int64_t>(draw >> 32) % (2 * drift + 1) - drift;
        worker.advanced = start;
        worker.next_report = start + settings_.report_interval * number /
                                         std::max(1U, settings_.count);
        worker.report_lag = settings_.report_lag;
        workers_.push_back(std::move(worker));
    }
}

std::size_t worker_pool::size() const noexcept
{
    return workers_.size();
}

std::optional<std::size_t> worker_pool::find(std::string_view id) const
{
    auto const found = std::find_if(workers_.begin(),
                                    workers_.end(),
                                    [id](auto const& each)
                                    {
                                        return each.listed.id == id;
                                    });
    if (found == workers_.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - workers_.begin());
}

std::vector<ports::worker_instance> worker_pool::list() const
{
    std::vector<ports::worker_instance> listed;
    for (auto const& worker : workers_)
    {
        if (!worker.crashed)
        {
            listed.push_back(worker.listed);
        }
    }
    return listed;
}

std::vector<ports::worker_report>
worker_pool::reports(core::common::time_point now, std::string_view rack) const
{
    std::vector<ports::worker_report> newest;
    for (auto const& worker : workers_)
    {
        if (!rack.empty() && worker.listed.rack != rack)
        {
            continue;
        }
        auto const visible =
            std::find_if(worker.reports.rbegin(),
                         worker.reports.rend(),
                         [&](auto const& each)
                         {
                             return each.made + worker.report_lag <= now;
                         });
        if (visible != worker.reports.rend())
        {
            newest.push_back(visible->what);
        }
    }
    return newest;
}

std::uint64_t worker_pool::clock_ms(std::size_t worker,
                                    core::common::time_point now) const
{
    constexpr std::int64_t millionths = 1'000'000;
    auto const& at = workers_[worker];
    auto const gone = (now - start_).count();
    auto const own = gone + gone * at.clock_drift_ppm / millionths;
    return static_cast<std::uint64_t>(at.clock_offset_ms + own / 1'000);
}

call_result worker_pool::start(core::common::time_point now,
                               std::size_t worker,
                               ports::worker_start const& call)
{
    advance(worker, now);
    auto& at = workers_[worker];
    if (at.attempts.contains(call.attempt_id))
    {
        return {};
    }
    auto const refused = refusal_of(at, clock_ms(worker, now), call);
    if (refused)
    {
        ++books_.refused;
        return {false, *refused, {}, {}};
    }
    settle(now, call.attempt_id.task);
    note_violations(now, at, call);
    ++books_.starts;
    ++books_.running;
    running_[call.attempt_id.task].push_back({worker, call.attempt_id});
    attempt_record attempt;
    attempt.call = call;
    attempt.lease_until_ms = call.lease_until_ms;
    attempt.work_done_ms = resume_from(call);
    auto const& broken = settings_.failing_classes;
    bool const is_broken =
        std::find(broken.begin(), broken.end(), call.task_class) !=
        broken.end();
    attempt.doomed = at.fail_starts || is_broken;
    attempt.why = at.fail_starts ? "the worker fails every start"
                  : is_broken    ? "the task's program fails"
                                 : "";
    at.attempts.emplace(call.attempt_id, std::move(attempt));
    measure(at, now);
    return {};
}

std::optional<std::string>
worker_pool::refusal_of(worker_record const& worker,
                        std::uint64_t clock,
                        ports::worker_start const& call) const
{
    if (worker.barred.contains(call.attempt_id))
    {
        return "the attempt was stopped before it came";
    }
    if (clock > call.start_before_ms)
    {
        return "the start came too late";
    }
    if (clock >= call.lease_until_ms)
    {
        return "the lease is over";
    }
    if (worker.attempts.size() >= settings_.attempts_per_worker)
    {
        return "too many attempts are listed here";
    }
    if (!call.checkpoint.empty() && !checkpoints_.contains(call.checkpoint))
    {
        return "unknown checkpoint";
    }
    return std::nullopt;
}

void worker_pool::note_violations(core::common::time_point now,
                                  worker_record const& worker,
                                  ports::worker_start const& call)
{
    auto const elsewhere = running_.find(call.attempt_id.task);
    if (elsewhere != running_.end() && !elsewhere->second.empty())
    {
        ++books_.concurrent_attempts;
    }
    ports::resources wanted = call.declared;
    for (auto const& [what, attempt] : worker.attempts)
    {
        if (attempt.state == attempt_state::running)
        {
            wanted += attempt.call.declared;
        }
    }
    if (!worker.listed.capacity.covers(wanted))
    {
        ++books_.over_capacity;
    }
    auto const out = out_since_.find(worker.listed.data_centre);
    if (out != out_since_.end() &&
        now - out->second > settings_.late_start_grace)
    {
        ++books_.late_starts;
    }
}

// A resume is a second one where the first resumer still runs or did the work.
// Resuming again what a failed or expired attempt had resumed is recovery.
double worker_pool::resume_from(ports::worker_start const& call)
{
    auto const found = checkpoints_.find(call.checkpoint);
    if (call.checkpoint.empty() || found == checkpoints_.end())
    {
        return 0;
    }
    auto& kept = found->second;
    ++books_.resumed;
    bool const again = kept.resumed_by && *kept.resumed_by != call.attempt_id;
    if (again && (kept.resumer_finished || is_running(*kept.resumed_by)))
    {
        ++books_.resumed_twice;
    }
    kept.resumed_by = call.attempt_id;
    return kept.work_done_ms;
}

bool worker_pool::is_running(ports::task_attempt const& what) const
{
    auto const places = running_.find(what.task);
    return places != running_.end() && std::any_of(places->second.begin(),
                                                   places->second.end(),
                                                   [&](place const& each)
                                                   {
                                                       return each.what == what;
                                                   });
}

void worker_pool::settle(core::common::time_point now, std::string const& task)
{
    auto const places = running_.find(task);
    if (places == running_.end())
    {
        return;
    }
    auto const copy = places->second;
    for (auto const& each : copy)
    {
        advance(each.worker, now);
    }
}

worker_pool::attempt_record*
worker_pool::running_attempt(core::common::time_point now,
                             std::size_t worker,
                             ports::task_attempt const& what)
{
    advance(worker, now);
    auto const found = workers_[worker].attempts.find(what);
    bool const runs = found != workers_[worker].attempts.end() &&
                      found->second.state == attempt_state::running;
    return runs ? &found->second : nullptr;
}

call_result worker_pool::renew(core::common::time_point now,
                               std::size_t worker,
                               ports::worker_renew const& call)
{
    call_result result;
    for (auto const& what : call.attempts)
    {
        auto* attempt = running_attempt(now, worker, what);
        if (attempt == nullptr)
        {
            result.unknown_attempts.push_back(what);
            continue;
        }
        attempt->lease_until_ms =
            std::max(attempt->lease_until_ms, call.lease_until_ms);
    }
    return result;
}

call_result worker_pool::throttle(core::common::time_point now,
                                  std::size_t worker,
                                  ports::worker_throttle const& call)
{
    auto* attempt = running_attempt(now, worker, call.attempt_id);
    if (attempt == nullptr)
    {
        return {false, "it does not run here", {}, {}};
    }
    attempt->permille = call.permille;
    measure(workers_[worker], now);
    return {};
}

call_result worker_pool::checkpoint(core::common::time_point now,
                                    std::size_t worker,
                                    ports::worker_checkpoint const& call)
{
    auto* attempt = running_attempt(now, worker, call.attempt_id);
    if (attempt == nullptr)
    {
        return {false, "it does not run here", {}, {}};
    }
    auto id = "checkpoint-" + std::to_string(++checkpoint_number_);
    checkpoints_[id] = {
        call.attempt_id, attempt->work_done_ms, std::nullopt, false};
    checkpoint_order_.push_back(id);
    if (checkpoint_order_.size() > settings_.checkpoints)
    {
        checkpoints_.erase(checkpoint_order_.front());
        checkpoint_order_.pop_front();
    }
    ++books_.checkpoints;
    return {true, {}, std::move(id), {}};
}

call_result worker_pool::stop(core::common::time_point now,
                              std::size_t worker,
                              ports::worker_stop const& call)
{
    auto* attempt = running_attempt(now, worker, call.attempt_id);
    auto& at = workers_[worker];
    if (attempt != nullptr)
    {
        end_attempt(*attempt, attempt_state::stopped, now, {});
        measure(at, now);
    }
    else if (!at.attempts.contains(call.attempt_id))
    {
        bar(at, call.attempt_id);
    }
    return {};
}

void worker_pool::bar(worker_record& worker, ports::task_attempt const& what)
{
    if (!worker.barred.insert(what).second)
    {
        return;
    }
    worker.barred_order.push_back(what);
    if (worker.barred_order.size() > settings_.attempts_per_worker)
    {
        worker.barred.erase(worker.barred_order.front());
        worker.barred_order.pop_front();
    }
}

void worker_pool::lose_all(worker_record& worker)
{
    for (auto const& [what, attempt] : worker.attempts)
    {
        if (attempt.state == attempt_state::running)
        {
            forget_running(what);
            --books_.running;
            ++books_.lost;
        }
    }
    worker.attempts.clear();
    worker.barred.clear();
    worker.barred_order.clear();
    worker.reports.clear();
}

bool worker_pool::set_faults(core::common::time_point now,
                             std::string_view id,
                             worker_faults const& faults)
{
    bool found = false;
    for (std::size_t worker = 0; worker < workers_.size(); ++worker)
    {
        auto& at = workers_[worker];
        if (id != "*" && at.listed.id != id)
        {
            continue;
        }
        found = true;
        advance(worker, now);
        at.fail_starts = faults.fail_starts.value_or(at.fail_starts);
        at.frozen = faults.freeze.value_or(at.frozen);
        at.report_lag = faults.report_lag.value_or(at.report_lag);
        at.noise = faults.noise.value_or(at.noise);
        if (faults.crashed && *faults.crashed && !at.crashed)
        {
            lose_all(at);
        }
        at.crashed = faults.crashed.value_or(at.crashed);
        at.advanced = now;
    }
    return found;
}

bool worker_pool::frozen(std::size_t worker) const
{
    return workers_[worker].frozen;
}

bool worker_pool::crashed(std::size_t worker) const
{
    return workers_[worker].crashed;
}

void worker_pool::set_data_centre_out_of_service(core::common::time_point now,
                                                 std::string const& name,
                                                 bool out)
{
    constexpr std::size_t max_data_centres = 1'000;
    if (!out)
    {
        out_since_.erase(name);
    }
    else if (out_since_.size() < max_data_centres)
    {
        out_since_.emplace(name, now);
    }
}

worker_counters const& worker_pool::counters() const noexcept
{
    return books_;
}

} // namespace fuchsia::standins::workers
