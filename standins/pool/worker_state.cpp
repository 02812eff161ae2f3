#include "standins/pool/worker_state.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
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

// Clock of a new worker. It is not 0, because the pool treats clock 0 as
// unknown.
constexpr std::uint64_t clock_start_ms = 1000;

std::uint64_t fencing_token_of(ports::pool_operation const& order)
{
    return std::visit(
        [](auto const& typed_order)
        {
            return typed_order.fencing_token;
        },
        order);
}

// Returns the number after `name` in a task's spec, or `fallback` if there is
// none.
std::uint64_t
number_in(std::string_view spec, std::string_view name, std::uint64_t fallback)
{
    auto const position = spec.find(name);
    if (position == std::string_view::npos)
    {
        return fallback;
    }
    auto const number = spec.substr(position + name.size());
    std::uint64_t value = fallback;
    std::from_chars(number.data(), number.data() + number.size(), value);
    return value;
}

// Returns the percentage after `name` in a task's spec as a share; empty if
// there is none.
std::optional<double> percent_in(std::string_view spec, std::string_view name)
{
    constexpr auto missing = std::numeric_limits<std::uint64_t>::max();
    auto const percent = number_in(spec, name, missing);
    return percent == missing
               ? std::nullopt
               : std::optional(static_cast<double>(percent) / 100);
}

std::optional<user_load> parse_users(std::string_view spec)
{
    auto const mean = percent_in(spec, "load=");
    if (!mean)
    {
        return std::nullopt;
    }
    return user_load{
        *mean,
        percent_in(spec, "swing=").value_or(0),
        std::chrono::milliseconds(number_in(spec, "swing_ms=", 0))};
}

std::uint64_t seed_of(ports::pool_attempt const& attempt)
{
    std::uint64_t seed = attempt.attempt;
    for (auto const letter : attempt.task.job)
    {
        seed = seed * 31 + static_cast<unsigned char>(letter);
    }
    return seed * 31 + attempt.task.index;
}

} // namespace

task_script parse_task_script(std::string_view spec)
{
    task_script script;
    script.fails = spec.find("fail") != std::string_view::npos;
    script.fails_once = spec.find("fail_first") != std::string_view::npos;
    script.runs_until_stopped = spec.find("lasts") != std::string_view::npos;
    script.work_ms = number_in(spec, "work=", script.work_ms);
    script.tail_latency_ms = number_in(spec, "tail=", 0);
    script.neighbour_latency_ms = number_in(spec, "strain=", 0);
    script.users = parse_users(spec);
    script.measurement_error = percent_in(spec, "error=").value_or(0);
    script.pressure = percent_in(spec, "press=");
    script.millicores = number_in(spec, "cores=", 0);
    script.crashes = spec.find("crash") != std::string_view::npos;
    script.crash_after_ms =
        number_in(spec, "crash_after=", script.crash_after_ms);
    constexpr auto no_index = std::numeric_limits<std::uint64_t>::max();
    auto const crash_index = number_in(spec, "crash_index=", no_index);
    if (crash_index != no_index)
    {
        script.crash_index = crash_index;
    }
    return script;
}

worker_state::worker_state(ports::pool_worker info,
                           time_point born,
                           double speed)
    : info_(std::move(info)), born_(born), speed_(speed)
{
}

void worker_state::observe(std::function<void(worker_event const&)> callback)
{
    observer_ = std::move(callback);
}

