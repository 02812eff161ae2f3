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
    machine_running_.resize(machines);
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
                                    [id](auto const& each)
                                    {
                                        return each.id == id;
                                    });
    if (found == executors_.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - executors_.begin());
}

work upstream_pool::begin(core::common::time_point now,
                          std::size_t executor,
                          work_request const& what)
{
    auto& at = executors_[executor];
    ++books_.received;
    if (chance(at.refuse_permille))
    {
        ++books_.refused;
        return {work_outcome::refused, {}};
    }
    if (at.left && now - *at.left > settings_.leaving_grace)
    {
        ++books_.started_after_leaving;
    }
    ++at.running;
    ++machine_running_[at.machine];
    ++books_.running;
    if (at.running > settings_.slots)
    {
        ++books_.over_capacity;
    }
    note_key(what);
    work begun{work_outcome::complete, draw_time(at, what)};
    if (chance(at.fail_permille))
    {
        begun.outcome = work_outcome::failed;
    }
    else if (chance(at.partial_permille))
    {
        begun.outcome = work_outcome::partial;
    }
    return begun;
}

void upstream_pool::end(std::size_t executor, work_outcome how)
{
    auto& at = executors_[executor];
    --at.running;
    --machine_running_[at.machine];
    --books_.running;
    books_.answered += how == work_outcome::complete ? 1 : 0;
    books_.failed += how == work_outcome::failed ? 1 : 0;
    books_.partial += how == work_outcome::partial ? 1 : 0;
}

// Only POST: the other methods may be repeated, key or no key.
void upstream_pool::note_key(work_request const& what)
{
    if (what.idempotency_key.empty() || what.method != "POST")
    {
        return;
    }
    auto const key = core::common::hash_of(
        what.idempotency_key, core::common::hash_of(what.customer));
    if (!keys_.insert(key).second)
    {
        ++books_.duplicate_runs;
        return;
    }
    key_order_.push_back(key);
    if (key_order_.size() > settings_.keys)
    {
        keys_.erase(key_order_.front());
        key_order_.pop_front();
    }
}

core::common::duration upstream_pool::draw_time(executor_state const& executor,
                                                work_request const& what)
{
    auto const& base = what.kind == ports::request_class::batch
                           ? settings_.batch
                           : settings_.latency_critical;
    std::lognormal_distribution<double> draw(std::log(base.median_ms),
                                             base.sigma);
    double time = std::min(draw(random_), base.max_ms);
    for (auto const& path : settings_.paths)
    {
        time *= what.target.starts_with(path.prefix) ? path.factor : 1.0;
    }
    double const neighbours =
        static_cast<double>(machine_running_[executor.machine] - 1) /
        (settings_.per_machine * settings_.slots);
    time *= 1.0 + settings_.interference * neighbours;
    // Requests beyond the slots share what the slots have.
    time *=
        std::max(1.0, static_cast<double>(executor.running) / settings_.slots);
    time *= executor.slow_factor;
    return core::common::duration(static_cast<std::int64_t>(time * 1'000.0));
}

bool upstream_pool::chance(std::uint32_t permille)
{
    constexpr std::uint32_t whole = 1'000;
    return permille > 0 && random_() % whole < permille;
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
            executor.left.reset();
        }
        else if (faults.leaving && !executor.left)
        {
            executor.left = now;
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
    return executors_[executor].left.has_value();
}

std::uint32_t upstream_pool::running(std::size_t executor) const
{
    return executors_[executor].running;
}

upstream_counters const& upstream_pool::counters() const noexcept
{
    return books_;
}

} // namespace fuchsia::standins::upstreams
