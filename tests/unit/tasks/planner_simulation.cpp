#include "planner_simulation.hpp"

#include "core/common/json.hpp"

#include <utility>

namespace fuchsia::tests::unit::tasks
{

namespace
{

using core::tasks::planner_engine;

constexpr duration tick_interval = std::chrono::milliseconds(50);
constexpr duration poll_interval = std::chrono::milliseconds(500);
/// Maximum time until the use of all workers is within a lowered contract.
constexpr duration contract_grace = std::chrono::seconds(25);

std::string name_of_slot(std::size_t slot)
{
    return "planner-" + std::to_string(slot);
}

std::string address_of_slot(std::size_t slot)
{
    return "10.0.0." + std::to_string(slot);
}

std::string data_centre_of(std::size_t rack)
{
    return "dc-" + std::to_string(rack % 3);
}

} // namespace

std::string job_json(std::string const& id,
                     std::string const& customer,
                     std::string const& kind,
                     std::int64_t millicores,
                     std::uint32_t tasks,
                     std::uint64_t work_ms,
                     std::string const& extra)
{
    return "{\"id\":\"" + id + "\",\"customer\":\"" + customer +
           "\",\"kind\":\"" + kind + "\",\"class\":\"" + kind +
           "-class\",\"millicores\":" + std::to_string(millicores) +
           ",\"memory_mb\":1000,\"tasks\":" + std::to_string(tasks) +
           ",\"work_ms\":" + std::to_string(work_ms) +
           ",\"checkpointable\":true" + extra + "}";
}

planner_simulation::planner_simulation(
    planner_simulation_options const& options)
    : store(time, options.seed * 2 + 1), workers(time, options.seed * 5 + 1),
      link(time,
           options.seed * 3 + 1,
           [this](std::string const& address,
                  ports::member_identity const& receiver,
                  ports::peer_receive const& message)
           {
               for (auto const& target : slots_)
               {
                   if (target && address_of_slot(target->slot) == address &&
                       target->id == receiver)
                   {
                       run_in(target,
                              [this, target, message](ports::actions& out)
                              {
                                  target->engine->on_peer(
                                      time.now(), message, out);
                              });
                   }
               }
           }),
      options_(options), random_(options_.seed), slots_(options_.planners)
{
    for (std::size_t rack = 0; rack < options_.racks; ++rack)
    {
        for (std::size_t number = 0; number < options_.workers_per_rack;
             ++number)
        {
            ports::worker_instance info;
            info.id =
                "w-" + std::to_string(rack) + "-" + std::to_string(number);
            info.rack = "rack-" + std::to_string(rack);
            info.data_centre = data_centre_of(rack);
            info.capacity = options_.capacity;
            workers.add(info);
        }
    }
    tick_workers();
}

void planner_simulation::tick_workers()
{
    workers.tick();
    check_contracts();
    time.after(std::chrono::milliseconds(100),
               [this]
               {
                   tick_workers();
               });
}

void planner_simulation::check_contracts()
{
    if (violation.empty())
    {
        violation = workers.violation;
    }
    auto const usage = workers.in_use(
        [this](std::string const& task)
        {
            auto const key = core::tasks::parse_task_name(task);
            return customer_of[key->job];
        });
    for (auto const& [customer, sum] : usage)
    {
        bool const grace_over =
            time.now() - changed_at_[customer] > contract_grace;
        if (grace_over && !contracts_[customer].capacity.covers(sum) &&
            violation.empty())
        {
            violation = customer + " over its contract";
        }
    }
}

void planner_simulation::make_engine(process& target)
{
    target.id = {name_of_slot(target.slot), random_() | 1};
    core::membership::member_info self;
    self.id = target.id;
    self.role = "planner";
    self.data_centre = data_centre_of(target.slot);
    self.peer_address = {address_of_slot(target.slot), 7000};
    self.http_address = {address_of_slot(target.slot), 8000};
    target.engine = std::make_unique<planner_engine>(
        options_.settings, self, target.id.incarnation);
}

void planner_simulation::start(std::size_t planner)
{
    kill(planner);
    auto const target = std::make_shared<process>();
    target->slot = planner;
    slots_[planner] = target;
    make_engine(*target);
    run_in(target,
           [this, target](ports::actions& out)
           {
               target->engine->start(time.now(), out);
           });
    tick(target);
    poll(target);
}

void planner_simulation::kill(std::size_t planner)
{
    if (slots_[planner])
    {
        slots_[planner]->ended = true;
    }
}

void planner_simulation::freeze(std::size_t planner)
{
    slots_[planner]->frozen = true;
}

void planner_simulation::unfreeze(std::size_t planner)
{
    auto const target = slots_[planner];
    target->frozen = false;
    // After a pause the program ticks the engine before it delivers the
    // deferred callbacks.
    run_in(target,
           [this, target](ports::actions& out)
           {
               target->engine->tick(time.now(), out);
           });
    for (auto const& callback : std::exchange(target->deferred, {}))
    {
        callback();
    }
}

void planner_simulation::begin_stop(std::size_t planner)
{
    auto const target = slots_[planner];
    run_in(target,
           [this, target](ports::actions& out)
           {
               target->engine->begin_stop(time.now(), out);
           });
}

void planner_simulation::cut_store(std::size_t planner, bool is_cut)
{
    if (is_cut)
    {
        store.faults.cut.insert(name_of_slot(planner));
    }
    else
    {
        store.faults.cut.erase(name_of_slot(planner));
    }
}

bool planner_simulation::alive(std::size_t planner) const
{
    auto const& target = slots_[planner];
    return target && !target->ended && !target->frozen;
}

bool planner_simulation::stopped(std::size_t planner) const
{
    return slots_[planner] && slots_[planner]->stopped;
}

planner_engine& planner_simulation::engine(std::size_t planner)
{
    return *slots_[planner]->engine;
}

std::optional<std::size_t> planner_simulation::owner_of(std::string const& cell)
{
    for (std::size_t slot = 0; slot < slots_.size(); ++slot)
    {
        if (!alive(slot))
        {
            continue;
        }
        auto const& engine = *slots_[slot]->engine;
        auto const found = engine.cells().find(cell);
        if (found != engine.cells().end() && found->second->active() &&
            engine.claims().owns(time.now(), cell, engine.members()))
        {
            return slot;
        }
    }
    return std::nullopt;
}

void planner_simulation::run(duration length)
{
    auto const until = time.now() + length;
    while (time.step(until))
    {
    }
}

bool planner_simulation::run_until(std::function<bool()> const& condition,
                                   duration limit)
{
    auto const until = time.now() + limit;
    while (time.now() < until)
    {
        if (condition())
        {
            return true;
        }
        run(std::chrono::milliseconds(20));
    }
    return condition();
}

bool planner_simulation::is_stable()
{
    for (std::size_t rack = 0; rack < options_.racks; ++rack)
    {
        if (!owner_of("rack-" + std::to_string(rack)))
        {
            return false;
        }
    }
    return true;
}

void planner_simulation::run_in(
    process_pointer const& target,
    std::function<void(ports::actions&)> const& callback)
{
    if (target->ended)
    {
        return;
    }
    if (target->frozen)
    {
        target->deferred.push_back(
            [this, target, callback]
            {
                run_in(target, callback);
            });
        return;
    }
    ports::actions out;
    callback(out);
    perform(target, out);
}

void planner_simulation::tick(process_pointer const& target)
{
    if (target->ended)
    {
        return;
    }
    if (!target->frozen)
    {
        run_in(target,
               [this, target](ports::actions& out)
               {
                   target->engine->tick(time.now(), out);
               });
    }
    time.after(tick_interval,
               [this, target]
               {
                   tick(target);
               });
}

void planner_simulation::poll(process_pointer const& target)
{
    if (target->ended)
    {
        return;
    }
    if (!target->frozen)
    {
        run_in(target,
               [this, target](ports::actions& out)
               {
                   auto list = workers.list();
                   list.received = time.now();
                   target->engine->on_workers(time.now(), list, out);
                   target->engine->on_instances(time.now(), instances(), out);
                   for (auto const& rack : target->engine->racks())
                   {
                       for (auto const& report : workers.reports(rack))
                       {
                           target->engine->on_worker_report(
                               time.now(), report, out);
                       }
                   }
               });
    }
    time.after(poll_interval,
               [this, target]
               {
                   poll(target);
               });
}

ports::instance_list planner_simulation::instances() const
{
    ports::instance_list out;
    out.received = time.now();
    for (auto const& target : slots_)
    {
        if (target && !target->ended)
        {
            out.members.push_back(target->id.name);
        }
    }
    return out;
}

void planner_simulation::perform(process_pointer const& target,
                                 ports::actions const& actions)
{
    auto const incarnation = target->id.incarnation;
    auto const same_incarnation = [target, incarnation]
    {
        return target->id.incarnation == incarnation;
    };
    for (auto const& action : actions)
    {
        if (auto const* call = std::get_if<ports::store_call>(&action))
        {
            store.call(target->id.name,
                       *call,
                       [this, target, same_incarnation](
                           ports::store_reply const& reply)
                       {
                           run_in(target,
                                  [this, target, same_incarnation, reply](
                                      ports::actions& out)
                                  {
                                      if (same_incarnation())
                                      {
                                          target->engine->on_store_reply(
                                              time.now(), reply, out);
                                      }
                                  });
                       });
        }
        else if (auto const* send = std::get_if<ports::peer_send>(&action))
        {
            link.send(address_of_slot(target->slot), target->id, *send);
        }
        else if (auto const* work = std::get_if<ports::worker_call>(&action))
        {
            if (worker_call_filter && !worker_call_filter(target->slot, *work))
            {
                continue;
            }
            workers.call(*work,
                         [this, target, same_incarnation](
                             ports::worker_reply const& reply)
                         {
                             run_in(target,
                                    [this, target, same_incarnation, reply](
                                        ports::actions& out)
                                    {
                                        if (same_incarnation())
                                        {
                                            target->engine->on_worker_reply(
                                                time.now(), reply, out);
                                        }
                                    });
                         });
        }
        else if (auto const* reply = std::get_if<ports::caller_reply>(&action))
        {
            answers[reply->caller] = reply->answer;
        }
        else if (auto const* event = std::get_if<ports::log_event>(&action))
        {
            logs.push_back(*event);
        }
        else if (std::holds_alternative<ports::rejoin>(action))
        {
            make_engine(*target);
            ports::actions out;
            target->engine->start(time.now(), out);
            perform(target, out);
            return;
        }
        else if (std::holds_alternative<ports::stop_complete>(action))
        {
            target->ended = true;
            target->stopped = true;
        }
    }
}

// Writes a configuration change as the administration does, without delays.
void planner_simulation::change(core::config::change new_change)
{
    core::config::change_request request;
    request.requested_change = std::move(new_change);
    request.write_id = "test." + std::to_string(++changes_);
    core::config::change_writer writer({}, std::move(request));
    std::uint64_t number = 0;
    ports::actions out;
    writer.start(time.now(), number, out);
    while (!out.empty())
    {
        for (auto const& action : std::exchange(out, {}))
        {
            if (auto const* call = std::get_if<ports::store_call>(&action))
            {
                auto reply = store.contents.apply(call->operation);
                reply.id = call->id;
                writer.on_store_reply(time.now(), reply, number, out);
            }
        }
    }
}

void planner_simulation::put_contract(std::string const& customer,
                                      ports::resources capacity,
                                      std::uint32_t batch_permille)
{
    core::contracts::contract value;
    value.customer = customer;
    value.capacity = capacity;
    value.requests_in_flight = 100;
    value.requests_per_second = 100;
    value.batch_permille = batch_permille;
    value.latency_target = std::chrono::milliseconds(250);
    value.batch_latency_target = std::chrono::seconds(10);
    contracts_[customer] = value;
    changed_at_[customer] = time.now();
    change(core::config::put_contract{value});
}

void planner_simulation::withdraw(std::string const& customer)
{
    contracts_[customer] = {};
    changed_at_[customer] = time.now();
    change(core::config::withdraw_contract{customer});
}

void planner_simulation::set_out_of_service(std::string const& data_centre,
                                            bool out_of_service)
{
    if (out_of_service)
    {
        workers.out_of_service_since.emplace(data_centre, time.now());
    }
    else
    {
        workers.out_of_service_since.erase(data_centre);
    }
    change(core::config::set_data_centre{data_centre, out_of_service});
}

std::uint64_t planner_simulation::request(std::size_t planner,
                                          std::string method,
                                          std::string target,
                                          std::string body)
{
    auto const caller = ++last_request_;
    core::common::failure reason;
    if (auto const job = core::tasks::parse_job(body, reason))
    {
        customer_of[job->id] = job->customer;
    }
    core::tasks::job_request const new_request{
        caller, std::move(method), std::move(target), std::move(body)};
    auto const receiver = slots_[planner];
    run_in(receiver,
           [this, receiver, new_request](ports::actions& out)
           {
               receiver->engine->on_job_request(time.now(), new_request, out);
           });
    return caller;
}

ports::caller_answer planner_simulation::request_and_wait(std::size_t planner,
                                                          std::string method,
                                                          std::string target,
                                                          std::string body)
{
    auto const caller =
        request(planner, std::move(method), std::move(target), std::move(body));
    run_until(
        [this, caller]
        {
            return answers.count(caller) != 0;
        },
        std::chrono::seconds(8));
    return answers[caller];
}

std::string planner_simulation::state_of(std::string const& job)
{
    for (std::size_t slot = 0; slot < slots_.size(); ++slot)
    {
        if (!alive(slot))
        {
            continue;
        }
        auto const answer = request_and_wait(slot, "GET", "/v1/jobs/" + job);
        core::common::failure reason;
        auto const object =
            core::common::parse_json_object(answer.body, "job", reason);
        return object && object->contains("state")
                   ? std::string(object->at("state").as_string())
                   : "status " + std::to_string(answer.status);
    }
    return "no planner";
}

} // namespace fuchsia::tests::unit::tasks
