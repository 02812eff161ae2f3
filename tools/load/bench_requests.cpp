#include "core/config/index.hpp"
#include "core/requests/entry_engine.hpp"
#include "tools/load/bench.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fuchsia::tools::load
{

namespace
{

using namespace std::chrono_literals;
using core::common::duration;
using core::requests::entry_engine;

constexpr std::uint64_t seed = 20'261'202;
constexpr int entry_count = 3;
constexpr int upstream_count = 48;
constexpr std::uint32_t slots_per_upstream = 8;
constexpr int request_count = 60'000;
constexpr std::array<char const*, 4> customers{
    "estate-owners", "sawmill-buyers", "forest-cooperatives", "web-shop"};
constexpr duration peer_delay = 500us;
constexpr duration tick_interval = 10ms;
constexpr duration joining_time = 8s;
constexpr duration ending_time = 30s;
// Time between two requests. It loads the upstream slots to three quarters.
constexpr duration request_interval = 125us;

class request_bench
{
public:
    explicit request_bench(signature& decisions)
        : decisions_(decisions), loop_(seed)
    {
        write_configuration();
        for (int index = 0; index < entry_count; ++index)
        {
            add_entry(index);
        }
    }

    void run()
    {
        auto const start = loop_.now();
        loop_.run_until(start + joining_time);
        for (int number = 0; number < request_count; ++number)
        {
            loop_.after(number * request_interval,
                        [this, number]
                        {
                            send_request(number);
                        });
        }
        loop_.run_until(loop_.now() + request_count * request_interval +
                        ending_time);
    }

private:
    struct entry
    {
        core::membership::member_info self;
        std::unique_ptr<entry_engine> engine;
    };

    void write_configuration()
    {
        core::config::index_document index;
        index.revision = 1;
        for (auto const* const customer : customers)
        {
            core::contracts::contract contract;
            contract.customer = customer;
            contract.requests_in_flight = 150;
            contract.requests_per_second = 4'000;
            contract.latency_target = 400ms;
            contract.batch_latency_target = 5s;
            contract.batch_permille = 500;
            auto const document = core::config::document_name(1, "bench");
            index.contracts[customer] = {1, false, document};
            store_.put(core::config::document_key(customer, document),
                       core::contracts::to_json(contract));
        }
        store_.put(std::string(core::config::index_key),
                   core::config::to_json(index));
    }

    void add_entry(int index)
    {
        auto const number = std::to_string(index + 1);
        entry new_entry;
        new_entry.self.id = {"entry-" + number, seed + index};
        new_entry.self.role = "entry";
        new_entry.self.data_centre = "dc-" + number;
        new_entry.self.peer_address = {"10.0.0." + number, 8081};
        new_entry.self.http_address = {"10.0.0." + number, 8080};
        new_entry.engine = std::make_unique<entry_engine>(
            core::requests::entry_settings{}, new_entry.self, seed + index);
        entries_.push_back(std::move(new_entry));
        loop_.after(index * 100ms,
                    [this, index]
                    {
                        ports::actions actions;
                        engine(index).start(loop_.now(), actions);
                        execute_actions(index, actions);
                        tick(index);
                        list_instances(index);
                    });
    }

    entry_engine& engine(int index)
    {
        return *entries_[static_cast<std::size_t>(index)].engine;
    }

    // Passes an event to one engine and executes the resulting actions.
    template<class Event>
    void dispatch(int index, Event event)
    {
        ports::actions actions;
        event(engine(index), actions);
        execute_actions(index, actions);
    }

    void tick(int index)
    {
        dispatch(index,
                 [this](entry_engine& target, ports::actions& actions)
                 {
                     target.tick(loop_.now(), actions);
                 });
        loop_.after(tick_interval,
                    [this, index]
                    {
                        tick(index);
                    });
    }

    void list_instances(int index)
    {
        ports::instance_list list;
        for (auto const& member : entries_)
        {
            list.members.push_back(member.self.id.name);
        }
        for (int number = 0; number < upstream_count; ++number)
        {
            ports::upstream_instance upstream;
            upstream.id = "upstream-" + std::to_string(number);
            upstream.remote_endpoint = {
                "10.0.1.1", static_cast<std::uint16_t>(9000 + number)};
            upstream.data_centre =
                "dc-" + std::to_string(number % entry_count + 1);
            upstream.slots = slots_per_upstream;
            upstream.connections = 60;
            upstream.slots_in_use = in_use_[upstream.id];
            list.upstreams.push_back(std::move(upstream));
        }
        list.received = loop_.now();
        dispatch(index,
                 [this, &list](entry_engine& target, ports::actions& actions)
                 {
                     target.on_instances(loop_.now(), list, actions);
                 });
        loop_.after(1s,
                    [this, index]
                    {
                        list_instances(index);
                    });
    }

    void send_request(int number)
    {
        ports::caller_request request;
        request.customer = customers[loop_.random_below(customers.size())];
        request.kind = loop_.random_below(5) == 0
                           ? ports::request_class::batch
                           : ports::request_class::latency_critical;
        request.method = loop_.random_below(2) == 0 ? "GET" : "POST";
        request.target = "/lots/" + std::to_string(loop_.random_below(100));
        request.body = "bid";
        request.attempt = 1;
        request.deadline = 300ms;
        bool const keyed =
            request.method == "POST" && loop_.random_below(4) != 0;
        if (keyed)
        {
            request.idempotency_key = "key-" + std::to_string(number);
        }
        if (keyed && loop_.random_below(10) == 0)
        {
            auto retry = request;
            retry.attempt = 2;
            loop_.after(duration(loop_.random_below(200'000)),
                        [this, number, retry]
                        {
                            arrive(request_count + number, retry);
                        });
        }
        arrive(number, request);
    }

    void arrive(int caller, ports::caller_request const& request)
    {
        auto const index = static_cast<int>(loop_.random_below(entry_count));
        dispatch(index,
                 [&](entry_engine& target, ports::actions& actions)
                 {
                     target.on_caller_request(
                         loop_.now(),
                         static_cast<std::uint64_t>(caller),
                         request,
                         actions);
                 });
    }

    void execute_actions(int index, ports::actions& actions)
    {
        for (auto& action : actions)
        {
            if (auto* const call = std::get_if<ports::store_call>(&action))
            {
                send_store_call(index, std::move(*call));
            }
            else if (auto* const send = std::get_if<ports::peer_send>(&action))
            {
                deliver(index, std::move(*send));
            }
            else if (auto* const run =
                         std::get_if<ports::upstream_send>(&action))
            {
                run_upstream(index, *run);
            }
            else if (auto* const reply =
                         std::get_if<ports::caller_reply>(&action))
            {
                record_reply(*reply);
            }
        }
    }

    void send_store_call(int index, ports::store_call call)
    {
        store_.call(
            std::move(call),
            [this, index](ports::store_reply const& reply)
            {
                dispatch(index,
                         [&](entry_engine& target, ports::actions& actions)
                         {
                             target.on_store_reply(loop_.now(), reply, actions);
                         });
            });
    }

    void deliver(int from, ports::peer_send send)
    {
        for (int index = 0; index < entry_count; ++index)
        {
            auto const& receiver =
                entries_[static_cast<std::size_t>(index)].self.id;
            if (receiver != send.to)
            {
                continue;
            }
            ports::peer_receive const receive{
                entries_[static_cast<std::size_t>(from)].self.id,
                std::move(send.message)};
            loop_.after(
                peer_delay,
                [this, index, receive]
                {
                    dispatch(index,
                             [&](entry_engine& engine, ports::actions& actions)
                             {
                                 engine.on_peer(loop_.now(), receive, actions);
                             });
                });
            return;
        }
    }

    // One in 500 answers is lost, one in 500 arrives after the time-out and one
    // in 200 connections is refused. The rest take 10 to 60 ms.
    void run_upstream(int index, ports::upstream_send const& send)
    {
        auto const outcome = loop_.random_below(1000);
        duration const service(10'000 + loop_.random_below(50'000));
        if (outcome >= 5)
        {
            ++in_use_[send.upstream];
            loop_.after(service,
                        [this, id = send.upstream]
                        {
                            --in_use_[id];
                        });
        }
        ports::upstream_end end;
        end.exchange = send.exchange;
        end.http_status = 200;
        end.headers.push_back({"Upstream-Id", send.upstream});
        end.status = ports::exchange_status::answered;
        if (outcome < 5)
        {
            end.status = ports::exchange_status::not_sent;
            end_exchange(index, end, peer_delay);
            return;
        }
        if (outcome < 7)
        {
            end.status = ports::exchange_status::lost;
        }
        if (outcome < 9 && outcome >= 7)
        {
            end.status = ports::exchange_status::timed_out;
            end_exchange(index, end, std::min(send.timeout, service));
            end.status = ports::exchange_status::drained;
            end_exchange(index, end, std::max(send.timeout, service) + 1ms);
            return;
        }
        end_exchange(index, end, service);
    }

    void end_exchange(int index, ports::upstream_end const& end, duration after)
    {
        loop_.after(
            after,
            [this, index, end]
            {
                dispatch(index,
                         [&](entry_engine& target, ports::actions& actions)
                         {
                             target.on_exchange_end(loop_.now(), end, actions);
                         });
            });
    }

    void record_reply(ports::caller_reply const& reply)
    {
        std::string text =
            std::to_string(reply.caller) + ' ' +
            std::to_string(reply.answer.status) + ' ' +
            std::to_string(static_cast<unsigned>(reply.answer.code));
        for (auto const& header : reply.answer.headers)
        {
            text += ' ' + header.value;
        }
        text += ' ' + std::to_string(loop_.now().time_since_epoch().count());
        decisions_.add(text);
    }

    signature& decisions_;
    bench_event_loop loop_;
    bench_store store_{loop_};
    std::map<std::string, std::uint32_t> in_use_; ///< Slots in use by upstream.
    std::vector<entry> entries_;
};

} // namespace

void bench_requests(signature& decisions)
{
    request_bench(decisions).run();
}

} // namespace fuchsia::tools::load
