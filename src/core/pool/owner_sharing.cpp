#include "core/pool/owner.hpp"

#include <algorithm>

// Protects the latency targets of serving tasks from the best-effort tasks on
// the same worker.
namespace fuchsia::core::pool
{

using ports::order_reply;
using ports::order_status;
using ports::severity;

namespace
{

// Maximum age of the readings of the siblings that a reading is compared with.
constexpr common::duration max_reading_age = std::chrono::milliseconds(1000);
// Time after its start after which the figures of a report show the whole
// effect of a task.
constexpr common::duration min_measured_time = std::chrono::milliseconds(500);
// Time after which an order of a speed limit that may not be in force is sent
// again. A figure shows a pause after 0.6 s.
constexpr common::duration repeat_limit_after = std::chrono::seconds(1);
// Part of its declared cores from which a paused task counts as working.
constexpr double min_working_share = 0.1;
// Minimum number of readings to learn from. With fewer, the effect of a task's
// neighbours can't be separated from the load of its users.
constexpr std::size_t min_readings_to_learn = 3;
// Ratio of measured to expected headroom. If half of the tasks of a worker are
// below it, the worker itself is the cause.
constexpr double outlier_ratio = 0.4;
constexpr std::size_t min_tails = 2;
// Speed below which a worker counts as slow. Its tails are ignored only if its
// tasks are also this slow: a bad neighbour makes tails long too, and must be
// learned.
constexpr double slow_worker_speed = 0.6;
// Lower bound of the expected headroom in the ratio.
constexpr double min_expected_headroom = 0.5;

} // namespace

worker_view const& owner::view_of(worker& w)
{
    if (w.view_known)
    {
        return w.view;
    }
    w.view_known = true;
    auto& view = w.view;
    view.serving.clear();
    view.best_effort.clear();
    w.serving_used = 0;
    auto const cores = static_cast<double>(
        std::max<std::int64_t>(w.info.capacity.millicores, 1));
    for (auto const& name : w.runs)
    {
        auto const [run, t] = find_task(name);
        if (t == nullptr)
        {
            continue;
        }
        auto const& step_spec = run->step_of(name);
        auto const& steps = run->occurrences[name.occurrence].steps[name.step];
        auto const target =
            static_cast<double>(common::to_milliseconds(step_spec.tail_target));
        if (target > 0)
        {
            double const load =
                colocation_.load(steps.image, steps.isolated_headroom);
            w.serving_used += static_cast<std::int64_t>(
                load * static_cast<double>(step_spec.declared.millicores));
        }
        if (target > 0 && t->percent >= 100)
        {
            auto const tail = static_cast<double>(t->level);
            view.serving.push_back(
                {steps.image,
                 tail > 0 ? target / tail : steps.isolated_headroom,
                 steps.isolated_headroom,
                 colocation_.task_isolated_headroom(steps.isolated_headroom,
                                                    t->reading),
                 tail > 0});
        }
        if (step_spec.best_effort)
        {
            view.best_effort.push_back(
                {name,
                 steps.image,
                 static_cast<double>(step_spec.declared.millicores) / cores,
                 static_cast<double>(t->level) / cores,
                 t->speed_limit,
                 t->phase != task_phase::starting &&
                     t->reported_at - t->started >= min_measured_time});
        }
    }
    // Serving tasks that are being moved here must find their headroom on
    // arrival.
    for (auto const& name : w.reservations)
    {
        auto const [run, t] = find_task(name);
        if (t != nullptr)
        {
            auto const& steps =
                run->occurrences[name.occurrence].steps[name.step];
            view.serving.push_back({steps.image,
                                    steps.isolated_headroom,
                                    steps.isolated_headroom,
                                    steps.isolated_headroom});
        }
    }
    view.bearable_share = colocation_.bearable_share(view);
    return view;
}

// A worker that becomes slow makes all its tails long at once. If this were
// attributed to the neighbours, every image would be learned as disturbing.
bool owner::tail_latencies_are_outliers(worker& w)
{
    std::vector<double> ratios;
    for (auto const& serving_task : view_of(w).serving)
    {
        auto const expected =
            serving_task.isolated_headroom -
            colocation_.headroom_loss(serving_task.image,
                                      shares_of(w.view.best_effort));
        if (serving_task.isolated_headroom > 0)
        {
            ratios.push_back(serving_task.headroom /
                             std::max(expected, min_expected_headroom));
        }
    }
    if (ratios.size() < min_tails)
    {
        return false;
    }
    auto const middle =
        ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle < outlier_ratio;
}

// Updates the readings of the serving tasks of a worker. The tasks of one step
// have the load of their users in common.
void owner::read_serving(common::time_point now, worker& w)
{
    if (w.speed.value(now) < slow_worker_speed &&
        tail_latencies_are_outliers(w))
    {
        return;
    }
    auto const neighbours = shares_of(view_of(w).best_effort);
    std::vector<serving_reading const*> readings;
    for (auto const& name : w.runs)
    {
        auto const [run, t] = find_task(name);
        auto const target =
            t != nullptr
                ? common::to_milliseconds(run->step_of(name).tail_target)
                : 0;
        // A worker that has no measurement yet reports 0.
        if (target <= 0 || t->percent < 100 || t->level <= 0)
        {
            continue;
        }
        auto& steps = run->occurrences[name.occurrence].steps[name.step];
        auto& reading = t->reading;
        reading.when = now;
        reading.headroom =
            static_cast<double>(target) / static_cast<double>(t->level);
        reading.headroom_loss =
            colocation_.headroom_loss(steps.image, neighbours);
        reading.neighbours = neighbours;
        readings.clear();
        for (auto const& sibling : steps.tasks)
        {
            bool const fresh = sibling.reading.headroom > 0 &&
                               now - sibling.reading.when <= max_reading_age;
            if (fresh && &sibling != t)
            {
                readings.push_back(&sibling.reading);
            }
        }
        readings.push_back(&reading);
        steps.isolated_headroom = colocation_.isolated_headroom(readings);
        colocation_.observe_isolated_headroom(steps.image,
                                              steps.isolated_headroom);
        if (readings.size() >= min_readings_to_learn)
        {
            colocation_.learn(steps.image, readings);
        }
    }
    w.view_known = false;
}

// A successor knows workers from the roster before the platform's list gives
// their capacity. Shares of an unknown number of cores would give wrong
// estimates.
void owner::protect_serving(common::time_point now, worker& w)
{
    if (w.info.capacity.millicores == 0)
    {
        return;
    }
    if (!w.serves())
    {
        w.miss = {};
        w.throttle = {};
        return;
    }
    read_serving(now, w);
    // This is a copy, since setting a speed limit invalidates the view.
    auto const view = view_of(w);
    if (view.best_effort.empty())
    {
        w.miss = {};
        w.throttle = {};
        return;
    }
    follow_target_miss(now, w, view);
    if (auto const headroom = lowest_headroom(view))
    {
        w.throttle.update(now, *headroom, w.miss, settings_.colocation);
    }
    for (auto const& change :
         colocation_.speed_limits(view, w.throttle.speed()))
    {
        set_speed_limit(now, w, change.name, change.percent);
    }
    repeat_speed_limits(now, w, view.best_effort);
    evict_idle(now, w, view.best_effort);
}

// Evicts paused tasks that have checkpoints, so that they continue on another
// worker.
void owner::evict_idle(common::time_point now,
                       worker& w,
                       std::vector<best_effort_view> const& best_effort)
{
    for (auto const& view : best_effort)
    {
        auto* const run = find_job(view.name.job);
        auto& t = run->at(view.name);
        bool const is_paused =
            t.phase == task_phase::running && t.speed_limit == 0 &&
            now - t.paused_at > settings_.colocation.evict_after;
        if (is_paused && run->step_of(view.name).checkpoints)
        {
            ++counters_.evicted;
            t.phase = task_phase::stopping;
            order_stop(now, w.info.id, {view.name, t.attempt});
        }
    }
}

void owner::set_speed_limit(common::time_point now,
                            worker& target,
                            ports::task_name const& name,
                            std::uint32_t percent)
{
    auto* const run = find_job(name.job);
    auto& t = run->at(name);
    // Two orders on their way at once might be carried out in either sequence.
    if (t.phase != task_phase::running || t.speed_limit_unanswered)
    {
        return;
    }
    ++counters_.speed_limit_changes;
    t.speed_limit = percent;
    t.paused_at = now;
    target.view_known = false;
    send_speed_limit(now, target, name, t);
}

void owner::send_speed_limit(common::time_point now,
                             worker& target,
                             ports::task_name const& name,
                             task& t)
{
    t.speed_limit_sent_at = now;
    t.speed_limit_unanswered = true;
    auto const token = next_token(target);
    out_.order(
        life_,
        {0,
         target.info.id,
         target.info.remote_endpoint,
         ports::speed_limit_order{token, {name, t.attempt}, t.speed_limit},
         settings_.order_timeout},
        [this,
         token,
         id = target.info.id,
         attempt_id = ports::pool_attempt{name, t.attempt}](
            common::time_point at, order_reply const& reply)
        {
            if (reply.status == order_status::stale_fencing_token &&
                !on_fenced(at, id, "speed_limit", token))
            {
                return;
            }
            if (auto* const w = fleet_.find(id))
            {
                note_incarnation_of(at, *w, reply);
            }
            on_speed_limit_reply(id, attempt_id, reply.status);
        });
}

// If a failed order were taken as carried out, a task that should be paused
// would go on next to a task that it slows down. The limit is set to a value
// that differs from the wanted one, so that the next check of the worker sends
// the order again.
void owner::on_speed_limit_reply(std::string const& id,
                                 ports::pool_attempt const& attempt_id,
                                 order_status status)
{
    auto const [run, t] = find_task(attempt_id.task);
    if (t == nullptr || t->worker != id || t->attempt != attempt_id.attempt)
    {
        return;
    }
    t->speed_limit_unanswered = false;
    if (status == order_status::done)
    {
        return;
    }
    t->speed_limit_unclear =
        t->speed_limit_unclear || status == order_status::unclear;
    t->speed_limit = t->speed_limit < 100 ? 100 : 0;
    if (auto* const w = fleet_.find(id))
    {
        w->view_known = false;
    }
}

// Sends limits again that may not be in force: an order without an answer may
// be carried out seconds later, after newer ones, and a task that still works
// while it counts as paused shows that this has happened.
void owner::repeat_speed_limits(
    common::time_point now,
    worker& target,
    std::vector<best_effort_view> const& best_effort)
{
    for (auto const& view : best_effort)
    {
        auto& t = find_job(view.name.job)->at(view.name);
        bool const works_while_paused =
            t.speed_limit == 0 && view.speed_limit == 0 &&
            view.used >= min_working_share * view.declared;
        bool const due = now - t.speed_limit_sent_at >= repeat_limit_after;
        if (due && t.phase == task_phase::running &&
            !t.speed_limit_unanswered &&
            (works_while_paused || t.speed_limit_unclear))
        {
            send_speed_limit(now, target, view.name, t);
        }
    }
}

} // namespace fuchsia::core::pool
