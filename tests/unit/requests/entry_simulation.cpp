#include "entry_simulation.hpp"

#include "core/config/index.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::tests::unit::requests
{

namespace
{

using namespace std::chrono_literals;
using core::common::outcome;

constexpr duration tick_interval = 50ms;
constexpr duration list_interval = 500ms;
/// An answer may be late by a tick and the check's own grain.
constexpr duration answer_grace = 150ms;
/// A lowered contract holds everywhere this long after the last entry learned
/// of it: its slice runs out (2 s), and what was admitted last waits for at
/// most 2.5 s and runs for at most 10 s.
constexpr duration contract_grace = 15s;
constexpr char const* customer = "estate-owners";
constexpr char const* sending_header = "X-Sending";

std::string sending_of(ports::caller_request const& request)
{
    for (auto const& one : request.headers)
    {
        if (one.name == sending_header)
        {
            return one.value;
        }
    }
    return "";
}

ports::caller_request make(std::string method, std::string const& body)
{
    ports::caller_request request;
    request.customer = customer;
    request.method = std::move(method);
    request.target = "/bids";
    request.body = body;
    request.deadline = 2s;
    return request;
}

} // namespace

entry_settings short_settings()
{
    entry_settings settings;
    settings.upstreams.max_execution = 3s;
    settings.upstreams.report_slack = 0ms;
    settings.keys.retention = 30s;
    settings.max_delivery_time = 2s;
    settings.balancer_lag = 500ms;
    settings.handover_stage_timeout = 4s;
    return settings;
}

ports::caller_request bid_request(std::string const& key, std::uint32_t attempt)
{
    auto request = make("POST", "body of " + key);
    request.idempotency_key = key;
    request.attempt = attempt;
    return request;
}

ports::caller_request unkeyed_request(std::string const& body)
{
    return make("POST", body);
}

ports::caller_request get_request(std::string const& body)
{
    return make("GET", body);
}

entry_simulation::entry_simulation(entry_simulation_options const& options)
    : store(time, options.seed * 2 + 1),
      link(time,
           options.seed * 3 + 1,
           [this](std::string const& address,
                  ports::member_identity const& to,
                  ports::peer_receive const& message)
           {
               for (auto const& who : nodes_)
               {
                   if (who && who->address == address && who->id == to)
                   {
                       deliver(who,
                               [message](entry_engine& engine,
                                         time_point now,
                                         ports::actions& out)
                               {
                                   engine.on_peer(now, message, out);
                               });
                   }
               }
           }),
      options_(options), random_(options_.seed), nodes_(options_.entries)
{
    for (std::size_t at = 0; at < options_.upstreams; ++at)
    {
        upstreams_["upstream-" + std::to_string(at)];
    }
    put_contract(options_.in_flight);
    publish_list();
}

void entry_simulation::start(std::size_t entry)
{
    kill(entry);
    begin(entry);
}

void entry_simulation::begin(std::size_t entry)
{
    auto const who = std::make_shared<simulated_entry>();
    who->id = {"entry-" + std::to_string(entry), random_() | 1U};
    who->address = "10.0.0." + std::to_string(entry);
    core::membership::member_info info;
    info.id = who->id;
    info.role = "entry";
    info.data_centre = "dc-" + std::to_string(entry % 3);
    info.peer_address = {who->address, 7000};
    info.http_address = {who->address, 8000};
    who->engine =
        std::make_unique<entry_engine>(options_.settings, info, random_());
    nodes_[entry] = who;
    run_in(who,
           [](entry_engine& engine, time_point now, ports::actions& out)
           {
               engine.start(now, out);
           });
    tick(who);
}

void entry_simulation::start_all()
{
    for (std::size_t entry = 0; entry < options_.entries; ++entry)
    {
        start(entry);
    }
}

void entry_simulation::kill(std::size_t entry)
{
    if (!nodes_[entry])
    {
        return;
    }
    nodes_[entry]->ended = true;
    for (auto const& old : retired_)
    {
        old->ended = old->ended || old->id.name == nodes_[entry]->id.name;
    }
}

void entry_simulation::freeze(std::size_t entry)
{
    if (nodes_[entry])
    {
        nodes_[entry]->frozen = true;
        nodes_[entry]->frozen_at = time.now();
    }
}

void entry_simulation::unfreeze(std::size_t entry)
{
    auto const who = nodes_[entry];
    if (!who || !std::exchange(who->frozen, false))
    {
        return;
    }
    who->processing_backlog = true;
    auto waiting = std::exchange(who->inbox, {});
    for (auto const& what : waiting)
    {
        what();
    }
    // The engine must hold its promises though the tick comes last here; a
    // daemon ticks first of all.
    deliver(who,
            [](entry_engine& engine, time_point now, ports::actions& out)
            {
                engine.tick(now, out);
            });
    who->processing_backlog = false;
}

void entry_simulation::stop(std::size_t entry)
{
    deliver(nodes_[entry],
            [](entry_engine& engine, time_point now, ports::actions& out)
            {
                engine.begin_stop(now, out);
            });
}

bool entry_simulation::is_running(std::size_t entry) const
{
    auto const& who = nodes_[entry];
    return who && !who->ended && !who->frozen;
}

bool entry_simulation::has_stopped(std::size_t entry) const
{
    return nodes_[entry] && nodes_[entry]->stopped;
}

entry_engine& entry_simulation::engine(std::size_t entry)
{
    return *nodes_[entry]->engine;
}

void entry_simulation::run(duration length)
{
    time.run(length);
}

bool entry_simulation::run_until(std::function<bool()> const& wanted,
                                 duration limit)
{
    time_point const until = time.now() + limit;
    while (!wanted())
    {
        if (!time.step(until))
        {
            return wanted();
        }
    }
    return true;
}

bool entry_simulation::run_until_stable()
{
    bool const served = run_until(
        [this]
        {
            std::size_t owned = 0;
            for (std::size_t at = 0; at < options_.entries; ++at)
            {
                if (!is_running(at) || !engine(at).ready(time.now()))
                {
                    return false;
                }
                owned += engine(at).status(time.now()).owned_partitions;
            }
            return owned == core::common::partition_count;
        },
        30s);
    // Slices, usage reports and the window for first sendings.
    run(10s);
    return served;
}

std::uint64_t entry_simulation::send(std::size_t entry,
                                     ports::caller_request request,
                                     duration delay)
{
    std::uint64_t const id = ++last_sending_;
    request.headers.push_back({sending_header, std::to_string(id)});
    sendings_[id] = {id, nullptr, {}, std::move(request), 0, {}};
    time.after(delay,
               [this, id, entry]
               {
                   read(id, nodes_[entry]);
               });
    return id;
}

void entry_simulation::read(std::uint64_t id,
                            simulated_entry_pointer const& who)
{
    deliver(who,
            [this, id, who](
                entry_engine& engine, time_point now, ports::actions& out)
            {
                auto& one = sendings_.at(id);
                one.receiving_entry = who;
                one.read_at = now;
                engine.on_caller_request(now, id, one.request, out);
                time.after(one.request.deadline + answer_grace,
                           [this, id, who]
                           {
                               bool const there = !who->ended && !who->frozen;
                               if (there && !answered(id))
                               {
                                   fail("sending " + std::to_string(id) +
                                        " was not answered in time");
                               }
                           });
            });
}

sent_request const& entry_simulation::at(std::uint64_t id) const
{
    return sendings_.at(id);
}

bool entry_simulation::answered(std::uint64_t id) const
{
    return sendings_.at(id).answers > 0;
}

std::uint32_t entry_simulation::run_count(std::string const& body) const
{
    auto const found = runs_.find(body);
    return found == runs_.end() ? 0 : found->second;
}

std::uint32_t entry_simulation::running() const
{
    std::uint32_t sum = 0;
    for (auto const& [id, one] : upstreams_)
    {
        sum += one.running;
    }
    return sum;
}

std::size_t entry_simulation::owner_of(std::string const& key) const
{
    auto const partition =
        core::common::partition_of(core::requests::customer_key(customer, key));
    for (std::size_t at = 0; at < nodes_.size(); ++at)
    {
        auto const& who = nodes_[at];
        if (who && !who->ended && !who->frozen &&
            who->engine->claims().owns(
                time.now(),
                core::requests::partition_name(partition),
                who->engine->members()))
        {
            return at;
        }
    }
    return nodes_.size();
}

std::size_t entry_simulation::other_than(std::size_t entry) const
{
    return entry == 0 ? 1 : 0;
}

void entry_simulation::put_contract(std::uint32_t in_flight)
{
    ++revision_;
    core::contracts::contract limits;
    limits.customer = customer;
    limits.requests_in_flight = in_flight;
    limits.requests_per_second = 100'000;
    limits.latency_target = 2s;
    limits.batch_latency_target = 10s;
    auto const document = core::config::document_name(revision_, "w");
    core::config::index_document index;
    index.revision = revision_;
    index.recent_writes[revision_] = "w";
    index.contracts[customer] = {revision_, false, document};
    store.contents.apply(
        ports::store_write{core::config::document_key(customer, document),
                           core::contracts::to_json(limits),
                           0});
    std::string const key(core::config::index_key);
    auto const* known = store.contents.find(key);
    store.contents.apply(ports::store_write{
        key, core::config::to_json(index), known ? known->version : 0});
}

void entry_simulation::cut(std::size_t from, std::size_t to, bool is_cut)
{
    auto const way = std::pair("10.0.0." + std::to_string(from),
                               "10.0.0." + std::to_string(to));
    if (is_cut)
    {
        link.faults.cut.insert(way);
    }
    else
    {
        link.faults.cut.erase(way);
    }
}

std::uint32_t entry_simulation::in_flight() const
{
    std::uint32_t sum = 0;
    for (auto const& who : nodes_)
    {
        bool const counts = who && !who->ended && !counts_stand_still(*who);
        sum += counts ? who->engine->in_flight(customer) : 0;
    }
    return sum;
}

void entry_simulation::tick(simulated_entry_pointer const& who)
{
    if (who->ended)
    {
        return;
    }
    if (!who->frozen)
    {
        run_in(who,
               [](entry_engine& engine, time_point now, ports::actions& out)
               {
                   engine.tick(now, out);
               });
    }
    time.after(tick_interval + duration(random_() % 5000),
               [this, who]
               {
                   tick(who);
               });
}

void entry_simulation::deliver(simulated_entry_pointer const& who,
                               event const& what)
{
    if (!who || who->ended)
    {
        return;
    }
    if (who->frozen)
    {
        who->inbox.push_back(
            [this, who, what]
            {
                run_in(who, what);
            });
        return;
    }
    run_in(who, what);
}

void entry_simulation::run_in(simulated_entry_pointer const& who,
                              event const& what)
{
    if (who->ended)
    {
        return;
    }
    ports::actions out;
    what(*who->engine, time.now(), out);
    perform(who, out);
    check_contract();
}

void entry_simulation::perform(simulated_entry_pointer const& who,
                               ports::actions const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* call = std::get_if<ports::store_call>(&action))
        {
            store.call(who->address,
                       *call,
                       [this, who](ports::store_reply const& reply)
                       {
                           deliver(who,
                                   [reply](entry_engine& engine,
                                           time_point now,
                                           ports::actions& out)
                                   {
                                       engine.on_store_reply(now, reply, out);
                                   });
                       });
        }
        else if (auto const* message = std::get_if<ports::peer_send>(&action))
        {
            link.send(who->address, who->id, *message);
        }
        else if (auto const* request =
                     std::get_if<ports::upstream_send>(&action))
        {
            run_on_upstream(who, *request);
        }
        else if (auto const* reply = std::get_if<ports::caller_reply>(&action))
        {
            on_reply(*reply);
        }
        else if (std::holds_alternative<ports::stop_complete>(action))
        {
            who->stopped = true;
            who->ended = true;
        }
        else if (std::holds_alternative<ports::rejoin>(action))
        {
            // Its callers are answered before it goes on as a new incarnation.
            auto const slot = static_cast<std::size_t>(
                std::find(nodes_.begin(), nodes_.end(), who) - nodes_.begin());
            time.after(0ms,
                       [this, who, slot]
                       {
                           ports::actions last;
                           who->engine->retire(time.now(), last);
                           perform(who, last);
                           if (slot < nodes_.size() && !who->ended)
                           {
                               retired_.push_back(who);
                               begin(slot);
                           }
                       });
        }
    }
}

