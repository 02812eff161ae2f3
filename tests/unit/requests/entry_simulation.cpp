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
/// Tolerance of the check for late answers: one tick and the resolution of the
/// check.
constexpr duration answer_grace = 150ms;
/// Maximum time until a lowered contract is enforced after the last entry
/// applied it: the old slice expires within 2 s, and requests admitted until
/// then wait for at most 2.5 s and run for at most 10 s.
constexpr duration contract_grace = 15s;
constexpr char const* customer = "estate-owners";
constexpr char const* sending_header = "X-Sending";

std::string sending_of(ports::caller_request const& request)
{
    for (auto const& header : request.headers)
    {
        if (header.name == sending_header)
        {
            return header.value;
        }
    }
    return "";
}

ports::caller_request make_request(std::string method, std::string const& body)
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
    auto request = make_request("POST", "body of " + key);
    request.idempotency_key = key;
    request.attempt = attempt;
    return request;
}

ports::caller_request unkeyed_request(std::string const& body)
{
    return make_request("POST", body);
}

ports::caller_request get_request(std::string const& body)
{
    return make_request("GET", body);
}

entry_simulation::entry_simulation(entry_simulation_options const& options)
    : store(time, options.seed * 2 + 1),
      link(time,
           options.seed * 3 + 1,
           [this](std::string const& address,
                  ports::member_identity const& to,
                  ports::peer_receive const& message)
           {
               for (auto const& entry : entries_)
               {
                   if (entry && entry->address == address && entry->id == to)
                   {
                       deliver(entry,
                               [message](entry_engine& engine,
                                         time_point now,
                                         ports::actions& out)
                               {
                                   engine.on_peer(now, message, out);
                               });
                   }
               }
           }),
      options_(options), random_(options_.seed), entries_(options_.entries)
{
    for (std::size_t i = 0; i < options_.upstreams; ++i)
    {
        upstreams_["upstream-" + std::to_string(i)];
    }
    put_contract(options_.in_flight);
    publish_list();
}

void entry_simulation::start(std::size_t index)
{
    kill(index);
    begin(index);
}

void entry_simulation::begin(std::size_t index)
{
    auto const entry = std::make_shared<simulated_entry>();
    entry->id = {"entry-" + std::to_string(index), random_() | 1U};
    entry->address = "10.0.0." + std::to_string(index);
    core::membership::member_info info;
    info.id = entry->id;
    info.role = "entry";
    info.data_centre = "dc-" + std::to_string(index % 3);
    info.peer_address = {entry->address, 7000};
    info.http_address = {entry->address, 8000};
    entry->engine =
        std::make_unique<entry_engine>(options_.settings, info, random_());
    entries_[index] = entry;
    run_in(entry,
           [](entry_engine& engine, time_point now, ports::actions& out)
           {
               engine.start(now, out);
           });
    tick(entry);
}

void entry_simulation::start_all()
{
    for (std::size_t index = 0; index < options_.entries; ++index)
    {
        start(index);
    }
}

void entry_simulation::kill(std::size_t index)
{
    if (!entries_[index])
    {
        return;
    }
    entries_[index]->ended = true;
    for (auto const& retired : retired_)
    {
        retired->ended =
            retired->ended || retired->id.name == entries_[index]->id.name;
    }
}

void entry_simulation::freeze(std::size_t index)
{
    if (entries_[index])
    {
        entries_[index]->frozen = true;
        entries_[index]->frozen_at = time.now();
    }
}

void entry_simulation::unfreeze(std::size_t index)
{
    auto const entry = entries_[index];
    if (!entry || !std::exchange(entry->frozen, false))
    {
        return;
    }
    entry->processing_backlog = true;
    auto backlog = std::exchange(entry->inbox, {});
    for (auto const& handler : backlog)
    {
        handler();
    }
    // The engine must keep its invariants although the tick comes last here. A
    // daemon ticks before it handles other events.
    deliver(entry,
            [](entry_engine& engine, time_point now, ports::actions& out)
            {
                engine.tick(now, out);
            });
    entry->processing_backlog = false;
}

void entry_simulation::stop(std::size_t index)
{
    deliver(entries_[index],
            [](entry_engine& engine, time_point now, ports::actions& out)
            {
                engine.begin_stop(now, out);
            });
}

