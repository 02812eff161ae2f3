#include "standins/upstreams/upstream_pool.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsia::standins::upstreams
{

upstream_pool::upstream_pool(upstream_pool_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed)
{
    auto const machines = settings_.count / settings_.per_machine + 1;
    running_per_machine_.resize(machines);
    for (std::uint32_t number = 0; number < settings_.count; ++number)
    {
        executor_state executor;
        executor.id = "upstream-" + std::to_string(number + 1);
        executor.machine = number / settings_.per_machine;
        auto const& names = settings_.data_centres;
        executor.data_centre =
            names.empty() ? "" : names[executor.machine % names.size()];
        executors_.push_back(std::move(executor));
    }
}

std::size_t upstream_pool::size() const noexcept
{
    return executors_.size();
}

std::string const& upstream_pool::id(std::size_t executor) const
{
    return executors_[executor].id;
}

std::string const& upstream_pool::data_centre(std::size_t executor) const
{
    return executors_[executor].data_centre;
}

std::optional<std::size_t> upstream_pool::find(std::string_view id) const
{
    auto const found = std::find_if(executors_.begin(),
                                    executors_.end(),
                                    [id](auto const& candidate)
                                    {
                                        return candidate.id == id;
                                    });
    if (found == executors_.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - executors_.begin());
}

work upstream_pool::begin(core::common::time_point now,
                          std::size_t executor,
                          work_request const& request)
{
    auto& state = executors_[executor];
    ++counters_.received;
    if (chance(state.refuse_permille))
    {
        ++counters_.refused;
        return {work_outcome::refused, {}};
    }
    if (state.left_at && now - *state.left_at > settings_.leaving_grace)
    {
        ++counters_.started_after_leaving;
    }
    ++state.running;
    ++running_per_machine_[state.machine];
    ++counters_.running;
    if (state.running > settings_.slots)
    {
        ++counters_.over_capacity;
    }
    record_key(request);
    work started{work_outcome::complete, draw_service_time(state, request)};
    if (chance(state.fail_permille))
    {
        started.outcome = work_outcome::failed;
    }
    else if (chance(state.partial_permille))
    {
        started.outcome = work_outcome::partial;
    }
    return started;
}

void upstream_pool::end(std::size_t executor, work_outcome outcome)
{
    auto& state = executors_[executor];
    --state.running;
    --running_per_machine_[state.machine];
    --counters_.running;
    counters_.answered += outcome == work_outcome::complete ? 1 : 0;
    counters_.failed += outcome == work_outcome::failed ? 1 : 0;
    counters_.partial += outcome == work_outcome::partial ? 1 : 0;
}

// Only POST requests are recorded: requests of the other methods may be
// repeated with or without a key.
void upstream_pool::record_key(work_request const& request)
{
    if (request.idempotency_key.empty() || request.method != "POST")
    {
        return;
    }
    auto const key = core::common::hash_of(
        request.idempotency_key, core::common::hash_of(request.customer));
    if (!seen_keys_.insert(key).second)
    {
        ++counters_.duplicate_runs;
        return;
    }
    key_order_.push_back(key);
    if (key_order_.size() > settings_.keys)
    {
        seen_keys_.erase(key_order_.front());
        key_order_.pop_front();
    }
}

core::common::duration
upstream_pool::draw_service_time(executor_state const& executor,
                                 work_request const& request)
{
    auto const& base = request.kind == ports::request_class::batch
                           ? settings_.batch
                           : settings_.latency_critical;
    std::lognormal_distribution<double> draw(std::log(base.median_ms),
                                             base.sigma);
    double time = std::min(draw(random_), base.max_ms);
    for (auto const& path : settings_.paths)
    {
        time *= request.target.starts_with(path.prefix) ? path.factor : 1.0;
    }
    double const neighbours =
        static_cast<double>(running_per_machine_[executor.machine] - 1) /
        (settings_.per_machine * settings_.slots);
    time *= 1.0 + settings_.interference * neighbours;
    // When requests outnumber the slots, they share the capacity of the slots.
    time *=
        std::max(1.0, static_cast<double>(executor.running) / settings_.slots);
    time *= executor.slow_factor;
    return core::common::duration(static_cast<std::int64_t>(time * 1'000.0));
}

bool upstream_pool::chance(std::uint32_t permille)
{
    constexpr std::uint32_t permille_base = 1'000;
    return permille > 0 && random_() % permille_base < permille;
}

bool upstream_pool::set_faults(core::common::time_point now,
                               std::string_view id,
                               upstream_faults const& faults)
{
    bool found = false;
    for (auto& executor : executors_)
    {
        if (id != "*" && executor.id != id)
        {
            continue;
        }
        found = true;
        executor.frozen = faults.freeze.value_or(executor.frozen);
        executor.refuse_permille =
            faults.refuse_permille.value_or(executor.refuse_permille);
        executor.fail_permille =
            faults.fail_permille.value_or(executor.fail_permille);
        executor.partial_permille =
            faults.partial_permille.value_or(executor.partial_permille);
        executor.slow_factor =
            faults.slow_factor.value_or(executor.slow_factor);
        if (faults.leaving && !*faults.leaving)
        {
            executor.left_at.reset();
        }
        else if (faults.leaving && !executor.left_at)
        {
            executor.left_at = now;
        }
    }
    return found;
}

bool upstream_pool::frozen(std::size_t executor) const
{
    return executors_[executor].frozen;
}

bool upstream_pool::leaving(std::size_t executor) const
{
    return executors_[executor].left_at.has_value();
}

std::uint32_t upstream_pool::running(std::size_t executor) const
{
    return executors_[executor].running;
}

upstream_counters const& upstream_pool::counters() const noexcept
{
    return counters_;
}

} // namespace fuchsia::standins::upstreams
