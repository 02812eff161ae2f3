#include "tools/load/bench_pool_simulation.hpp"

#include "core/pool/keys.hpp"
#include "core/pool/progress.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <utility>

namespace fuchsia::tools::load
{

namespace
{

using namespace std::chrono_literals;
using core::common::duration;
using core::pool::engine;

constexpr std::int64_t unix_offset_ms = 1'700'000'000'000;
constexpr std::uint32_t per_rack = 8;
constexpr std::uint32_t data_centres = 5;
constexpr std::int64_t worker_millicores = 64'000;
constexpr std::int64_t worker_memory_mb = 256'000;
constexpr duration store_delay = 1ms;  ///< One way.
constexpr duration worker_delay = 1ms; ///< One way.
constexpr duration tick_interval = 25ms;
constexpr duration owning_time = 3s;
constexpr duration serving_time = 4s;
constexpr duration filling_time = 8s;
constexpr auto host = "jobs.example";
constexpr auto serving_queue = "serve";
constexpr auto filling_queue = "fill";
constexpr auto short_queue = "short";
constexpr std::array<char const*, 3> queues{
    serving_queue, filling_queue, short_queue};

// Serving steps reserve two thirds of the cores, in steps of 24 tasks.
constexpr std::uint32_t serving_images = 5;
constexpr std::uint32_t serving_width = 24;
constexpr std::int64_t serving_millicores = 8'000;
constexpr duration serving_target = 150ms;
constexpr std::uint64_t serving_tail_ms = 30;

// Half of the filling images disturb what serves and find no room beside it:
// their steps wait.
constexpr std::uint32_t filling_images = 24;
constexpr std::uint32_t disturbing_images = 12;
constexpr std::uint32_t filling_width = 16;
constexpr std::int64_t filling_millicores = 8'000; ///< On average.
constexpr std::uint64_t filling_ms = 4'000;
constexpr std::uint64_t strain_ms = 30;
constexpr double filling_starts = 1.4; ///< A second and worker.

constexpr std::uint32_t short_width = 12;
constexpr std::int64_t short_millicores = 3'000;
constexpr std::uint64_t short_ms = 500;
constexpr double short_starts = 0.3; ///< A second and worker.

double processor_seconds()
{
    constexpr double nanoseconds = 1e-9;
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * nanoseconds;
}

std::string worker_id(std::uint32_t number)
{
    return "w" + std::to_string(number);
}

ports::pool_worker make_info(std::uint32_t number)
{
    ports::pool_worker made;
    made.id = worker_id(number);
    made.service = "s";
    made.remote_endpoint = {"10.0.0.1", static_cast<std::uint16_t>(number + 1)};
    made.data_centre = "dc-" + std::to_string(number % data_centres);
    made.rack = "rack-" + std::to_string(number / per_rack);
    made.capacity = {worker_millicores, worker_memory_mb, 0};
    made.incarnation = number + 1;
    return made;
}

core::pool::configuration make_configuration()
{
    core::pool::configuration made;
    made.version = 1;
    for (auto const* name : queues)
    {
        core::pool::queue queue;
        queue.name = name;
        queue.host = host;
        queue.prefix = "/" + std::string(name) + "/";
        queue.service = "s";
        queue.attempts = 3;
        queue.deadline_stretch = 2;
        queue.deadline_slack = 1s;
        queue.priority = name == filling_queue ? 2 : 0;
        made.queues.push_back(queue);
    }
    return made;
}

core::pool::platform_records make_words()
{
    core::pool::platform_records made;
    made.workers_prefix = "workers/";
    made.operators_prefix = "operators/";
    made.read_worker =
        [](ports::kv_item const& item,
           core::common::failure&) -> std::optional<ports::pool_worker>
    {
        return make_info(static_cast<std::uint32_t>(std::stoul(item.value)));
    };
    made.read_operator =
        [](ports::kv_item const&,
           core::common::failure&) -> std::optional<core::pool::operator_change>
    {
        return make_configuration();
    };
    return made;
}

core::pool::step make_step(std::uint32_t width,
                           std::int64_t millicores,
                           std::uint64_t work_ms,
                           std::string image)
{
    constexpr std::int64_t memory_mb = 3'000;
    core::pool::step made;
    made.count = width;
    made.declared = {millicores, memory_mb, 0};
    made.estimate = std::chrono::milliseconds(work_ms);
    made.image = std::move(image);
    return made;
}

std::string text(std::string const& name, std::uint64_t value)
{
    return " " + name + "=" + std::to_string(value);
}

} // namespace

bench_pool_simulation::bench_pool_simulation(
    pool_bench_settings const& settings)
    : settings_(settings), world_(settings.seed)
{
    store_.put("operators/config", "1");
    for (std::uint32_t number = 0; number < settings.workers; ++number)
    {
        add_worker(number);
    }
    engine_ = std::make_unique<engine>(
        core::pool::pool_settings{}, make_words(), "i0");
}

void bench_pool_simulation::add_worker(std::uint32_t number)
{
    auto const info = make_info(number);
    workers_[info.id].state = std::make_unique<standins::pool::worker_state>(
        info, world_.now() - 1s, 1.0);
    store_.put("workers/" + info.id, std::to_string(number));
}

pool_bench_result bench_pool_simulation::run()
{
    engine_->set_unix_offset(unix_offset_ms);
    deliver(pool_event_kind::ticks,
            [this](engine& to)
            {
                to.start(world_.now());
            });
    tick();
    world_.run_until(world_.now() + owning_time);
    submit_serving(static_cast<std::uint32_t>(
        settings_.workers * worker_millicores * 2 / 3 / serving_millicores));
    world_.run_until(world_.now() + serving_time);
    submit_best_effort();
    submit_short();
    world_.run_until(world_.now() + filling_time);
    auto const before = engine_->active_owner()->counters();
    measuring_ = true;
    world_.run_until(world_.now() + std::chrono::seconds(settings_.seconds));
    measuring_ = false;
    auto const& after = engine_->active_owner()->counters();
    result_.starts = after.starts - before.starts;
    result_.scored = after.scored - before.scored;
    result_.placement_rounds = after.rounds - before.rounds;
    result_.jobs_finished = after.jobs_finished - before.jobs_finished;
    std::int64_t reserved = 0;
    for (auto const& each : engine_->active_owner()->workers(world_.now()))
    {
        reserved += each.reserved.millicores;
    }
    result_.reserved =
        static_cast<double>(reserved) /
        static_cast<double>(settings_.workers * worker_millicores);
    for (auto const& [id, each] : workers_)
    {
        result_.running += each.state->running();
    }
    result_.signature = orders_.value();
    return result_;
}

void bench_pool_simulation::deliver(pool_event_kind duty, event const& what)
{
    if (measuring_)
    {
        measure(duty, what);
    }
    else
    {
        what(*engine_);
    }
    perform();
}

void bench_pool_simulation::measure(pool_event_kind duty, event const& what)
{
    auto const& counters = engine_->active_owner()->counters();
    auto const rounds = counters.rounds;
    auto const from = processor_seconds();
    what(*engine_);
    auto const took = processor_seconds() - from;
    auto& into = result_.time_by_event_kind[static_cast<std::size_t>(duty)];
    if (counters.rounds > rounds)
    {
        ++into.events_with_placement;
        into.time_with_placement_s += took;
        return;
    }
    ++into.events_without_placement;
    into.time_without_placement_s += took;
}

void bench_pool_simulation::perform()
{
    auto const actions = engine_->take_actions();
    for (auto const& action : actions)
    {
        if (auto const* const call = std::get_if<ports::kv_call>(&action))
        {
            ask_store(*call);
        }
        else if (auto const* const order =
                     std::get_if<ports::pool_order>(&action))
        {
            order_worker(*order);
        }
    }
}

void bench_pool_simulation::tick()
{
    store_.expire(world_.now());
    deliver(pool_event_kind::ticks,
            [this](engine& to)
            {
                to.tick(world_.now());
            });
    world_.after(tick_interval,
                 [this]
                 {
                     tick();
                 });
}

void bench_pool_simulation::ask_store(ports::kv_call const& call)
{
    world_.after(store_delay,
                 [this, call]
                 {
                     apply_store(call);
                 });
}

void bench_pool_simulation::apply_store(ports::kv_call const& call)
{
    if (auto const* const commit =
            std::get_if<ports::kv_commit>(&call.operation))
    {
        time_progress(*commit);
    }
    auto reply = store_.answer(world_.now(), call.operation);
    if (reply)
    {
        answer_store(call, std::move(*reply));
        wake_watches();
        return;
    }
    auto const wait = std::get<ports::kv_watch>(call.operation).wait;
    watches_.push_back({call, world_.now() + wait});
    world_.after(wait,
                 [this]
                 {
                     wake_watches();
                 });
}

void bench_pool_simulation::answer_store(ports::kv_call const& call,
                                         ports::kv_reply reply)
{
    reply.id = call.id;
    auto const duty = std::holds_alternative<ports::kv_watch>(call.operation)
                          ? pool_event_kind::jobs
                          : pool_event_kind::commits;
    world_.after(store_delay,
                 [this, duty, reply = std::move(reply)]
                 {
                     deliver(duty,
                             [&](engine& to)
                             {
                                 to.on_kv_reply(world_.now(), reply);
                             });
                 });
}

void bench_pool_simulation::wake_watches()
{
    for (auto each = watches_.begin(); each != watches_.end();)
    {
        auto reply = store_.answer(world_.now(), each->call.operation);
        if (!reply && world_.now() < each->until)
        {
            ++each;
            continue;
        }
        ports::kv_reply nothing;
        nothing.status = ports::kv_status::done;
        nothing.revision = store_.revision();
        answer_store(each->call, reply.value_or(nothing));
        each = watches_.erase(each);
    }
}

void bench_pool_simulation::time_progress(ports::kv_commit const& commit)
{
    for (auto const& put : commit.puts)
    {
        if (!measuring_ ||
            !put.key.starts_with(core::pool::keys::progress_prefix))
        {
            continue;
        }
        core::common::failure reason;
        auto const known = core::pool::parse_progress(put.value, reason);
        if (known)
        {
            auto const from = processor_seconds();
            auto const again = core::pool::to_json(*known);
            result_.progress_json_s += processor_seconds() - from;
        }
    }
}

void bench_pool_simulation::order_worker(ports::pool_order const& order)
{
    note(order);
    world_.after(worker_delay,
                 [this, order]
                 {
                     apply_order(order);
                 });
}

void bench_pool_simulation::apply_order(ports::pool_order const& order)
{
    auto& at = workers_.at(order.worker);
    if (std::holds_alternative<ports::poll_order>(order.operation))
    {
        hold(at, order);
        return;
    }
    answer_order(pool_event_kind::orders,
                 order.id,
                 at.state->apply(world_.now(), order.operation));
    if (auto const* const start =
            std::get_if<ports::start_order>(&order.operation))
    {
        auto const script = standins::pool::parse_task_script(start->spec);
        world_.after(std::chrono::milliseconds(script.work_ms),
                     [this, &at]
                     {
                         release(at, at.hold.call);
                     });
    }
    else if (std::holds_alternative<ports::stop_order>(order.operation))
    {
        release(at, at.hold.call);
    }
}

void bench_pool_simulation::hold(pool_worker& at,
                                 ports::pool_order const& order)
{
    auto const& wanted = std::get<ports::poll_order>(order.operation);
    auto reply = at.state->apply(world_.now(), wanted);
    if (!reply.ended.empty() || wanted.wait <= duration{})
    {
        answer_order(pool_event_kind::holds, order.id, std::move(reply));
        return;
    }
    at.hold = {order.id, wanted};
    world_.after(wanted.wait,
                 [this, &at, call = order.id]
                 {
                     release(at, call);
                 });
}

void bench_pool_simulation::release(pool_worker& at, std::uint64_t call)
{
    if (call == 0 || at.hold.call != call)
    {
        return;
    }
    auto const parked = std::exchange(at.hold, {});
    answer_order(pool_event_kind::holds,
                 parked.call,
                 at.state->apply(world_.now(), parked.order));
}

void bench_pool_simulation::answer_order(pool_event_kind duty,
                                         std::uint64_t call,
                                         ports::order_reply reply)
{
    reply.id = call;
    world_.after(worker_delay,
                 [this, duty, reply = std::move(reply)]
                 {
                     deliver(duty,
                             [&](engine& to)
                             {
                                 to.on_order_reply(world_.now(), reply);
                             });
                 });
}

void bench_pool_simulation::note(ports::pool_order const& order)
{
    auto const add = [&](char const* kind, ports::pool_attempt const& what)
    {
        orders_.add(kind + order.worker + ' ' + what.task.job + ' ' +
                    std::to_string(what.task.step) + ' ' +
                    std::to_string(what.task.index) + ' ' +
                    std::to_string(what.attempt));
    };
    if (auto const* const start =
            std::get_if<ports::start_order>(&order.operation))
    {
        add("start ", start->attempt_id);
    }
    else if (auto const* const stop =
                 std::get_if<ports::stop_order>(&order.operation))
    {
        add("stop ", stop->attempt_id);
    }
    else if (auto const* const pace =
                 std::get_if<ports::speed_limit_order>(&order.operation))
    {
        add("pace ", pace->attempt_id);
    }
}

void bench_pool_simulation::submit(std::string const& queue,
                                   core::pool::job what)
{
    core::pool::pool_request request;
    request.caller = ++next_request_;
    request.host = host;
    request.path = "/" + queue + "/job-" + std::to_string(request.caller);
    request.action = core::pool::submit_request{std::move(what)};
    deliver(pool_event_kind::submissions,
            [&](engine& to)
            {
                to.on_request(world_.now(), request);
            });
}

void bench_pool_simulation::submit_serving(std::uint32_t left)
{
    if (left == 0)
    {
        return;
    }
    auto const width = std::min(left, serving_width);
    auto const image = world_.random_below(serving_images);
    core::pool::job made;
    made.steps.push_back(make_step(
        width, serving_millicores, 1'000, "serving-" + std::to_string(image)));
    made.steps.back().long_running = true;
    made.steps.back().tail_target = serving_target;
    made.spec =
        "lasts" + text("tail", serving_tail_ms + world_.random_below(10));
    submit(serving_queue, std::move(made));
    constexpr duration apart = 5ms;
    world_.after(apart,
                 [this, left, width]
                 {
                     submit_serving(left - width);
                 });
}

void bench_pool_simulation::submit_best_effort()
{
    auto const image = world_.random_below(filling_images);
    constexpr std::int64_t sizes = 8;
    auto const millicores =
        filling_millicores / 2 +
        filling_millicores / sizes *
            static_cast<std::int64_t>(world_.random_below(sizes + 1));
    core::pool::job made;
    made.steps.push_back(make_step(filling_width,
                                   millicores,
                                   filling_ms,
                                   "filling-" + std::to_string(image)));
    made.steps.back().best_effort = true;
    made.steps.back().checkpoints = true;
    made.steps.push_back(made.steps.back());
    made.steps.back().after = {0};
    auto const work = filling_ms / 2 + world_.random_below(filling_ms);
    made.spec = text("work", work) +
                text("cores", static_cast<std::uint64_t>(millicores)) +
                text("strain", image < disturbing_images ? strain_ms : 0);
    submit(filling_queue, std::move(made));
    auto const rate = settings_.load * settings_.workers * filling_starts /
                      (2 * filling_width);
    world_.after(
        std::chrono::microseconds(static_cast<std::int64_t>(1e6 / rate)),
        [this]
        {
            submit_best_effort();
        });
}

void bench_pool_simulation::submit_short()
{
    core::pool::job made;
    made.steps.push_back(
        make_step(short_width, short_millicores, short_ms, "short"));
    auto const work = short_ms / 2 + world_.random_below(short_ms);
    made.spec = text("work", work) + text("cores", short_millicores);
    submit(short_queue, std::move(made));
    auto const rate =
        settings_.load * settings_.workers * short_starts / short_width;
    world_.after(
        std::chrono::microseconds(static_cast<std::int64_t>(1e6 / rate)),
        [this]
        {
            submit_short();
        });
}

} // namespace fuchsia::tools::load