bool entry_simulation::is_running(std::size_t index) const
{
    auto const& entry = entries_[index];
    return entry && !entry->ended && !entry->frozen;
}

bool entry_simulation::has_stopped(std::size_t index) const
{
    return entries_[index] && entries_[index]->stopped;
}

entry_engine& entry_simulation::engine(std::size_t index)
{
    return *entries_[index]->engine;
}

void entry_simulation::run(duration length)
{
    time.run(length);
}

bool entry_simulation::run_until(std::function<bool()> const& condition,
                                 duration limit)
{
    time_point const until = time.now() + limit;
    while (!condition())
    {
        if (!time.step(until))
        {
            return condition();
        }
    }
    return true;
}

bool entry_simulation::run_until_stable()
{
    bool const stable = run_until(
        [this]
        {
            std::size_t owned = 0;
            for (std::size_t i = 0; i < options_.entries; ++i)
            {
                if (!is_running(i) || !engine(i).ready(time.now()))
                {
                    return false;
                }
                owned += engine(i).status(time.now()).owned_partitions;
            }
            return owned == core::common::partition_count;
        },
        30s);
    // Waits for slices, usage reports and the window for first sendings.
    run(10s);
    return stable;
}

std::uint64_t entry_simulation::send(std::size_t index,
                                     ports::caller_request request,
                                     duration delay)
{
    std::uint64_t const id = ++last_sending_;
    request.headers.push_back({sending_header, std::to_string(id)});
    sendings_[id] = {id, nullptr, {}, std::move(request), 0, {}};
    time.after(delay,
               [this, id, index]
               {
                   read(id, entries_[index]);
               });
    return id;
}

void entry_simulation::read(std::uint64_t id,
                            simulated_entry_pointer const& entry)
{
    deliver(entry,
            [this, id, entry](
                entry_engine& engine, time_point now, ports::actions& out)
            {
                auto& sending = sendings_.at(id);
                sending.receiving_entry = entry;
                sending.read_at = now;
                engine.on_caller_request(now, id, sending.request, out);
                time.after(sending.request.deadline + answer_grace,
                           [this, id, entry]
                           {
                               bool const reachable =
                                   !entry->ended && !entry->frozen;
                               if (reachable && !answered(id))
                               {
                                   fail("sending " + std::to_string(id) +
                                        " was not answered in time");
                               }
                           });
            });
}

sent_request const& entry_simulation::sending(std::uint64_t id) const
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
    for (auto const& [id, state] : upstreams_)
    {
        sum += state.running;
    }
    return sum;
}

std::size_t entry_simulation::owner_of(std::string const& key) const
{
    auto const partition =
        core::common::partition_of(core::requests::customer_key(customer, key));
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        auto const& entry = entries_[i];
        if (entry && !entry->ended && !entry->frozen &&
            entry->engine->claims().owns(
                time.now(),
                core::requests::partition_name(partition),
                entry->engine->members()))
        {
            return i;
        }
    }
    return entries_.size();
}

std::size_t entry_simulation::other_than(std::size_t index) const
{
    return index == 0 ? 1 : 0;
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
    auto const* stored = store.contents.find(key);
    store.contents.apply(ports::store_write{
        key, core::config::to_json(index), stored ? stored->version : 0});
}

void entry_simulation::cut(std::size_t from, std::size_t to, bool is_cut)
{
    auto const direction = std::pair("10.0.0." + std::to_string(from),
                                     "10.0.0." + std::to_string(to));
    if (is_cut)
    {
        link.faults.cut.insert(direction);
    }
    else
    {
        link.faults.cut.erase(direction);
    }
}

std::uint32_t entry_simulation::in_flight() const
{
    std::uint32_t sum = 0;
    for (auto const& entry : entries_)
    {
        bool const counted =
            entry && !entry->ended && !has_stale_counts(*entry);
        sum += counted ? entry->engine->in_flight(customer) : 0;
    }
    return sum;
}

void entry_simulation::tick(simulated_entry_pointer const& entry)
{
    if (entry->ended)
    {
        return;
    }
    if (!entry->frozen)
    {
        run_in(entry,
               [](entry_engine& engine, time_point now, ports::actions& out)
               {
                   engine.tick(now, out);
               });
    }
    time.after(tick_interval + duration(random_() % 5000),
               [this, entry]
               {
                   tick(entry);
               });
}