void entry_simulation::run_on_upstream(simulated_entry_pointer const& who,
                                       ports::upstream_send const& what)
{
    using enum ports::exchange_status;
    if (chance(faults.not_sent_permille))
    {
        end_later(who, what.exchange, not_sent, what.request, 1ms);
        return;
    }
    duration const way = 1ms;
    if (chance(faults.refused_permille))
    {
        refuse_later(who, what.exchange, 2 * way);
        return;
    }
    duration const spread = faults.slowest - faults.fastest;
    duration const service =
        faults.fastest +
        duration(static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(spread.count() + 1)));
    bool const loses = chance(faults.lost_permille);
    time.after(way,
               [this, what]
               {
                   begin_on_upstream(what);
               });
    time.after(way + service,
               [this, id = what.upstream]
               {
                   --upstreams_.at(id).running;
               });
    end_later(who,
              what.exchange,
              loses ? lost : answered,
              what.request,
              loses ? 2 * way : 2 * way + service);
}

void entry_simulation::refuse_later(simulated_entry_pointer const& who,
                                    std::uint64_t exchange,
                                    duration after)
{
    ports::upstream_end end;
    end.exchange = exchange;
    end.status = ports::exchange_status::answered;
    end.http_status = 503;
    end.headers.push_back({"upstream-outcome", "not-run"});
    time.after(after,
               [this, who, end]
               {
                   deliver(who,
                           [end](entry_engine& engine,
                                 time_point now,
                                 ports::actions& out)
                           {
                               engine.on_exchange_end(now, end, out);
                           });
               });
}

