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
constexpr std::uint32_t workers_per_rack = 8;
constexpr std::uint32_t data_centres = 5;
constexpr std::int64_t worker_millicores = 64'000;
constexpr std::int64_t worker_memory_mb = 256'000;
constexpr duration store_delay = 1ms;  ///< One-way delay to the store.
constexpr duration worker_delay = 1ms; ///< One-way delay to a worker.
constexpr duration tick_interval = 25ms;
constexpr duration ownership_time = 3s; ///< Time to become the owner.
constexpr duration serving_warm_up = 4s;
constexpr duration filling_warm_up = 8s;
constexpr auto host = "jobs.example";
constexpr auto serving_queue = "serve";
constexpr auto filling_queue = "fill";
constexpr auto short_queue = "short";
constexpr std::array<char const*, 3> queues{
    serving_queue, filling_queue, short_queue};

// Serving jobs reserve two thirds of the cores, in steps of 24 tasks.
constexpr std::uint32_t serving_images = 5;
constexpr std::uint32_t serving_width = 24;
constexpr std::int64_t serving_millicores = 8'000;
constexpr duration serving_target = 150ms;
constexpr std::uint64_t serving_tail_ms = 30;

// Half of the best-effort images interfere with the serving tasks and find no
// room beside them, so their steps wait.
constexpr std::uint32_t filling_images = 24;
constexpr std::uint32_t disturbing_images = 12;
constexpr std::uint32_t filling_width = 16;
constexpr std::int64_t filling_millicores = 8'000; ///< Average per task.
constexpr std::uint64_t filling_ms = 4'000;
constexpr std::uint64_t strain_ms = 30;
constexpr double filling_starts = 1.4; ///< Starts per second and worker.

// Hopeless steps repeat, so that they never become late and lose their rank.
constexpr std::uint32_t hopeless_occurrences = 2;
constexpr std::uint32_t hopeless_steps_per_job = 100;

constexpr std::uint32_t short_width = 12;
constexpr std::int64_t short_millicores = 3'000;
constexpr std::uint64_t short_ms = 500;
constexpr double short_starts = 0.3; ///< Starts per second and worker.

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
    ports::pool_worker worker;
    worker.id = worker_id(number);
    worker.service = "s";
    worker.remote_endpoint = {"10.0.0.1",
                              static_cast<std::uint16_t>(number + 1)};
    worker.data_centre = "dc-" + std::to_string(number % data_centres);
    worker.rack = "rack-" + std::to_string(number / workers_per_rack);
    worker.capacity = {worker_millicores, worker_memory_mb, 0};
    worker.incarnation = number + 1;
    return worker;
}

core::pool::configuration make_configuration()
{
    core::pool::configuration configuration;
    configuration.version = 1;
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
        configuration.queues.push_back(queue);
    }
    return configuration;
}

core::pool::platform_records make_platform_records()
{
    core::pool::platform_records records;
    records.workers_prefix = "workers/";
    records.operators_prefix = "operators/";
    records.read_worker =
        [](ports::kv_item const& item,
           core::common::failure&) -> std::optional<ports::pool_worker>
    {
        return make_info(static_cast<std::uint32_t>(std::stoul(item.value)));
    };
    records.read_operator =
        [](ports::kv_item const&,
           core::common::failure&) -> std::optional<core::pool::operator_change>
    {
        return make_configuration();
    };
    return records;
}

core::pool::step make_step(std::uint32_t width,
                           std::int64_t millicores,
                           std::uint64_t work_ms,
                           std::string image)
{
    constexpr std::int64_t memory_mb = 3'000;
    core::pool::step step;
    step.count = width;
    step.declared = {millicores, memory_mb, 0};
    step.estimate = std::chrono::milliseconds(work_ms);
    step.image = std::move(image);
    return step;
}

std::string text(std::string const& name, std::uint64_t value)
{
    return " " + name + "=" + std::to_string(value);
}

} // namespace

bench_pool_simulation::bench_pool_simulation(
    pool_bench_settings const& settings)
    : settings_(settings), loop_(settings.seed)
{
    store_.put("operators/config", "1");
    for (std::uint32_t number = 0; number < settings.workers; ++number)
    {
        add_worker(number);
    }
    engine_ = std::make_unique<engine>(
        core::pool::pool_settings{}, make_platform_records(), "i0");
}

