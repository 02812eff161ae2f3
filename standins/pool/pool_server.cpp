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
// So that incarnations differ between two runs of the stand-in.
constexpr std::uint64_t first_born = 1'700'000'000'000;
constexpr std::uint64_t life_step = 1000;
// An entry outlives its worker by a few of its heartbeats.
constexpr core::common::duration listed_after_death =
    std::chrono::milliseconds(900);
constexpr std::uint64_t again_ms = 1000;

} // namespace

pool_server::pool_server(boost::asio::io_context& io,
                         pool_server_settings settings)
    : io_(io), settings_(std::move(settings)), workers_(settings_.workers),
      ticker_(io)
{
    store_.put("op/config",
               encode_config(1, {{"jobs", settings_.host, settings_.prefix}}));
    for (std::size_t number = 0; number < workers_.size(); ++number)
    {
        be_born(number, "w" + std::to_string(number));
    }
}

void pool_server::be_born(std::size_t number, std::string const& id)
{
    auto& made = workers_[number];
    auto const first = settings_.advertised_worker_port != 0
                           ? settings_.advertised_worker_port
                           : settings_.first_worker_port;
    ports::pool_worker entry;
    entry.id = id;
    entry.service = "pool";
    entry.remote_endpoint = {settings_.store.address,
                             static_cast<std::uint16_t>(first + number)};
    entry.data_centre = number % 2 == 0 ? "a" : "b";
    entry.rack = "r" + entry.data_centre;
    entry.capacity = settings_.capacity;
    entry.incarnation = first_born + number + made.incarnations * life_step;
    made.state = std::make_unique<worker_state>(entry, clock::now(), 1.0);
    made.listed_until.reset();
    ++made.incarnations;
    made.state->observe(
        [this, number](worker_event const& event)
        {
            if (observer_)
            {
                observer_(info(number), event);
            }
        });
    publish(number);
}

std::optional<ports::endpoint>
pool_server::listen(core::common::failure& reason)
{
    store_server_ = std::make_unique<adapters::http::server>(
        io_,
        adapters::http::server_limits{},
        [this](auto request, auto respond)
        {
            on_store(request, respond);
        });
    auto bound = store_server_->listen(settings_.store, reason);
    for (std::size_t number = 0; bound && number < workers_.size(); ++number)
    {
        if (!serve(number, reason))
        {
            return std::nullopt;
        }
    }
    tick();
    return bound;
}

bool pool_server::serve(std::size_t number, core::common::failure& reason)
{
    auto& server = workers_[number].server;
    server = std::make_unique<adapters::http::server>(
        io_,
        adapters::http::server_limits{},
        [this, number](auto request, auto respond)
        {
            on_worker(number, request, respond);
        });
    auto const port = settings_.first_worker_port + number;
    return server
        ->listen({settings_.store.address, static_cast<std::uint16_t>(port)},
                 reason)
        .has_value();
}

void pool_server::stop()
{
    ticker_.cancel();
    store_server_->close();
    for (auto& each : workers_)
    {
        each.server->close();
    }
}

void pool_server::observe(observer tell)
{
    observer_ = std::move(tell);
}

void pool_server::plant_defect(planted_defect what)
{
    planted_ = what;
}

kv_state& pool_server::store() noexcept
{
    return store_;
}

fault_gate& pool_server::store_fault_gate() noexcept
{
    return before_store_;
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
    return workers_[worker].before;
}

void pool_server::crash(std::size_t worker)
{
    auto& dead = workers_[worker];
    dead.server->close();
    dead.before.clear();
    dead.before.set(fault_gate_mode::open);
    dead.state =
        std::make_unique<worker_state>(info(worker), clock::now(), 1.0);
    dead.listed_until = clock::now() + listed_after_death;
}

void pool_server::restart(std::size_t worker, bool same_id)
{
    store_.erase("servers/" + info(worker).id);
    auto const id = "w" + std::to_string(worker);
    auto const lives = std::to_string(workers_[worker].incarnations);
    be_born(worker, same_id ? info(worker).id : id + "-" + lives);
    core::common::failure reason;
    serve(worker, reason);
}

void pool_server::drain(std::size_t worker)
{
    workers_[worker].state->drain();
    publish(worker);
}

void pool_server::on_store(adapters::http::request const& request,
                           adapters::http::responder const& respond)
{
    if (request.target == "/control/counts")
    {
        respond(counts());
        return;
    }
    auto const call = decode_store_call(request);
    if (!call)
    {
        respond(error_response(400, "no such call"));
        return;
    }
    before_store_.handle(
        clock::now(),
        [this, call = *call](auto const& answer)
        {
            carry_out(call, answer);
        },
        respond);
}

void pool_server::carry_out(ports::kv_operation const& call,
                            adapters::http::responder const& respond)
{
    if (auto const* const watch = std::get_if<ports::kv_watch>(&call))
    {
        answer_watch(*watch, respond);
        return;
    }
    auto const reply = store_.answer(clock::now(), call);
    respond(encode(call, *reply));
    forget_planted(call);
    wake_watches();
}