void entry_simulation::begin_on_upstream(ports::upstream_send const& what)
{
    auto& one = upstreams_.at(what.upstream);
    if (++one.running > options_.slots)
    {
        fail(what.upstream + " got more work than it holds");
    }
    auto const& request = what.request;
    ran_sendings_.insert(sending_of(request));
    std::uint32_t const runs = ++runs_[request.body];
    first_runs_.emplace(request.body, time.now());
    if (request.method == "POST" && runs > 1)
    {
        fail(request.body + " ran twice");
    }
    std::uint64_t const id = std::stoull(sending_of(request));
    auto const& from = sendings_.at(id);
    if (from.answers > 0 && from.answer.outcome == outcome::not_run)
    {
        fail("sending " + std::to_string(id) + " ran after it was refused");
    }
}

void entry_simulation::end_later(simulated_entry_pointer const& who,
                                 std::uint64_t exchange,
                                 ports::exchange_status status,
                                 ports::caller_request const& request,
                                 duration wait)
{
    ports::upstream_end end;
    end.exchange = exchange;
    end.status = status;
    if (status == ports::exchange_status::answered)
    {
        end.http_status = 200;
        end.body = request.body;
    }
    time.after(wait,
               [this, who, end]
               {
                   deliver(who,
                           [end](entry_engine& engine,
                                 time_point now,
                                 ports::actions& out)
                           {
                               engine.on_exchange_end(now, end, out);
                           });
               });
}