void worker_state::notify(worker_event_kind kind,
                          ports::pool_attempt const& attempt,
                          end_kind end_result,
                          bool lease_expired) const
{
    if (observer_)
    {
        observer_({kind, attempt, end_result, fencing_token_, lease_expired});
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
    order_reply reply;
    reply.clock_ms = clock_ms(now);
    reply.incarnation = info_.incarnation;
    if (fencing_token_of(order) < fencing_token_)
    {
        reply.status = order_status::stale_fencing_token;
        return reply;
    }
    fencing_token_ = fencing_token_of(order);
    reply.status = order_status::done;
    if (auto const* const poll = std::get_if<ports::poll_order>(&order))
    {
        extend(now, poll->lease_until_ms);
        report(*poll, reply);
    }
    else if (auto const* const start_call =
                 std::get_if<ports::start_order>(&order))
    {
        reply.status = start(now, *start_call);
    }
    else if (auto const* const stop_call =
                 std::get_if<ports::stop_order>(&order))
    {
        stop(*stop_call);
    }
    else if (auto const* const limit_call =
                 std::get_if<ports::speed_limit_order>(&order))
    {
        limit_speed(now, *limit_call);
    }
    return reply;
}

void worker_state::advance(time_point now)
{
    work(now);
    measure(now);
    std::vector<std::pair<ports::task_name, end_kind>> ends;
    bool const lease_expired = clock_ms(now) >= lease_until_ms_;
    for (auto const& [task, run] : running_)
    {
        bool const done =
            !run.script.runs_until_stopped &&
            run.worked >= std::chrono::milliseconds(run.script.work_ms);
        if (done)
        {
            bool const fails = run.script.fails &&
                               (!run.script.fails_once || run.attempt == 1);
            ends.emplace_back(task, fails ? end_kind::failed : end_kind::done);
        }
        else if (lease_expired)
        {
            ends.emplace_back(task, end_kind::lease_expired);
        }
    }
    for (auto const& [task, end_result] : ends)
    {
        end(task, end_result);
    }
    last_end_before_expiry_ =
        lease_expired ? last_end_sequence_ : last_end_before_expiry_;
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
    auto const highest_ended = highest_ended_attempt_.find(task);
    bool const superseded = present != running_.end() ||
                            (highest_ended != highest_ended_attempt_.end() &&
                             highest_ended->second >= order.attempt_id.attempt);
    if (!superseded && order.lease_until_ms <= clock_ms(now))
    {
        return order_status::lease_expired;
    }
    extend(now, order.lease_until_ms);
    if (superseded)
    {
        return order_status::superseded;
    }
    auto const script = parse_task_script(order.spec);
    running_.erase(task);
    running_.emplace(
        task,
        run{order.attempt_id.attempt,
            now,
            script,
            order.spec,
            {},
            {},
            {seed_of(order.attempt_id), script.measurement_error}});
    started_runs_.push_back(order.attempt_id);
    notify(worker_event_kind::started, order.attempt_id);
    return order_status::done;
}

void worker_state::stop(ports::stop_order const& order)
{
    auto const& task = order.attempt_id.task;
    auto& highest_ended = highest_ended_attempt_[task];
    highest_ended = std::max(highest_ended, order.attempt_id.attempt);
    auto const present = running_.find(task);
    if (present != running_.end() &&
        present->second.attempt <= order.attempt_id.attempt)
    {
        end(task, end_kind::stopped);
    }
}

void worker_state::limit_speed(time_point now,
                               ports::speed_limit_order const& order)
{
    auto const present = running_.find(order.attempt_id.task);
    if (present != running_.end() &&
        present->second.attempt == order.attempt_id.attempt)
    {
        present->second.speed.limit(now, order.percent);
    }
}

void worker_state::work(time_point now)
{
    auto const elapsed = now - worked_until_;
    for (auto& [task, run] : running_)
    {
        run.worked += std::chrono::duration_cast<core::common::duration>(
            std::min(elapsed, now - run.started_at) * run.speed.share());
        run.speed.advance(now);
    }
    worked_until_ = now;
}

void worker_state::measure(time_point now)
{
    for (auto& [task, run] : running_)
    {
        run.measured.sample(now,
                            run.script.users
                                ? tail_latency_of(now, run)
                                : static_cast<double>(run.script.millicores) *
                                      run.speed.share());
    }
}

std::uint32_t worker_state::percent_of(run const& target)
{
    if (target.script.runs_until_stopped)
    {
        return 100;
    }
    auto const worked_ms =
        static_cast<std::uint64_t>(to_milliseconds(target.worked));
    return static_cast<std::uint32_t>(
        100 * worked_ms / std::max<std::uint64_t>(target.script.work_ms, 1));
}

void worker_state::report(ports::poll_order const& order, order_reply& reply)
{
    auto const acknowledged = [&order](ports::ended_attempt const& end)
    {
        return end.sequence <= order.acknowledged_end;
    };
    for (auto const& end : unacknowledged_ends_)
    {
        if (acknowledged(end))
        {
            acknowledged_ends_.push_back(end);
            notify(worker_event_kind::acknowledged,
                   end.attempt_id,
                   end.kind,
                   end.sequence <= last_end_before_expiry_);
        }
    }
    std::erase_if(unacknowledged_ends_, acknowledged);
    for (auto const& [task, run] : running_)
    {
        reply.running.push_back(
            {{task, run.attempt}, "", percent_of(run), measurement_of(run)});
    }
    auto const listed = std::min(unacknowledged_ends_.size(), max_listed_ends);
    reply.ended.assign(unacknowledged_ends_.begin(),
                       unacknowledged_ends_.begin() +
                           static_cast<std::ptrdiff_t>(listed));
    reply.ended_is_full = listed == max_listed_ends;
}

// Returns the tail latency of a serving task in milliseconds, or the CPU use of
// any other task in thousandths of a core.
std::int64_t worker_state::measurement_of(run const& target) const
{
    auto const& script = target.script;
    if (script.users || script.pressure)
    {
        return std::llround(target.measured.value());
    }
    if (script.tail_latency_ms == 0)
    {
        return std::llround(static_cast<double>(script.millicores) *
                            target.speed.share());
    }
    auto tail_latency_ms = static_cast<double>(script.tail_latency_ms);
    for (auto const& [task, run] : running_)
    {
        tail_latency_ms +=
            static_cast<double>(run.script.neighbour_latency_ms) *
            run.speed.share();
    }
    return std::llround(tail_latency_ms);
}

double worker_state::tail_latency_of(time_point now, run const& target) const
{
    auto const& script = target.script;
    return static_cast<double>(script.tail_latency_ms) *
           slowdown(load_at(*script.users, now), pressure());
}

// Returns the share of the capacity of serving tasks that the other tasks take
// at their present speed.
double worker_state::pressure() const
{
    double total = 0;
    for (auto const& [task, run] : running_)
    {
        total += run.script.pressure.value_or(0) * run.speed.share() *
                 static_cast<double>(run.script.millicores);
    }
    return total / static_cast<double>(info_.capacity.millicores);
}

double worker_state::tail_latency(time_point now,
                                  ports::task_name const& task) const
{
    return tail_latency_of(now, running_.at(task));
}

double worker_state::isolated_tail_latency(time_point now,
                                           ports::task_name const& task) const
{
    auto const& script = running_.at(task).script;
    return static_cast<double>(script.tail_latency_ms) *
           slowdown(load_at(*script.users, now), 0);
}

void worker_state::end(ports::task_name const& task, end_kind end_result)
{
    auto const found = running_.find(task);
    auto const attempt = found->second.attempt;
    running_.erase(found);
    auto& highest_ended = highest_ended_attempt_[task];
    highest_ended = std::max(highest_ended, attempt);
    unacknowledged_ends_.push_back(
        {++last_end_sequence_, {task, attempt}, end_result, ""});
    notify(worker_event_kind::ended, {task, attempt}, end_result);
}

void worker_state::extend(time_point now, std::uint64_t until_ms) noexcept
{
    auto const max_lease_ms =
        static_cast<std::uint64_t>(to_milliseconds(max_lease));
    lease_until_ms_ = std::max(
        lease_until_ms_, std::min(until_ms, clock_ms(now) + max_lease_ms));
}

ports::pool_worker const& worker_state::info() const noexcept
{
    return info_;
}

std::uint64_t worker_state::fencing_token() const noexcept
{
    return fencing_token_;
}

bool worker_state::runs(ports::task_name const& task) const
{
    return running_.contains(task);
}

std::size_t worker_state::running() const noexcept
{
    return running_.size();
}

std::vector<ports::task_name> worker_state::running_tasks() const
{
    std::vector<ports::task_name> result;
    for (auto const& [task, run] : running_)
    {
        result.push_back(task);
    }
    return result;
}

std::vector<ports::ended_attempt> const&
worker_state::acknowledged_ends() const noexcept
{
    return acknowledged_ends_;
}

std::vector<ports::pool_attempt> const&
worker_state::started_runs() const noexcept
{
    return started_runs_;
}

void worker_state::drain() noexcept
{
    info_.draining = true;
}

void worker_state::set_capacity(ports::resources capacity) noexcept
{
    info_.capacity = capacity;
}

std::optional<ports::start_order>
worker_state::crashing_run(time_point now) const
{
    for (auto const& [task, run] : running_)
    {
        auto const& script = run.script;
        bool const is_culprit = script.crashes && script.crash_index.value_or(
                                                      task.index) == task.index;
        if (is_culprit && now - run.started_at >=
                              std::chrono::milliseconds(script.crash_after_ms))
        {
            ports::start_order order;
            order.fencing_token = fencing_token_;
            order.attempt_id = {task, run.attempt};
            order.spec = run.spec;
            return order;
        }
    }
    return std::nullopt;
}

} // namespace fuchsia::standins::pool