void pool_server::forget_planted(ports::kv_operation const& call)
{
    constexpr std::string_view job_prefix = "pool/job/";
    constexpr std::string_view cancel_suffix = "/cancel";
    constexpr std::uint64_t lost_every = 5;
    auto const* const commit = std::get_if<ports::kv_commit>(&call);
    if (commit == nullptr || commit->puts.size() != 1 ||
        !commit->puts.front().key.starts_with(job_prefix))
    {
        return;
    }
    auto const& key = commit->puts.front().key;
    bool const cancel = key.ends_with(cancel_suffix);
    bool const lost = planted_ == planted_defect::lost_job && !cancel &&
                      ++commits_of_jobs_ % lost_every == 0;
    if (lost || (planted_ == planted_defect::lost_cancel && cancel))
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
    for (auto each = watches_.begin(); each != watches_.end();)
    {
        auto reply = store_.answer(now, each->call);
        if (!reply && now < each->until)
        {
            ++each;
            continue;
        }
        if (!reply)
        {
            reply.emplace();
            reply->status = ports::kv_status::done;
            reply->revision = store_.revision();
        }
        each->respond(encode(each->call, *reply));
        each = watches_.erase(each);
    }
}

void pool_server::on_worker(std::size_t number,
                            adapters::http::request const& request,
                            adapters::http::responder const& respond)
{
    auto const order = decode_order(request);
    if (!order)
    {
        respond(error_response(400, "no such order"));
        return;
    }
    if (auto const meant = request.header("Fuchsialanding-Target-Instance");
        meant && *meant != info(number).id)
    {
        respond(error_response(421, "another instance lives here"));
        return;
    }
    workers_[number].before.handle(
        clock::now(),
        [this, number, order = *order](auto const& answer)
        {
            carry_out(number, order, answer);
        },
        respond);
}

// All workers first come to this moment: no run seems to overlap another that
// was over.
void pool_server::carry_out(std::size_t number,
                            ports::pool_operation const& order,
                            adapters::http::responder const& respond)
{
    auto const now = clock::now();
    advance(now);
    auto& by = *workers_[number].state;
    auto const before = by.started_runs().size();
    auto const ends = by.acknowledged_ends().size();
    auto const reply = by.apply(now, order);
    check(before, by);
    respond(encode(reply));
    bool const news = by.started_runs().size() > before ||
                      by.acknowledged_ends().size() > ends;
    if (news && planted_ != planted_defect::none)
    {
        violate_on_worker(number, order);
    }
}

void pool_server::violate_on_worker(std::size_t number,
                                    ports::pool_operation const& order)
{
    auto const now = clock::now();
    auto& by = *workers_[number].state;
    auto const* const begun = std::get_if<ports::start_order>(&order);
    if (begun != nullptr && planted_ == planted_defect::duplicate_placement)
    {
        workers_[(number + 1) % workers_.size()].state->apply(now, order);
    }
    if (begun != nullptr && planted_ == planted_defect::early_dependent_step)
    {
        auto next = *begun;
        ++next.attempt_id.task.step;
        by.apply(now, next);
    }
    if (begun == nullptr && planted_ == planted_defect::rerun_after_end)
    {
        ports::start_order again;
        again.fencing_token = std::get<ports::poll_order>(order).fencing_token;
        again.attempt_id = by.acknowledged_ends().back().attempt_id;
        ++again.attempt_id.attempt;
        again.spec = "work=200";
        again.lease_until_ms = by.apply(now, order).clock_ms + again_ms;
        by.apply(now, again);
    }
}

// What the users would see: a task at work in two places, or again after its
// end was taken note of.
void pool_server::check(std::size_t begun_before, worker_state const& by)
{
    if (by.started_runs().size() == begun_before)
    {
        return;
    }
    ++starts_;
    auto const& task = by.started_runs().back().task;
    std::size_t places = 0;
    for (auto const& each : workers_)
    {
        places += each.state->runs(task) ? 1U : 0U;
        auto const& ends = each.state->acknowledged_ends();
        after_done_ += static_cast<std::uint64_t>(
            std::count_if(ends.begin(),
                          ends.end(),
                          [&task](ports::ended_attempt const& row)
                          {
                              return row.attempt_id.task == task &&
                                     row.kind == ports::end_kind::done;
                          }));
    }
    two_places_ += places > 1 ? 1U : 0U;
}

adapters::http::response pool_server::counts() const
{
    return counters_response({{"starts", starts_},
                              {"two_places", two_places_},
                              {"after_done", after_done_}});
}

void pool_server::publish(std::size_t number)
{
    auto const& entry = info(number);
    store_.put("servers/" + entry.id, encode(entry));
}

void pool_server::advance(core::common::time_point now)
{
    for (auto& each : workers_)
    {
        each.state->advance(now);
    }
}

void pool_server::tick()
{
    auto const now = clock::now();
    advance(now);
    for (auto& each : workers_)
    {
        each.before.process_due(now);
        if (each.listed_until && *each.listed_until <= now)
        {
            store_.erase("servers/" + each.state->info().id);
            each.listed_until.reset();
        }
    }
    before_store_.process_due(now);
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