void bench_pool_simulation::add_worker(std::uint32_t number)
{
    auto const info = make_info(number);
    workers_[info.id].state = std::make_unique<standins::pool::worker_state>(
        info, loop_.now() - 1s, 1.0);
    store_.put("workers/" + info.id, std::to_string(number));
}

pool_bench_result bench_pool_simulation::run()
{
    engine_->set_unix_offset(unix_offset_ms);
    deliver(pool_event_kind::ticks,
            [this](engine& target)
            {
                target.start(loop_.now());
            });
    tick();
    loop_.run_until(loop_.now() + ownership_time);
    submit_serving(static_cast<std::uint32_t>(
        settings_.workers * worker_millicores * 2 / 3 / serving_millicores));
    loop_.run_until(loop_.now() + serving_warm_up);
    submit_hopeless();
    submit_best_effort();
    submit_short();
    loop_.run_until(loop_.now() + filling_warm_up);
    auto const before = engine_->active_owner()->counters();
    measuring_ = true;
    loop_.run_until(loop_.now() + std::chrono::seconds(settings_.seconds));
    measuring_ = false;
    auto const& after = engine_->active_owner()->counters();
    result_.starts = after.starts - before.starts;
    result_.scored = after.scored - before.scored;
    result_.placement_rounds = after.rounds - before.rounds;
    result_.jobs_finished = after.jobs_finished - before.jobs_finished;
    std::int64_t reserved = 0;
    for (auto const& worker : engine_->active_owner()->workers(loop_.now()))
    {
        reserved += worker.reserved.millicores;
    }
    result_.reserved =
        static_cast<double>(reserved) /
        static_cast<double>(settings_.workers * worker_millicores);
    for (auto const& [id, worker] : workers_)
    {
        result_.running += worker.state->running();
    }
    result_.signature = orders_.value();
    return result_;
}

void bench_pool_simulation::deliver(pool_event_kind kind,
                                    event_handler const& handler)
{
    if (measuring_)
    {
        measure(kind, handler);
    }
    else
    {
        handler(*engine_);
    }
    execute_actions();
}

void bench_pool_simulation::measure(pool_event_kind kind,
                                    event_handler const& handler)
{
    auto const& counters = engine_->active_owner()->counters();
    auto const rounds = counters.rounds;
    auto const start = processor_seconds();
    handler(*engine_);
    auto const elapsed = processor_seconds() - start;
    auto& event_time =
        result_.time_by_event_kind[static_cast<std::size_t>(kind)];
    if (counters.rounds > rounds)
    {
        ++event_time.events_with_placement;
        event_time.time_with_placement_s += elapsed;
        return;
    }
    ++event_time.events_without_placement;
    event_time.time_without_placement_s += elapsed;
}

void bench_pool_simulation::execute_actions()
{
    auto const actions = engine_->take_actions();
    for (auto const& action : actions)
    {
        if (auto const* const call = std::get_if<ports::kv_call>(&action))
        {
            send_store_call(*call);
        }
        else if (auto const* const order =
                     std::get_if<ports::pool_order>(&action))
        {
            send_order(*order);
        }
    }
}

void bench_pool_simulation::tick()
{
    store_.expire(loop_.now());
    deliver(pool_event_kind::ticks,
            [this](engine& target)
            {
                target.tick(loop_.now());
            });
    loop_.after(tick_interval,
                [this]
                {
                    tick();
                });
}

void bench_pool_simulation::send_store_call(ports::kv_call const& call)
{
    loop_.after(store_delay,
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
        measure_progress_json(*commit);
    }
    auto reply = store_.answer(loop_.now(), call.operation);
    if (reply)
    {
        send_store_reply(call, std::move(*reply));
        answer_watches();
        return;
    }
    auto const wait = std::get<ports::kv_watch>(call.operation).wait;
    watches_.push_back({call, loop_.now() + wait});
    loop_.after(wait,
                [this]
                {
                    answer_watches();
                });
}