void entry_simulation::on_reply(ports::caller_reply const& reply)
{
    auto& one = sendings_.at(reply.caller);
    std::string const name = "sending " + std::to_string(one.id);
    if (++one.answers > 1)
    {
        fail(name + " was answered twice");
    }
    one.answer = reply.answer;
    if (reply.answer.outcome == outcome::ran &&
        reply.answer.body != one.request.body)
    {
        fail(name + " got another's answer");
    }
    if (reply.answer.outcome == outcome::not_run)
    {
        check_not_run(one);
    }
}

// The sending itself must not have run. Of a later sending no other one may
// have run before it was read, or, where the entry that read it owns the key,
// before it was refused. Another one that is still on its way may yet run.
void entry_simulation::check_not_run(sent_request const& one)
{
    std::string const name = "sending " + std::to_string(one.id);
    if (ran_sendings_.contains(std::to_string(one.id)))
    {
        fail(name + " was told it did not run, but it did");
    }
    auto const first = first_runs_.find(one.request.body);
    if (one.request.attempt < 2 || first == first_runs_.end())
    {
        return;
    }
    auto const owner = owner_of(one.request.idempotency_key);
    bool const own =
        owner < nodes_.size() && nodes_[owner] == one.receiving_entry;
    if (own || first->second < one.read_at)
    {
        fail(name + " was told its key did not run, but it did");
    }
}

