#include "standins/workers/worker_pool.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::standins::workers
{

namespace
{

using ports::attempt_state;

// Maximum initial reading of a worker clock. Clocks start at different
// readings, so that a reading taken from one worker is clearly wrong on
// another.
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
        worker.instance.id = worker_name(number);
        auto const rack = number / settings_.per_rack;
        worker.instance.rack = rack_name(rack);
        auto const& names = settings_.data_centres;
        worker.instance.data_centre =
            names.empty() ? "" : names[rack % names.size()];
        worker.instance.capacity = settings_.capacity;
        if (settings_.accelerator_every > 0 &&
            number % settings_.accelerator_every == 0)
        {
            worker.instance.capacity.accelerators = settings_.accelerators;
        }
        auto const hash = core::common::hash_of(worker.instance.id,
                                                settings_.interference.seed);
        worker.clock_offset_ms =
            static_cast<std::int64_t>(hash % max_clock_offset_ms);
        worker.clock_drift_ppm =
            static_cast<std::int64_t>(hash >> 32) % (2 * drift + 1) - drift;
        worker.advanced_until = start;
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
                                    [id](auto const& candidate)
                                    {
                                        return candidate.instance.id == id;
                                    });
    if (found == workers_.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - workers_.begin());
}

std::vector<ports::worker_instance> worker_pool::list() const
{
    std::vector<ports::worker_instance> instances;
    for (auto const& worker : workers_)
    {
        if (!worker.crashed)
        {
            instances.push_back(worker.instance);
        }
    }
    return instances;
}

std::vector<ports::worker_report>
worker_pool::reports(core::common::time_point now, std::string_view rack) const
{
    std::vector<ports::worker_report> newest;
    for (auto const& worker : workers_)
    {
        if (!rack.empty() && worker.instance.rack != rack)
        {
            continue;
        }
        auto const visible = std::find_if(
            worker.reports.rbegin(),
            worker.reports.rend(),
            [&](auto const& published)
            {
                return published.published_at + worker.report_lag <= now;
            });
        if (visible != worker.reports.rend())
        {
            newest.push_back(visible->report);
        }
    }
    return newest;
}