void bench_pool_simulation::send_store_reply(ports::kv_call const& call,
                                             ports::kv_reply reply)
{
    reply.id = call.id;
    auto const kind = std::holds_alternative<ports::kv_watch>(call.operation)
                          ? pool_event_kind::jobs
                          : pool_event_kind::commits;
    loop_.after(store_delay,
                [this, kind, reply = std::move(reply)]
                {
                    deliver(kind,
                            [&](engine& target)
                            {
                                target.on_kv_reply(loop_.now(), reply);
                            });
                });
}

void bench_pool_simulation::answer_watches()
{
    for (auto it = watches_.begin(); it != watches_.end();)
    {
        auto reply = store_.answer(loop_.now(), it->call.operation);
        if (!reply && loop_.now() < it->until)
        {
            ++it;
            continue;
        }
        ports::kv_reply timeout_reply;
        timeout_reply.status = ports::kv_status::done;
        timeout_reply.revision = store_.revision();
        send_store_reply(it->call, reply.value_or(timeout_reply));
        it = watches_.erase(it);
    }
}

void bench_pool_simulation::measure_progress_json(
    ports::kv_commit const& commit)
{
    for (auto const& put : commit.puts)
    {
        if (!measuring_ ||
            !put.key.starts_with(core::pool::keys::progress_prefix))
        {
            continue;
        }
        core::common::failure reason;
        auto const progress = core::pool::parse_progress(put.value, reason);
        if (progress)
        {
            auto const start = processor_seconds();
            auto const json = core::pool::to_json(*progress);
            result_.progress_json_s += processor_seconds() - start;
        }
    }
}

void bench_pool_simulation::send_order(ports::pool_order const& order)
{
    record_order(order);
    loop_.after(worker_delay,
                [this, order]
                {
                    apply_order(order);
                });
}

void bench_pool_simulation::apply_order(ports::pool_order const& order)
{
    auto& target = workers_.at(order.worker);
    if (std::holds_alternative<ports::poll_order>(order.operation))
    {
        poll(target, order);
        return;
    }
    send_order_reply(pool_event_kind::orders,
                     order.id,
                     target.state->apply(loop_.now(), order.operation));
    if (auto const* const start =
            std::get_if<ports::start_order>(&order.operation))
    {
        auto const script = standins::pool::parse_task_script(start->spec);
        loop_.after(std::chrono::milliseconds(script.work_ms),
                    [this, &target]
                    {
                        answer_parked_poll(target, target.poll.call);
                    });
    }
    else if (std::holds_alternative<ports::stop_order>(order.operation))
    {
        answer_parked_poll(target, target.poll.call);
    }
}

void bench_pool_simulation::poll(pool_worker& target,
                                 ports::pool_order const& order)
{
    auto const& poll_request = std::get<ports::poll_order>(order.operation);
    auto reply = target.state->apply(loop_.now(), poll_request);
    if (!reply.ended.empty() || poll_request.wait <= duration{})
    {
        send_order_reply(pool_event_kind::holds, order.id, std::move(reply));
        return;
    }
    target.poll = {order.id, poll_request};
    loop_.after(poll_request.wait,
                [this, &target, call = order.id]
                {
                    answer_parked_poll(target, call);
                });
}

void bench_pool_simulation::answer_parked_poll(pool_worker& target,
                                               std::uint64_t call)
{
    if (call == 0 || target.poll.call != call)
    {
        return;
    }
    auto const parked = std::exchange(target.poll, {});
    send_order_reply(pool_event_kind::holds,
                     parked.call,
                     target.state->apply(loop_.now(), parked.order));
}

void bench_pool_simulation::send_order_reply(pool_event_kind kind,
                                             std::uint64_t call,
                                             ports::order_reply reply)
{
    reply.id = call;
    loop_.after(worker_delay,
                [this, kind, reply = std::move(reply)]
                {
                    deliver(kind,
                            [&](engine& target)
                            {
                                target.on_order_reply(loop_.now(), reply);
                            });
                });
}