void entry_simulation::deliver(simulated_entry_pointer const& entry,
                               event const& handler)
{
    if (!entry || entry->ended)
    {
        return;
    }
    if (entry->frozen)
    {
        entry->inbox.push_back(
            [this, entry, handler]
            {
                run_in(entry, handler);
            });
        return;
    }
    run_in(entry, handler);
}

void entry_simulation::run_in(simulated_entry_pointer const& entry,
                              event const& handler)
{
    if (entry->ended)
    {
        return;
    }
    ports::actions out;
    handler(*entry->engine, time.now(), out);
    perform(entry, out);
    check_contract();
}

void entry_simulation::perform(simulated_entry_pointer const& entry,
                               ports::actions const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* call = std::get_if<ports::store_call>(&action))
        {
            store.call(entry->address,
                       *call,
                       [this, entry](ports::store_reply const& reply)
                       {
                           deliver(entry,
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
            link.send(entry->address, entry->id, *message);
        }
        else if (auto const* request =
                     std::get_if<ports::upstream_send>(&action))
        {
            run_on_upstream(entry, *request);
        }
        else if (auto const* reply = std::get_if<ports::caller_reply>(&action))
        {
            on_reply(*reply);
        }
        else if (std::holds_alternative<ports::stop_complete>(action))
        {
            entry->stopped = true;
            entry->ended = true;
        }
        else if (std::holds_alternative<ports::rejoin>(action))
        {
            // Callers of the old incarnation are answered before the new one
            // starts.
            auto const index = static_cast<std::size_t>(
                std::find(entries_.begin(), entries_.end(), entry) -
                entries_.begin());
            time.after(0ms,
                       [this, entry, index]
                       {
                           ports::actions final_actions;
                           entry->engine->retire(time.now(), final_actions);
                           perform(entry, final_actions);
                           if (index < entries_.size() && !entry->ended)
                           {
                               retired_.push_back(entry);
                               begin(index);
                           }
                       });
        }
    }
}

void entry_simulation::run_on_upstream(simulated_entry_pointer const& entry,
                                       ports::upstream_send const& action)
{
    using enum ports::exchange_status;
    if (chance(faults.not_sent_permille))
    {
        end_later(entry, action.exchange, not_sent, action.request, 1ms);
        return;
    }
    duration const transit_time = 1ms;
    if (chance(faults.refused_permille))
    {
        refuse_later(entry, action.exchange, 2 * transit_time);
        return;
    }
    duration const spread = faults.max_service_time - faults.min_service_time;
    duration const service =
        faults.min_service_time +
        duration(static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(spread.count() + 1)));
    bool const answer_lost = chance(faults.lost_permille);
    time.after(transit_time,
               [this, action]
               {
                   begin_on_upstream(action);
               });
    time.after(transit_time + service,
               [this, id = action.upstream]
               {
                   --upstreams_.at(id).running;
               });
    end_later(entry,
              action.exchange,
              answer_lost ? lost : answered,
              action.request,
              answer_lost ? 2 * transit_time : 2 * transit_time + service);
}

void entry_simulation::refuse_later(simulated_entry_pointer const& entry,
                                    std::uint64_t exchange,
                                    duration after)
{
    ports::upstream_end end;
    end.exchange = exchange;
    end.status = ports::exchange_status::answered;
    end.http_status = 503;
    end.headers.push_back({"upstream-outcome", "not-run"});
    time.after(after,
               [this, entry, end]
               {
                   deliver(entry,
                           [end](entry_engine& engine,
                                 time_point now,
                                 ports::actions& out)
                           {
                               engine.on_exchange_end(now, end, out);
                           });
               });
}

void entry_simulation::begin_on_upstream(ports::upstream_send const& action)
{
    auto& target = upstreams_.at(action.upstream);
    if (++target.running > options_.slots)
    {
        fail(action.upstream + " runs more requests than it has slots");
    }
    auto const& request = action.request;
    ran_sendings_.insert(sending_of(request));
    std::uint32_t const runs = ++runs_[request.body];
    first_runs_.emplace(request.body, time.now());
    if (request.method == "POST" && runs > 1)
    {
        fail(request.body + " ran twice");
    }
    std::uint64_t const id = std::stoull(sending_of(request));
    auto const& sending = sendings_.at(id);
    if (sending.answers > 0 && sending.answer.outcome == outcome::not_run)
    {
        fail("sending " + std::to_string(id) +
             " ran after it was answered \"not run\"");
    }
}