void entry_simulation::publish_list()
{
    ports::instance_list list;
    for (auto const& [id, one] : upstreams_)
    {
        ports::upstream_instance listed;
        listed.id = id;
        listed.remote_endpoint = {"10.1.0.1", 80};
        listed.data_centre = "dc-0";
        listed.slots = options_.slots;
        listed.connections = 60;
        listed.slots_in_use = one.running;
        list.upstreams.push_back(std::move(listed));
    }
    for (auto const& who : nodes_)
    {
        if (who && !who->ended)
        {
            list.members.push_back(who->id.name);
        }
    }
    static constexpr duration lag = 400ms;
    time.after(lag,
               [this, list]() mutable
               {
                   list.received = time.now();
                   for (auto& one : list.upstreams)
                   {
                       one.report_age = lag;
                   }
                   for (auto const& who : nodes_)
                   {
                       deliver(who,
                               [list](entry_engine& engine,
                                      time_point now,
                                      ports::actions& out)
                               {
                                   engine.on_instances(now, list, out);
                               });
                   }
               });
    time.after(list_interval,
               [this]
               {
                   publish_list();
               });
}

// What an entry had running when it was frozen has ended once the longest
// execution has passed; the entry itself learns of it when it wakes.
bool entry_simulation::counts_stand_still(simulated_entry const& who) const
{
    return (who.frozen || who.processing_backlog) &&
           time.now() - who.frozen_at >
               options_.settings.upstreams.max_execution;
}

// The counts of a frozen entry stand still, so the time of a lowered contract
// does too.
void entry_simulation::check_contract()
{
    for (auto const& who : nodes_)
    {
        if (who && !who->ended)
        {
            if (who->frozen)
            {
                for (auto& [limit, seen] : limits_seen_)
                {
                    seen = time.now();
                }
            }
            auto const& known = who->engine->configuration().contracts;
            auto const found = known.find(customer);
            if (found != known.end())
            {
                limits_seen_[found->second.requests_in_flight] = time.now();
            }
        }
    }
    std::erase_if(limits_seen_,
                  [this](auto const& seen)
                  {
                      return time.now() - seen.second > contract_grace;
                  });
    bool const over =
        !limits_seen_.empty() && in_flight() > limits_seen_.rbegin()->first;
    if (over)
    {
        fail("more requests in flight than the contract allows");
    }
}

void entry_simulation::fail(std::string what)
{
    if (violation.empty())
    {
        violation = std::move(what) + " at " +
                    std::to_string(core::common::to_milliseconds(
                        time.now().time_since_epoch())) +
                    " ms";
    }
}

bool entry_simulation::chance(std::uint32_t permille)
{
    return permille != 0 && random_() % 1000 < permille;
}

} // namespace fuchsia::tests::unit::requests
