#include "standins/pool/pool_server.hpp"

#include "standins/common/http_messages.hpp"
#include "standins/pool/pool_codec.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace fuchsia::standins::pool
{

namespace
{

using core::common::clock;
constexpr core::common::duration tick_interval = std::chrono::milliseconds(20);
// Base of the incarnation numbers, so that they differ between two runs of the
// stand-in.
constexpr std::uint64_t first_incarnation = 1'700'000'000'000;
constexpr std::uint64_t incarnation_step = 1000;
// A crashed worker's entry stays in the list for a few heartbeat intervals.
constexpr core::common::duration list_entry_retention =
    std::chrono::milliseconds(900);
constexpr std::uint64_t rerun_lease_ms = 1000;
// Time for which a worker that a task has crashed is down.
constexpr core::common::duration crash_down_time =
    std::chrono::milliseconds(1500);
// Starts of a task by which `rerun_after_crash` breaks its budget.
constexpr std::uint32_t max_planted_reruns = 8;
// Age from which `dropped_late_end` drops an end that was never listed; longer
// than the lease that an owner grants.
constexpr core::common::duration dropped_end_age = std::chrono::seconds(6);

void raise_token(ports::pool_operation& order, std::uint64_t token)
{
    std::visit(
        [token](auto& typed_order)
        {
            typed_order.fencing_token =
                std::max(typed_order.fencing_token, token);
        },
        order);
}

} // namespace

pool_server::pool_server(boost::asio::io_context& io,
                         pool_server_settings settings)
    : io_(io), settings_(std::move(settings)), workers_(settings_.workers),
      ticker_(io)
{
    store_.put("op/config",
               encode_config(1, {{"jobs", settings_.host, settings_.prefix}}));
    for (std::size_t index = 0; index < workers_.size(); ++index)
    {
        start_incarnation(index, "w" + std::to_string(index));
    }
}

void pool_server::start_incarnation(std::size_t index, std::string const& id)
{
    auto& worker = workers_[index];
    auto const first_port = settings_.advertised_worker_port != 0
                                ? settings_.advertised_worker_port
                                : settings_.first_worker_port;
    ports::pool_worker entry;
    entry.id = id;
    entry.service = "pool";
    entry.remote_endpoint = {settings_.store.address,
                             static_cast<std::uint16_t>(first_port + index)};
    entry.data_centre = index % 2 == 0 ? "a" : "b";
    entry.rack = "r" + entry.data_centre;
    entry.capacity = settings_.capacity;
    entry.incarnation =
        first_incarnation + index + worker.incarnations * incarnation_step;
    worker.state = std::make_unique<worker_state>(entry, clock::now(), 1.0);
    worker.listed_until.reset();
    worker.down = false;
    worker.back_at.reset();
    worker.unlisted_ends.clear();
    ++worker.incarnations;
    worker.state->observe(
        [this, index](worker_event const& event)
        {
            note_end(index, event);
            if (observer_)
            {
                observer_(info(index), event);
            }
        });
    publish(index);
}

std::optional<ports::endpoint>
pool_server::listen(core::common::failure& reason)
{
    store_server_ = std::make_unique<adapters::http::server>(
        io_,
        adapters::http::server_limits{},
        [this](auto request, auto respond)
        {
            handle_store_request(request, respond);
        });
    auto bound = store_server_->listen(settings_.store, reason);
    for (std::size_t index = 0; bound && index < workers_.size(); ++index)
    {
        if (!serve(index, reason))
        {
            return std::nullopt;
        }
    }
    tick();
    return bound;
}

bool pool_server::serve(std::size_t index, core::common::failure& reason)
{
    auto& server = workers_[index].server;
    server = std::make_unique<adapters::http::server>(
        io_,
        adapters::http::server_limits{},
        [this, index](auto request, auto respond)
        {
            handle_worker_request(index, request, respond);
        });
    auto const port = settings_.first_worker_port + index;
    return server
        ->listen({settings_.store.address, static_cast<std::uint16_t>(port)},
                 reason)
        .has_value();
}

void pool_server::stop()
{
    ticker_.cancel();
    store_server_->close();
    for (auto& worker : workers_)
    {
        worker.server->close();
    }
}

void pool_server::observe(observer callback)
{
    observer_ = std::move(callback);
}

void pool_server::plant_defect(planted_defect defect)
{
    planted_defect_ = defect;
}

kv_state& pool_server::store() noexcept
{
    return store_;
}

fault_gate& pool_server::store_fault_gate() noexcept
{
    return store_gate_;
}

void pool_server::stall_watches()
{
    watches_.clear();
}

std::size_t pool_server::workers() const noexcept
{
    return workers_.size();
}

ports::pool_worker const& pool_server::info(std::size_t worker) const
{
    return workers_[worker].state->info();
}

fault_gate& pool_server::worker_fault_gate(std::size_t worker)
{
    return workers_[worker].gate;
}

void pool_server::crash(std::size_t worker)
{
    auto& crashed = workers_[worker];
    crashed.server->close();
    crashed.gate.clear();
    crashed.gate.set(fault_gate_mode::open);
    crashed.state =
        std::make_unique<worker_state>(info(worker), clock::now(), 1.0);
    crashed.listed_until = clock::now() + list_entry_retention;
    crashed.down = true;
}

bool pool_server::is_down(std::size_t worker) const
{
    return workers_[worker].down;
}

void pool_server::set_capacity(std::size_t worker, ports::resources capacity)
{
    workers_[worker].state->set_capacity(capacity);
    if (!is_down(worker) && planted_defect_ != planted_defect::hidden_shrink)
    {
        publish(worker);
    }
}

// Ends the workers that one of their tasks crashes. They come back after a
// while, under the same id or a new one by turns.
void pool_server::crash_by_tasks(core::common::time_point now)
{
    for (std::size_t index = 0; index < workers_.size(); ++index)
    {
        auto const culprit = workers_[index].state->crashing_run(now);
        if (!culprit)
        {
            continue;
        }
        if (observer_)
        {
            observer_(info(index),
                      {worker_event_kind::crashed_worker,
                       culprit->attempt_id,
                       ports::end_kind::failed,
                       culprit->fencing_token});
        }
        crash(index);
        workers_[index].back_at = now + crash_down_time;
        workers_[index].crashed_by = culprit;
    }
}

void pool_server::bring_back(core::common::time_point now)
{
    for (std::size_t index = 0; index < workers_.size(); ++index)
    {
        if (!workers_[index].back_at || *workers_[index].back_at > now)
        {
            continue;
        }
        restart(index, workers_[index].incarnations % 2 == 0);
        if (planted_defect_ == planted_defect::rerun_after_crash)
        {
            rerun_crashed(index, now);
        }
    }
}

void pool_server::rerun_crashed(std::size_t index, core::common::time_point now)
{
    auto& worker = workers_[index];
    auto rerun = std::exchange(worker.crashed_by, std::nullopt);
    if (!rerun || ++rerun->attempt_id.attempt > max_planted_reruns)
    {
        return;
    }
    rerun->lease_until_ms =
        worker.state->apply(now, ports::poll_order{rerun->fencing_token})
            .clock_ms +
        rerun_lease_ms;
    worker.state->apply(now, *rerun);
}

void pool_server::restart(std::size_t worker, bool same_id)
{
    store_.erase("servers/" + info(worker).id);
    auto const id = "w" + std::to_string(worker);
    auto const incarnation = std::to_string(workers_[worker].incarnations);
    start_incarnation(worker,
                      same_id ? info(worker).id : id + "-" + incarnation);
    core::common::failure reason;
    serve(worker, reason);
}

void pool_server::drain(std::size_t worker)
{
    workers_[worker].state->drain();
    publish(worker);
}

void pool_server::handle_store_request(adapters::http::request const& request,
                                       adapters::http::responder const& respond)
{
    if (request.target == "/control/counts")
    {
        respond(counters_answer());
        return;
    }
    auto const operation = decode_store_call(request);
    if (!operation)
    {
        respond(error_response(400, "unknown store operation"));
        return;
    }
    store_gate_.handle(
        clock::now(),
        [this, operation = *operation](auto const& gated_respond)
        {
            execute(operation, gated_respond);
        },
        respond);
}

void pool_server::execute(ports::kv_operation const& operation,
                          adapters::http::responder const& respond)
{
    if (auto const* const watch = std::get_if<ports::kv_watch>(&operation))
    {
        answer_watch(*watch, respond);
        return;
    }
    auto const reply = store_.answer(clock::now(), operation);
    respond(encode(operation, *reply));
    apply_planted_loss(operation);
    wake_watches();
}

void pool_server::apply_planted_loss(ports::kv_operation const& operation)
{
    constexpr std::string_view job_prefix = "pool/job/";
    constexpr std::string_view cancel_suffix = "/cancel";
    constexpr std::uint64_t lost_every = 5;
    auto const* const commit = std::get_if<ports::kv_commit>(&operation);
    if (commit == nullptr || commit->puts.size() != 1 ||
        !commit->puts.front().key.starts_with(job_prefix))
    {
        return;
    }
    auto const& key = commit->puts.front().key;
    bool const is_cancel = key.ends_with(cancel_suffix);
    bool const lost_job_due = planted_defect_ == planted_defect::lost_job &&
                              !is_cancel && ++job_commits_ % lost_every == 0;
    if (lost_job_due ||
        (planted_defect_ == planted_defect::lost_cancel && is_cancel))
    {
        store_.lose_key(key);
    }
}

void pool_server::answer_watch(ports::kv_watch const& call,
                               adapters::http::responder const& respond)
{
    auto const now = clock::now();
    if (auto const reply = store_.answer(now, call))
    {
        respond(encode(call, *reply));
        return;
    }
    watches_.push_back({call, now + call.wait, respond});
}

void pool_server::wake_watches()
{
    auto const now = clock::now();
    for (auto watch = watches_.begin(); watch != watches_.end();)
    {
        auto reply = store_.answer(now, watch->call);
        if (!reply && now < watch->expires_at)
        {
            ++watch;
            continue;
        }
        if (!reply)
        {
            reply.emplace();
            reply->status = ports::kv_status::done;
            reply->revision = store_.revision();
        }
        watch->respond(encode(watch->call, *reply));
        watch = watches_.erase(watch);
    }
}

void pool_server::handle_worker_request(
    std::size_t index,
    adapters::http::request const& request,
    adapters::http::responder const& respond)
{
    auto const order = decode_order(request);
    if (!order)
    {
        respond(error_response(400, "unknown worker order"));
        return;
    }
    if (auto const target_id = request.header("Fuchsialanding-Target-Instance");
        target_id && *target_id != info(index).id)
    {
        respond(error_response(421, "another instance serves this address"));
        return;
    }
    workers_[index].gate.handle(
        clock::now(),
        [this, index, incarnation = info(index), order = *order](
            auto const& gated_respond)
        {
            execute_if_possible(index, incarnation, order, gated_respond);
        },
        respond);
}

// A late order reaches the next incarnation under the same id. Nothing can tell
// it from a present one before that incarnation has received another order.
void pool_server::execute_if_possible(std::size_t index,
                                      ports::pool_worker const& incarnation,
                                      ports::pool_operation const& order,
                                      adapters::http::responder const& respond)
{
    auto const& present = info(index);
    bool const restarted = present.incarnation != incarnation.incarnation;
    bool const has_received_order = workers_[index].state->fencing_token() != 0;
    bool const reached = !is_down(index) && present.id == incarnation.id &&
                         (!restarted || has_received_order);
    if (reached)
    {
        execute(index, order, respond);
    }
}

// Advances all workers to `now` first, so that a run that has already ended on
// another worker is not counted as an overlapping one.
void pool_server::execute(std::size_t index,
                          ports::pool_operation order,
                          adapters::http::responder const& respond)
{
    auto const now = clock::now();
    advance(now);
    auto& worker = *workers_[index].state;
    if (planted_defect_ == planted_defect::ignored_fence)
    {
        raise_token(order, worker.fencing_token());
    }
    auto const starts_before = worker.started_runs().size();
    auto const ends_before = worker.acknowledged_ends().size();
    auto reply = worker.apply(now, order);
    drop_late_ends(index, reply);
    count_violations(starts_before, worker);
    respond(encode(reply));
    bool const changed = worker.started_runs().size() > starts_before ||
                         worker.acknowledged_ends().size() > ends_before;
    if (changed && planted_defect_ != planted_defect::none)
    {
        violate_on_worker(index, order);
    }
}

void pool_server::note_end(std::size_t index, worker_event const& event)
{
    if (planted_defect_ != planted_defect::dropped_late_end)
    {
        return;
    }
    auto& ends = workers_[index].unlisted_ends;
    if (event.kind == worker_event_kind::ended)
    {
        ends[event.run] = clock::now();
    }
    else if (event.kind == worker_event_kind::acknowledged)
    {
        ends.erase(event.run);
    }
}

// An end keeps the kind with which it was listed first.
void pool_server::drop_late_ends(std::size_t index, ports::order_reply& reply)
{
    if (planted_defect_ != planted_defect::dropped_late_end)
    {
        return;
    }
    for (auto& row : reply.ended)
    {
        auto const noted = workers_[index].unlisted_ends.find(row.attempt_id);
        if (noted == workers_[index].unlisted_ends.end() || !noted->second)
        {
            continue;
        }
        if (clock::now() - *noted->second < dropped_end_age)
        {
            noted->second.reset();
        }
        else if (row.kind == ports::end_kind::done)
        {
            row.kind = ports::end_kind::lease_expired;
        }
    }
}

void pool_server::violate_on_worker(std::size_t index,
                                    ports::pool_operation const& order)
{
    auto const now = clock::now();
    auto& worker = *workers_[index].state;
    auto const* const start = std::get_if<ports::start_order>(&order);
    if (start != nullptr &&
        planted_defect_ == planted_defect::duplicate_placement)
    {
        workers_[(index + 1) % workers_.size()].state->apply(now, order);
    }
    if (start != nullptr &&
        planted_defect_ == planted_defect::early_dependent_step)
    {
        auto next_step = *start;
        ++next_step.attempt_id.task.step;
        worker.apply(now, next_step);
    }
    if (start == nullptr && planted_defect_ == planted_defect::rerun_after_end)
    {
        ports::start_order rerun;
        rerun.fencing_token = std::get<ports::poll_order>(order).fencing_token;
        rerun.attempt_id = worker.acknowledged_ends().back().attempt_id;
        ++rerun.attempt_id.attempt;
        rerun.spec = "work=200";
        rerun.lease_until_ms =
            worker.apply(now, order).clock_ms + rerun_lease_ms;
        worker.apply(now, rerun);
    }
}

// Counts the violations that users would see: a task that runs on two workers
// at once, or that starts again after its end as done was acknowledged.
void pool_server::count_violations(std::size_t starts_before,
                                   worker_state const& started_on)
{
    if (started_on.started_runs().size() == starts_before)
    {
        return;
    }
    ++starts_;
    auto const& task = started_on.started_runs().back().task;
    std::size_t running_workers = 0;
    for (auto const& worker : workers_)
    {
        running_workers += worker.state->runs(task) ? 1U : 0U;
        auto const& ends = worker.state->acknowledged_ends();
        starts_after_done_ += static_cast<std::uint64_t>(
            std::count_if(ends.begin(),
                          ends.end(),
                          [&task](ports::ended_attempt const& end)
                          {
                              return end.attempt_id.task == task &&
                                     end.kind == ports::end_kind::done;
                          }));
    }
    concurrent_runs_ += running_workers > 1 ? 1U : 0U;
}

adapters::http::response pool_server::counters_answer() const
{
    return counters_response({{"starts", starts_},
                              {"two_places", concurrent_runs_},
                              {"after_done", starts_after_done_}});
}

void pool_server::publish(std::size_t index)
{
    auto const& entry = info(index);
    store_.put("servers/" + entry.id, encode(entry));
}

void pool_server::advance(core::common::time_point now)
{
    for (auto& worker : workers_)
    {
        worker.state->advance(now);
    }
}

void pool_server::tick()
{
    auto const now = clock::now();
    crash_by_tasks(now);
    bring_back(now);
    advance(now);
    for (auto& worker : workers_)
    {
        worker.gate.process_due(now);
        if (worker.listed_until && *worker.listed_until <= now)
        {
            store_.erase("servers/" + worker.state->info().id);
            worker.listed_until.reset();
        }
    }
    store_gate_.process_due(now);
    store_.expire(now);
    wake_watches();
    ticker_.expires_after(tick_interval);
    ticker_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                tick();
            }
        });
}

} // namespace fuchsia::standins::pool
