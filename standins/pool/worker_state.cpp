#include "standins/pool/worker_state.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace fuchsia::standins::pool
{

using core::common::time_point;
using core::common::to_milliseconds;
using ports::end_kind;
using ports::order_reply;
using ports::order_status;

namespace
{

// Clocks of workers start anywhere but at 0, which stands for "not told".
constexpr std::uint64_t clock_start_ms = 1000;

std::uint64_t fence_of(ports::pool_operation const& order)
{
    return std::visit(
        [](auto const& each)
        {
            return each.fencing_token;
        },
        order);
}

// The number behind `name` in a script; `fallback` where it is not there.
std::uint64_t
number_in(std::string_view spec, std::string_view name, std::uint64_t fallback)
{
    auto const at = spec.find(name);
    if (at == std::string_view::npos)
    {
        return fallback;
    }
    auto const number = spec.substr(at + name.size());
    std::uint64_t made = fallback;
    std::from_chars(number.data(), number.data() + number.size(), made);
    return made;
}

} // namespace

task_script parse_task_script(std::string_view spec)
{
    task_script made;
    made.fails = spec.find("fail") != std::string_view::npos;
    made.fails_once = spec.find("fail_first") != std::string_view::npos;
    made.runs_until_stopped = spec.find("lasts") != std::string_view::npos;
    made.work_ms = number_in(spec, "work=", made.work_ms);
    made.tail_latency_ms = number_in(spec, "tail=", 0);
    made.neighbour_latency_ms = number_in(spec, "strain=", 0);
    made.millicores = number_in(spec, "cores=", 0);
    return made;
}

worker_state::worker_state(ports::pool_worker info,
                           time_point born,
                           double speed)
    : info_(std::move(info)), born_(born), speed_(speed)
{
}

void worker_state::observe(std::function<void(worker_event const&)> tell)
{
    observer_ = std::move(tell);
}

void worker_state::tell(worker_event_kind when,
                        ports::pool_attempt const& what,
                        end_kind how) const
{
    if (observer_)
    {
        observer_({when, what, how, fence_});
    }
}

std::uint64_t worker_state::clock_ms(time_point now) const noexcept
{
    auto const age = static_cast<double>(to_milliseconds(now - born_));
    return clock_start_ms + static_cast<std::uint64_t>(age * speed_);
}

order_reply worker_state::apply(time_point now,
                                ports::pool_operation const& order)
{
    advance(now);
    order_reply made;
    made.clock_ms = clock_ms(now);
    made.incarnation = info_.incarnation;
    if (fence_of(order) < fence_)
    {
        made.status = order_status::stale_fencing_token;
        return made;
    }
    fence_ = fence_of(order);
    made.status = order_status::done;
    if (auto const* const hold = std::get_if<ports::poll_order>(&order))
    {
        extend(hold->lease_until_ms);
        list(now, *hold, made);
    }
    else if (auto const* const begin = std::get_if<ports::start_order>(&order))
    {
        made.status = start(now, *begin);
    }
    else if (auto const* const halt = std::get_if<ports::stop_order>(&order))
    {
        stop(*halt);
    }
    return made;
}

void worker_state::advance(time_point now)
{
    std::vector<std::pair<ports::task_name, end_kind>> over;
    bool const lapsed = clock_ms(now) >= lease_ms_;
    for (auto const& [task, each] : running_)
    {
        bool const done =
            !each.script.runs_until_stopped &&
            now - each.began >= std::chrono::milliseconds(each.script.work_ms);
        if (done)
        {
            bool const fails = each.script.fails &&
                               (!each.script.fails_once || each.attempt == 1);
            over.emplace_back(task, fails ? end_kind::failed : end_kind::done);
        }
        else if (lapsed)
        {
            over.emplace_back(task, end_kind::lease_expired);
        }
    }
    for (auto const& [task, how] : over)
    {
        end(task, how);
    }
    outlived_end_ = lapsed ? last_end_ : outlived_end_;
}

order_status worker_state::start(time_point now,
                                 ports::start_order const& order)
{
    auto const& task = order.attempt_id.task;
    auto const present = running_.find(task);
    if (present != running_.end() &&
        present->second.attempt == order.attempt_id.attempt)
    {
        return order_status::done;
    }
    auto const settled = settled_.find(task);
    bool const old = present != running_.end() ||
                     (settled != settled_.end() &&
                      settled->second >= order.attempt_id.attempt);
    if (old)
    {
        return order_status::superseded;
    }
    if (order.lease_until_ms <= clock_ms(now))
    {
        return order_status::lease_expired;
    }
    extend(order.lease_until_ms);
    running_[task] = {
        order.attempt_id.attempt, now, parse_task_script(order.spec)};
    begun_.push_back(order.attempt_id);
    tell(worker_event_kind::started, order.attempt_id);
    return order_status::done;
}

void worker_state::stop(ports::stop_order const& order)
{
    auto const& task = order.attempt_id.task;
    auto& settled = settled_[task];
    settled = std::max(settled, order.attempt_id.attempt);
    auto const present = running_.find(task);
    if (present != running_.end() &&
        present->second.attempt <= order.attempt_id.attempt)
    {
        end(task, end_kind::stopped);
    }
}

std::uint32_t worker_state::percent_of(run const& of, time_point now)
{
    if (of.script.runs_until_stopped)
    {
        return 100;
    }
    auto const worked =
        static_cast<std::uint64_t>(to_milliseconds(now - of.began));
    return static_cast<std::uint32_t>(
        100 * worked / std::max<std::uint64_t>(of.script.work_ms, 1));
}

void worker_state::list(time_point now,
                        ports::poll_order const& order,
                        order_reply& out)
{
    auto const known = [&order](ports::ended_attempt const& row)
    {
        return row.sequence <= order.acknowledged_end;
    };
    for (auto const& row : ended_)
    {
        if (known(row))
        {
            acknowledged_.push_back(row);
            if (row.sequence > outlived_end_)
            {
                tell(worker_event_kind::acknowledged, row.attempt_id, row.kind);
            }
        }
    }
    std::erase_if(ended_, known);
    for (auto const& [task, each] : running_)
    {
        out.running.push_back(
            {{task, each.attempt}, "", percent_of(each, now), level_of(each)});
    }
    out.ended = ended_;
}

// The tail of a task that serves, the cores in use of any other.
std::int64_t worker_state::level_of(run const& of) const
{
    if (of.script.tail_latency_ms == 0)
    {
        return static_cast<std::int64_t>(of.script.millicores);
    }
    auto tail = of.script.tail_latency_ms;
    for (auto const& [task, each] : running_)
    {
        tail += each.script.neighbour_latency_ms;
    }
    return static_cast<std::int64_t>(tail);
}

void worker_state::end(ports::task_name const& task, end_kind how)
{
    auto const found = running_.find(task);
    auto const attempt = found->second.attempt;
    running_.erase(found);
    auto& settled = settled_[task];
    settled = std::max(settled, attempt);
    ended_.push_back({++last_end_, {task, attempt}, how, ""});
    tell(worker_event_kind::ended, {task, attempt}, how);
}

void worker_state::extend(std::uint64_t until_ms) noexcept
{
    lease_ms_ = std::max(lease_ms_, until_ms);
}

ports::pool_worker const& worker_state::info() const noexcept
{
    return info_;
}

bool worker_state::runs(ports::task_name const& task) const
{
    return running_.contains(task);
}

std::size_t worker_state::running() const noexcept
{
    return running_.size();
}

std::vector<ports::ended_attempt> const&
worker_state::acknowledged_ends() const noexcept
{
    return acknowledged_;
}

std::vector<ports::pool_attempt> const&
worker_state::started_runs() const noexcept
{
    return begun_;
}

void worker_state::drain() noexcept
{
    info_.draining = true;
}

} // namespace fuchsia::standins::pool
