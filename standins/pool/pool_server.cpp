#include "standins/pool/pool_server.hpp"

#include "standins/common/web.hpp"
#include "standins/pool/pool_codec.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::standins::pool
{

namespace
{

using core::common::clock;
constexpr core::common::duration tick_interval = std::chrono::milliseconds(20);
// So that incarnations differ between two runs of the stand-in.
constexpr std::uint64_t first_born = 1'700'000'000'000;

} // namespace

pool_server::pool_server(boost::asio::io_context& io,
                         pool_server_settings settings)
    : io_(io), settings_(std::move(settings)), ticker_(io)
{
    store_.put("op/config", encode_config(settings_.host, settings_.prefix));
    for (std::uint32_t number = 0; number < settings_.workers; ++number)
    {
        ports::pool_worker info;
        info.id = "w" + std::to_string(number);
        info.service = "pool";
        info.where = {
            settings_.store.address,
            static_cast<std::uint16_t>(settings_.first_worker_port + number)};
        info.data_centre = number % 2 == 0 ? "a" : "b";
        info.rack = "r" + info.data_centre;
        info.capacity = settings_.capacity;
        info.born = first_born + number;
        workers_.push_back(
            std::make_unique<worker_state>(info, clock::now(), 1.0));
    }
    publish();
}

std::optional<ports::endpoint>
pool_server::listen(core::common::failure& reason)
{
    servers_.push_back(std::make_unique<adapters::http::server>(
        io_,
        adapters::http::server_limits{},
        [this](auto request, auto respond)
        {
            on_store(request, respond);
        }));
    auto bound = servers_.back()->listen(settings_.store, reason);
    for (std::size_t number = 0; bound && number < workers_.size(); ++number)
    {
        servers_.push_back(std::make_unique<adapters::http::server>(
            io_,
            adapters::http::server_limits{},
            [this, number](auto request, auto respond)
            {
                on_worker(number, request, respond);
            }));
        if (!servers_.back()->listen(workers_[number]->info().where, reason))
        {
            return std::nullopt;
        }
    }
    tick();
    return bound;
}

void pool_server::stop()
{
    ticker_.cancel();
    for (auto& each : servers_)
    {
        each->close();
    }
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
        respond(refusal(400, "no such call"));
        return;
    }
    if (auto const* const watch = std::get_if<ports::kv_watch>(&*call))
    {
        answer_watch(*watch, respond);
        return;
    }
    auto const reply = store_.answer(clock::now(), *call);
    respond(encode(*call, *reply));
    wake_watches();
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
        respond(refusal(400, "no such order"));
        return;
    }
    auto& by = *workers_[number];
    auto const before = by.begun().size();
    auto const reply = by.apply(clock::now(), *order);
    check(before, by);
    respond(encode(reply));
}

// What the users would see: a task at work in two places, or again after its
// end was taken note of.
void pool_server::check(std::size_t begun_before, worker_state const& by)
{
    if (by.begun().size() == begun_before)
    {
        return;
    }
    ++starts_;
    auto const& task = by.begun().back().task;
    std::size_t places = 0;
    for (auto const& each : workers_)
    {
        places += each->runs(task) ? 1U : 0U;
        auto const& ends = each->acknowledged();
        after_done_ += static_cast<std::uint64_t>(
            std::count_if(ends.begin(),
                          ends.end(),
                          [&task](ports::ended_row const& row)
                          {
                              return row.what.task == task &&
                                     row.how == ports::end_kind::done;
                          }));
    }
    two_places_ += places > 1 ? 1U : 0U;
}

adapters::http::response pool_server::counts() const
{
    return books_answer({{"starts", starts_},
                         {"two_places", two_places_},
                         {"after_done", after_done_}});
}

void pool_server::publish()
{
    for (auto const& each : workers_)
    {
        store_.put("servers/" + each->info().id, encode(each->info()));
    }
}

void pool_server::tick()
{
    auto const now = clock::now();
    for (auto& each : workers_)
    {
        each->advance(now);
    }
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