std::uint64_t worker_pool::clock_ms(std::size_t worker,
                                    core::common::time_point now) const
{
    constexpr std::int64_t parts_per_million = 1'000'000;
    auto const& w = workers_[worker];
    auto const elapsed_us = (now - start_).count();
    auto const worker_elapsed_us =
        elapsed_us + elapsed_us * w.clock_drift_ppm / parts_per_million;
    return static_cast<std::uint64_t>(w.clock_offset_ms +
                                      worker_elapsed_us / 1'000);
}

call_result worker_pool::start(core::common::time_point now,
                               std::size_t worker,
                               ports::worker_start const& call)
{
    advance(worker, now);
    auto& w = workers_[worker];
    if (w.attempts.contains(call.attempt_id))
    {
        return {};
    }
    auto const refusal = refusal_of(w, clock_ms(worker, now), call);
    if (refusal)
    {
        ++counters_.refused;
        return {false, *refusal, {}, {}};
    }
    advance_task(now, call.attempt_id.task);
    note_violations(now, w, call);
    ++counters_.starts;
    ++counters_.running;
    running_[call.attempt_id.task].push_back({worker, call.attempt_id});
    attempt_record attempt;
    attempt.call = call;
    attempt.lease_until_ms = call.lease_until_ms;
    attempt.work_done_ms = resume_from(call);
    auto const& failing_classes = settings_.failing_classes;
    bool const class_fails =
        std::find(failing_classes.begin(),
                  failing_classes.end(),
                  call.task_class) != failing_classes.end();
    attempt.fails_next = w.fail_starts || class_fails;
    attempt.why = w.fail_starts ? "the worker fails every start"
                  : class_fails ? "the task's program fails"
                                : "";
    w.attempts.emplace(call.attempt_id, std::move(attempt));
    measure(w, now);
    return {};
}

std::optional<std::string>
worker_pool::refusal_of(worker_record const& worker,
                        std::uint64_t clock,
                        ports::worker_start const& call) const
{
    if (worker.refused_starts.contains(call.attempt_id))
    {
        return "the attempt was stopped before its start arrived";
    }
    if (clock > call.start_before_ms)
    {
        return "the start arrived after start_before_ms";
    }
    if (clock >= call.lease_until_ms)
    {
        return "the lease is over";
    }
    if (worker.attempts.size() >= settings_.attempts_per_worker)
    {
        return "too many attempts are listed on this worker";
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
    auto const locations = running_.find(call.attempt_id.task);
    if (locations != running_.end() && !locations->second.empty())
    {
        ++counters_.concurrent_attempts;
    }
    ports::resources declared_sum = call.declared;
    for (auto const& [attempt_id, attempt] : worker.attempts)
    {
        if (attempt.state == attempt_state::running)
        {
            declared_sum += attempt.call.declared;
        }
    }
    if (!worker.instance.capacity.covers(declared_sum))
    {
        ++counters_.over_capacity;
    }
    auto const out_of_service =
        out_of_service_since_.find(worker.instance.data_centre);
    if (out_of_service != out_of_service_since_.end() &&
        now - out_of_service->second > settings_.late_start_grace)
    {
        ++counters_.late_starts;
    }
}

// Returns the work that the checkpoint holds. A repeated resume counts as a
// violation only if the first resuming attempt still runs or has finished.
// After a failed or expired attempt it is a normal recovery.
double worker_pool::resume_from(ports::worker_start const& call)
{
    auto const found = checkpoints_.find(call.checkpoint);
    if (call.checkpoint.empty() || found == checkpoints_.end())
    {
        return 0;
    }
    auto& record = found->second;
    ++counters_.resumed;
    bool const repeated =
        record.resumed_by && *record.resumed_by != call.attempt_id;
    if (repeated && (record.resumer_finished || is_running(*record.resumed_by)))
    {
        ++counters_.resumed_twice;
    }
    record.resumed_by = call.attempt_id;
    return record.work_done_ms;
}

bool worker_pool::is_running(ports::task_attempt const& attempt_id) const
{
    auto const locations = running_.find(attempt_id.task);
    return locations != running_.end() &&
           std::any_of(locations->second.begin(),
                       locations->second.end(),
                       [&](task_location const& location)
                       {
                           return location.attempt_id == attempt_id;
                       });
}

void worker_pool::advance_task(core::common::time_point now,
                               std::string const& task)
{
    auto const locations = running_.find(task);
    if (locations == running_.end())
    {
        return;
    }
    auto const copy = locations->second;
    for (auto const& location : copy)
    {
        advance(location.worker, now);
    }
}

worker_pool::attempt_record*
worker_pool::running_attempt(core::common::time_point now,
                             std::size_t worker,
                             ports::task_attempt const& attempt_id)
{
    advance(worker, now);
    auto const found = workers_[worker].attempts.find(attempt_id);
    bool const runs = found != workers_[worker].attempts.end() &&
                      found->second.state == attempt_state::running;
    return runs ? &found->second : nullptr;
}

call_result worker_pool::renew(core::common::time_point now,
                               std::size_t worker,
                               ports::worker_renew const& call)
{
    call_result result;
    for (auto const& attempt_id : call.attempts)
    {
        auto* attempt = running_attempt(now, worker, attempt_id);
        if (attempt == nullptr)
        {
            result.unknown_attempts.push_back(attempt_id);
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
        return {false, "the attempt is not running on this worker", {}, {}};
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
        return {false, "the attempt is not running on this worker", {}, {}};
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
    ++counters_.checkpoints;
    return {true, {}, std::move(id), {}};
}

call_result worker_pool::stop(core::common::time_point now,
                              std::size_t worker,
                              ports::worker_stop const& call)
{
    auto* attempt = running_attempt(now, worker, call.attempt_id);
    auto& w = workers_[worker];
    if (attempt != nullptr)
    {
        end_attempt(*attempt, attempt_state::stopped, now, {});
        measure(w, now);
    }
    else if (!w.attempts.contains(call.attempt_id))
    {
        refuse_start(w, call.attempt_id);
    }
    return {};
}

void worker_pool::refuse_start(worker_record& worker,
                               ports::task_attempt const& attempt_id)
{
    if (!worker.refused_starts.insert(attempt_id).second)
    {
        return;
    }
    worker.refused_order.push_back(attempt_id);
    if (worker.refused_order.size() > settings_.attempts_per_worker)
    {
        worker.refused_starts.erase(worker.refused_order.front());
        worker.refused_order.pop_front();
    }
}

void worker_pool::drop_all_attempts(worker_record& worker)
{
    for (auto const& [attempt_id, attempt] : worker.attempts)
    {
        if (attempt.state == attempt_state::running)
        {
            remove_running(attempt_id);
            --counters_.running;
            ++counters_.lost;
        }
    }
    worker.attempts.clear();
    worker.refused_starts.clear();
    worker.refused_order.clear();
    worker.reports.clear();
}

bool worker_pool::set_faults(core::common::time_point now,
                             std::string_view id,
                             worker_faults const& faults)
{
    bool found = false;
    for (std::size_t worker = 0; worker < workers_.size(); ++worker)
    {
        auto& w = workers_[worker];
        if (id != "*" && w.instance.id != id)
        {
            continue;
        }
        found = true;
        advance(worker, now);
        w.fail_starts = faults.fail_starts.value_or(w.fail_starts);
        w.frozen = faults.freeze.value_or(w.frozen);
        w.report_lag = faults.report_lag.value_or(w.report_lag);
        w.noise = faults.noise.value_or(w.noise);
        if (faults.crashed && *faults.crashed && !w.crashed)
        {
            drop_all_attempts(w);
        }
        w.crashed = faults.crashed.value_or(w.crashed);
        w.advanced_until = now;
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
                                                 bool out_of_service)
{
    constexpr std::size_t max_data_centres = 1'000;
    if (!out_of_service)
    {
        out_of_service_since_.erase(name);
    }
    else if (out_of_service_since_.size() < max_data_centres)
    {
        out_of_service_since_.emplace(name, now);
    }
}

worker_counters const& worker_pool::counters() const noexcept
{
    return counters_;
}

} // namespace fuchsia::standins::workers