void bench_pool_simulation::record_order(ports::pool_order const& order)
{
    auto const add =
        [&](char const* kind, ports::pool_attempt const& attempt_id)
    {
        orders_.add(kind + order.worker + ' ' + attempt_id.task.job + ' ' +
                    std::to_string(attempt_id.task.step) + ' ' +
                    std::to_string(attempt_id.task.index) + ' ' +
                    std::to_string(attempt_id.attempt));
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
                                   core::pool::job new_job)
{
    core::pool::pool_request request;
    request.caller = ++next_request_;
    request.host = host;
    request.path = "/" + queue + "/job-" + std::to_string(request.caller);
    request.action = core::pool::submit_request{std::move(new_job)};
    deliver(pool_event_kind::submissions,
            [&](engine& target)
            {
                target.on_request(loop_.now(), request);
            });
}

void bench_pool_simulation::submit_serving(std::uint32_t remaining)
{
    if (remaining == 0)
    {
        return;
    }
    auto const width = std::min(remaining, serving_width);
    auto const image = loop_.random_below(serving_images);
    core::pool::job new_job;
    new_job.steps.push_back(make_step(
        width, serving_millicores, 1'000, "serving-" + std::to_string(image)));
    new_job.steps.back().long_running = true;
    new_job.steps.back().tail_target = serving_target;
    new_job.spec =
        "lasts" + text("tail", serving_tail_ms + loop_.random_below(10));
    submit(serving_queue, std::move(new_job));
    constexpr duration submit_interval = 5ms;
    loop_.after(submit_interval,
                [this, remaining, width]
                {
                    submit_serving(remaining - width);
                });
}

// Every other demand is a label that no worker has. The rest fits on an empty
// worker, and none is empty.
void bench_pool_simulation::submit_hopeless()
{
    auto const last = settings_.hopeless_steps / hopeless_occurrences;
    core::pool::job new_job;
    for (std::uint32_t number = 0; number < last; ++number)
    {
        auto const demand = std::to_string(number % settings_.hopeless_demands);
        bool const lacks_label = number % 2 == 0;
        auto step = make_step(1,
                              lacks_label ? 1 : worker_millicores,
                              short_ms,
                              "hopeless-" + demand);
        step.required_label = lacks_label ? "lost-" + demand : "";
        new_job.steps.push_back(std::move(step));
        if (new_job.steps.size() == hopeless_steps_per_job ||
            number + 1 == last)
        {
            new_job.occurrences = hopeless_occurrences;
            submit(short_queue, std::exchange(new_job, {}));
        }
    }
}

void bench_pool_simulation::submit_best_effort()
{
    auto const image = loop_.random_below(filling_images);
    constexpr std::int64_t sizes = 8;
    auto const millicores =
        filling_millicores / 2 +
        filling_millicores / sizes *
            static_cast<std::int64_t>(loop_.random_below(sizes + 1));
    core::pool::job new_job;
    new_job.steps.push_back(make_step(filling_width,
                                      millicores,
                                      filling_ms,
                                      "filling-" + std::to_string(image)));
    new_job.steps.back().best_effort = true;
    new_job.steps.back().checkpoints = true;
    new_job.steps.push_back(new_job.steps.back());
    new_job.steps.back().after = {0};
    auto const work = filling_ms / 2 + loop_.random_below(filling_ms);
    new_job.spec = text("work", work) +
                   text("cores", static_cast<std::uint64_t>(millicores)) +
                   text("strain", image < disturbing_images ? strain_ms : 0);
    submit(filling_queue, std::move(new_job));
    auto const rate = settings_.load * settings_.workers * filling_starts /
                      (2 * filling_width);
    loop_.after(
        std::chrono::microseconds(static_cast<std::int64_t>(1e6 / rate)),
        [this]
        {
            submit_best_effort();
        });
}

void bench_pool_simulation::submit_short()
{
    core::pool::job new_job;
    new_job.steps.push_back(
        make_step(short_width, short_millicores, short_ms, "short"));
    auto const work = short_ms / 2 + loop_.random_below(short_ms);
    new_job.spec = text("work", work) + text("cores", short_millicores);
    submit(short_queue, std::move(new_job));
    auto const rate =
        settings_.load * settings_.workers * short_starts / short_width;
    loop_.after(
        std::chrono::microseconds(static_cast<std::int64_t>(1e6 / rate)),
        [this]
        {
            submit_short();
        });
}

} // namespace fuchsia::tools::load