void entry_simulation::end_later(simulated_entry_pointer const& entry,
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
               [this, entry, end]
               {
                   deliver(entry,
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
    auto& sending = sendings_.at(reply.caller);
    std::string const name = "sending " + std::to_string(sending.id);
    if (++sending.answers > 1)
    {
        fail(name + " was answered twice");
    }
    sending.answer = reply.answer;
    if (reply.answer.outcome == outcome::ran &&
        reply.answer.body != sending.request.body)
    {
        fail(name + " got the answer to another request");
    }
    if (reply.answer.outcome == outcome::not_run)
    {
        check_not_run(sending);
    }
}

// Checks an answer "not run". The sending itself must not have run. For a
// second or later sending, no other sending of the key may have run before this
// one was read or, if the entry that read it owns the key, before it was
// refused. A sending that is still in transit may run later.
void entry_simulation::check_not_run(sent_request const& sending)
{
    std::string const name = "sending " + std::to_string(sending.id);
    if (ran_sendings_.contains(std::to_string(sending.id)))
    {
        fail(name + " was answered \"not run\", but it ran");
    }
    auto const first_run = first_runs_.find(sending.request.body);
    if (sending.request.attempt < 2 || first_run == first_runs_.end())
    {
        return;
    }
    auto const owner = owner_of(sending.request.idempotency_key);
    bool const reader_is_owner =
        owner < entries_.size() && entries_[owner] == sending.receiving_entry;
    if (reader_is_owner || first_run->second < sending.read_at)
    {
        fail(name + " was answered \"not run\", but its key ran");
    }
}

void entry_simulation::publish_list()
{
    ports::instance_list list;
    for (auto const& [id, state] : upstreams_)
    {
        ports::upstream_instance listed;
        listed.id = id;
        listed.remote_endpoint = {"10.1.0.1", 80};
        listed.data_centre = "dc-0";
        listed.slots = options_.slots;
        listed.connections = 60;
        listed.slots_in_use = state.running;
        list.upstreams.push_back(std::move(listed));
    }
    for (auto const& entry : entries_)
    {
        if (entry && !entry->ended)
        {
            list.members.push_back(entry->id.name);
        }
    }
    static constexpr duration lag = 400ms;
    time.after(lag,
               [this, list]() mutable
               {
                   list.received = time.now();
                   for (auto& listed : list.upstreams)
                   {
                       listed.report_age = lag;
                   }
                   for (auto const& entry : entries_)
                   {
                       deliver(entry,
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

// Whether the counts of an entry are out of date because it was frozen.
// Requests that ran when it was frozen have ended after the maximum execution
// time, but the entry processes their ends only when it continues.
bool entry_simulation::has_stale_counts(simulated_entry const& entry) const
{
    return (entry.frozen || entry.processing_backlog) &&
           time.now() - entry.frozen_at >
               options_.settings.upstreams.max_execution;
}

// Checks that no more requests are in flight than the highest limit that was in
// force within `contract_grace`. A frozen entry does not update its counts, so
// the grace period does not elapse meanwhile.
void entry_simulation::check_contract()
{
    for (auto const& entry : entries_)
    {
        if (entry && !entry->ended)
        {
            if (entry->frozen)
            {
                for (auto& [limit, last_in_force] : limits_in_force_)
                {
                    last_in_force = time.now();
                }
            }
            auto const& contracts = entry->engine->configuration().contracts;
            auto const found = contracts.find(customer);
            if (found != contracts.end())
            {
                limits_in_force_[found->second.requests_in_flight] = time.now();
            }
        }
    }
    std::erase_if(limits_in_force_,
                  [this](auto const& limit)
                  {
                      return time.now() - limit.second > contract_grace;
                  });
    bool const exceeded = !limits_in_force_.empty() &&
                          in_flight() > limits_in_force_.rbegin()->first;
    if (exceeded)
    {
        fail("more requests in flight than the contract allows");
    }
}

void entry_simulation::fail(std::string message)
{
    if (violation.empty())
    {
        violation = std::move(message) + " at " +
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
