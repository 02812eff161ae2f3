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
constexpr std::uint32_t slots_each = 8;
constexpr int request_count = 60'000;
constexpr std::array<char const*, 4> customers{
    "estate-owners", "sawmill-buyers", "forest-cooperatives", "web-shop"};
constexpr duration peer_delay = 500us;
constexpr duration tick_interval = 10ms;
constexpr duration joining_time = 8s;
constexpr duration ending_time = 30s;
// Time between two requests: three quarters of what the slots carry.
constexpr duration request_interval = 125us;

class request_bench
{
public:
    explicit request_bench(signature& out) : out_(out), world_(seed)
    {
        write_configuration();
        for (int index = 0; index < entry_count; ++index)
        {
            add_entry(index);
        }
    }

    void run()
    {
        auto const start = world_.now();
        world_.run_until(start + joining_time);
        for (int number = 0; number < request_count; ++number)
        {
            world_.after(number * request_interval,
                         [this, number]
                         {
                             send_request(number);
                         });
        }
        world_.run_until(world_.now() + request_count * request_interval +
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
        entry made;
        made.self.id = {"entry-" + number, seed + index};
        made.self.role = "entry";
        made.self.data_centre = "dc-" + number;
        made.self.peer_address = {"10.0.0." + number, 8081};
        made.self.http_address = {"10.0.0." + number, 8080};
        made.engine = std::make_unique<entry_engine>(
            core::requests::entry_settings{}, made.self, seed + index);
        entries_.push_back(std::move(made));
        world_.after(index * 100ms,
                     [this, index]
                     {
                         ports::actions actions;
                         engine(index).start(world_.now(), actions);
                         perform(index, actions);
                         tick(index);
                         list_instances(index);
                     });
    }

    entry_engine& engine(int index)
    {
        return *entries_[static_cast<std::size_t>(index)].engine;
    }

    // Tells one engine of an event and performs what it answers.
    template<class Event>
    void tell(int index, Event event)
    {
        ports::actions actions;
        event(engine(index), actions);
        perform(index, actions);
    }

    void tick(int index)
    {
        tell(index,
             [this](entry_engine& to, ports::actions& out)
             {
                 to.tick(world_.now(), out);
             });
        world_.after(tick_interval,
                     [this, index]
                     {
                         tick(index);
                     });
    }

    void list_instances(int index)
    {
        ports::instance_list list;
        for (auto const& each : entries_)
        {
            list.members.push_back(each.self.id.name);
        }
        for (int number = 0; number < upstream_count; ++number)
        {
            ports::upstream_instance upstream;
            upstream.id = "upstream-" + std::to_string(number);
            upstream.remote_endpoint = {
                "10.0.1.1", static_cast<std::uint16_t>(9000 + number)};
            upstream.data_centre =
                "dc-" + std::to_string(number % entry_count + 1);
            upstream.slots = slots_each;
            upstream.connections = 60;
            upstream.slots_in_use = in_use_[upstream.id];
            list.upstreams.push_back(std::move(upstream));
        }
        list.received = world_.now();
        tell(index,
             [this, &list](entry_engine& to, ports::actions& out)
             {
                 to.on_instances(world_.now(), list, out);
             });
        world_.after(1s,
                     [this, index]
                     {
                         list_instances(index);
                     });
    }

    void send_request(int number)
    {
        ports::caller_request request;
        request.customer = customers[world_.random_below(customers.size())];
        request.kind = world_.random_below(5) == 0
                           ? ports::request_class::batch
                           : ports::request_class::latency_critical;
        request.method = world_.random_below(2) == 0 ? "GET" : "POST";
        request.target = "/lots/" + std::to_string(world_.random_below(100));
        request.body = "bid";
        request.attempt = 1;
        request.deadline = 300ms;
        bool const keyed =
            request.method == "POST" && world_.random_below(4) != 0;
        if (keyed)
        {
            request.idempotency_key = "key-" + std::to_string(number);
        }
        if (keyed && world_.random_below(10) == 0)
        {
            auto retry = request;
            retry.attempt = 2;
            world_.after(duration(world_.random_below(200'000)),
                         [this, number, retry]
                         {
                             arrive(request_count + number, retry);
                         });
        }
        arrive(number, request);
    }

    void arrive(int caller, ports::caller_request const& request)
    {
        auto const index = static_cast<int>(world_.random_below(entry_count));
        tell(index,
             [&](entry_engine& to, ports::actions& out)
             {
                 to.on_caller_request(world_.now(),
                                      static_cast<std::uint64_t>(caller),
                                      request,
                                      out);
             });
    }

    void perform(int index, ports::actions& actions)
    {
        for (auto& action : actions)
        {
            if (auto* const call = std::get_if<ports::store_call>(&action))
            {
                ask_store(index, std::move(*call));
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
                note(*reply);
            }
        }
    }

    void ask_store(int index, ports::store_call call)
    {
        store_.call(std::move(call),
                    [this, index](ports::store_reply const& reply)
                    {
                        tell(index,
                             [&](entry_engine& to, ports::actions& out)
                             {
                                 to.on_store_reply(world_.now(), reply, out);
                             });
                    });
    }

    void deliver(int from, ports::peer_send send)
    {
        for (int index = 0; index < entry_count; ++index)
        {
            auto const& to = entries_[static_cast<std::size_t>(index)].self.id;
            if (to != send.to)
            {
                continue;
            }
            ports::peer_receive const receive{
                entries_[static_cast<std::size_t>(from)].self.id,
                std::move(send.message)};
            world_.after(peer_delay,
                         [this, index, receive]
                         {
                             tell(index,
                                  [&](entry_engine& engine, ports::actions& out)
                                  {
                                      engine.on_peer(
                                          world_.now(), receive, out);
                                  });
                         });
            return;
        }
    }

    // One in 500 answers is lost, one in 500 comes after the time-out, one in
    // 200 connections is refused; the rest take 10 to 60 ms.
    void run_upstream(int index, ports::upstream_send const& send)
    {
        auto const fate = world_.random_below(1000);
        duration const service(10'000 + world_.random_below(50'000));
        if (fate >= 5)
        {
            ++in_use_[send.upstream];
            world_.after(service,
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
        if (fate < 5)
        {
            end.status = ports::exchange_status::not_sent;
            end_exchange(index, end, peer_delay);
            return;
        }
        if (fate < 7)
        {
            end.status = ports::exchange_status::lost;
        }
        if (fate < 9 && fate >= 7)
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
        world_.after(after,
                     [this, index, end]
                     {
                         tell(index,
                              [&](entry_engine& to, ports::actions& out)
                              {
                                  to.on_exchange_end(world_.now(), end, out);
                              });
                     });
    }

    void note(ports::caller_reply const& reply)
    {
        std::string text =
            std::to_string(reply.caller) + ' ' +
            std::to_string(reply.answer.status) + ' ' +
            std::to_string(static_cast<unsigned>(reply.answer.code));
        for (auto const& header : reply.answer.headers)
        {
            text += ' ' + header.value;
        }
        text += ' ' + std::to_string(world_.now().time_since_epoch().count());
        out_.add(text);
    }

    signature& out_;
    bench_event_loop world_;
    bench_store store_{world_};
    std::map<std::string, std::uint32_t> in_use_; ///< Slots, by upstream.
    std::vector<entry> entries_;
};

} // namespace

void bench_requests(signature& out)
{
    request_bench(out).run();
}

} // namespace fuchsia::tools::load
