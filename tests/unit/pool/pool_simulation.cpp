#include "pool_simulation.hpp"

#include <utility>

namespace fuchsia::tests::unit::pool
{

namespace
{

constexpr std::int64_t unix_offset_ms = 1'700'000'000'000;
constexpr duration worker_delay = 1ms;
constexpr duration late_by = 2s;
constexpr duration tick_every = 10ms;
constexpr char const* host = "jobs.example";
constexpr char const* prefix = "/q/";
constexpr std::uint32_t attempts = 3;

ports::pool_worker make_info(std::size_t number, std::uint64_t born)
{
    ports::pool_worker made;
    made.id = "w" + std::to_string(number);
    made.service = "s";
    made.remote_endpoint = {"10.0.0." + std::to_string(number + 1), 80};
    made.data_centre = number % 2 == 0 ? "even" : "odd";
    made.rack = made.data_centre;
    made.capacity = {8000, 8000, 0};
    made.incarnation = born;
    return made;
}

// The stand-in's own words for what operators and workers write.
core::pool::platform_records make_words()
{
    core::pool::platform_records made;
    made.workers_prefix = "workers/";
    made.operators_prefix = "operators/";
    made.read_worker =
        [](ports::kv_item const& item,
           core::common::failure& reason) -> std::optional<ports::pool_worker>
    {
        // "number born draining"
        if (item.value.find_first_of("0123456789") != 0 ||
            item.value.find(' ') == std::string::npos)
        {
            reason = {core::common::result_code::wrong_type, item.key, "odd"};
            return std::nullopt;
        }
        auto const born = item.value.find(' ');
        auto worker = make_info(std::stoul(item.value),
                                std::stoull(item.value.substr(born)));
        worker.draining = item.value.ends_with("draining");
        return worker;
    };
    made.read_operator =
        [](ports::kv_item const& item,
           core::common::failure&) -> std::optional<core::pool::operator_change>
    {
        constexpr std::string_view out = "operators/out/";
        if (item.key.starts_with(out))
        {
            return core::pool::data_centre_change{item.key.substr(out.size()),
                                                  !item.erased};
        }
        core::pool::configuration config;
        config.version = std::stoull(item.value);
        bool const advised = item.value.ends_with("advised");
        core::pool::queue queue;
        queue.name = "q";
        queue.host = host;
        queue.prefix = prefix;
        queue.service = "s";
        queue.attempts = attempts;
        if (advised)
        {
            queue.policy = core::pool::policy_rules{300ms, 2ms};
        }
        config.queues.push_back(queue);
        return config;
    };
    return made;
}

// The same as the answer to a call that was never made.
template<class Reply>
Reply to_nobody(Reply reply)
{
    reply.id += std::uint64_t{1} << 40;
    return reply;
}

} // namespace

bool run_until_owned(pool_simulation& world)
{
    return world.run_until(
        [&world]
        {
            return world.owner().has_value();
        });
}

std::size_t other_than(std::size_t number)
{
    return number == 0 ? 1 : 0;
}

void submit_many(pool_simulation& world,
                 std::size_t at,
                 std::string const& name,
                 std::size_t count,
                 core::pool::job const& what)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        world.submit(at, name + std::to_string(number), what);
    }
}

bool watches_jobs(ports::kv_operation const& call)
{
    auto const* const watch = std::get_if<ports::kv_watch>(&call);
    return watch != nullptr && watch->prefix == "pool/";
}

core::pool::job simple_job(std::uint32_t count, duration work)
{
    core::pool::job made;
    core::pool::step step;
    step.count = count;
    step.declared = {1000, 100, 0};
    step.estimate = work;
    made.steps.push_back(step);
    made.spec = "work=" + std::to_string(core::common::to_milliseconds(work));
    return made;
}

core::pool::job chained_job(duration work)
{
    auto made = simple_job(2, work);
    auto second = made.steps.front();
    second.after = {0};
    made.steps.push_back(second);
    return made;
}

pool_simulation::pool_simulation(std::size_t instances, std::size_t workers)
{
    store_.put("operators/config", "1");
    for (std::size_t number = 0; number < workers; ++number)
    {
        workers_.push_back(nullptr);
        restart_worker(number);
    }
    instances_.resize(instances);
    for (std::size_t number = 0; number < instances; ++number)
    {
        start(number);
    }
    tick_all();
}

void pool_simulation::run(duration how_long)
{
    auto const until = timeline_.now() + how_long;
    while (timeline_.step(until))
    {
    }
}

bool pool_simulation::run_until(std::function<bool()> const& holds,
                                duration patience)
{
    auto const until = timeline_.now() + patience;
    while (!holds())
    {
        if (!timeline_.step(until))
        {
            return holds();
        }
    }
    return true;
}

std::uint64_t pool_simulation::ask(std::size_t instance,
                                   core::pool::pool_request request)
{
    auto const id = ++next_request_;
    request.caller = id;
    request.host = host;
    deliver(instance,
            [this, request](core::pool::engine& engine)
            {
                engine.on_request(now(), request);
            });
    return id;
}

std::uint64_t pool_simulation::submit(std::size_t instance,
                                      std::string const& id,
                                      core::pool::job what)
{
    core::pool::pool_request request;
    request.path = prefix + id;
    request.action = core::pool::submit_request{std::move(what)};
    return ask(instance, std::move(request));
}

std::uint64_t pool_simulation::cancel(std::size_t instance,
                                      std::string const& id)
{
    core::pool::pool_request request;
    request.path = prefix + id;
    request.action = core::pool::cancel_request{};
    return ask(instance, std::move(request));
}

std::uint64_t pool_simulation::query(std::size_t instance,
                                     std::string const& id)
{
    return query_at(instance, prefix, id);
}

std::uint64_t pool_simulation::query_at(std::size_t instance,
                                        std::string const& path,
                                        std::string const& id)
{
    core::pool::pool_request request;
    request.path = path + id;
    request.action = core::pool::query_request{};
    return ask(instance, std::move(request));
}

std::optional<ports::job_answer>
pool_simulation::answer(std::uint64_t request) const
{
    auto const found = answers_.find(request);
    return found == answers_.end() ? std::nullopt
                                   : std::optional(found->second);
}

std::optional<ports::job_state> pool_simulation::state(std::size_t instance,
                                                       std::string const& id)
{
    auto const request = query(instance, id);
    run_until(
        [this, request]
        {
            return answer(request).has_value();
        });
    auto const got = answer(request);
    auto const* const status =
        got ? std::get_if<ports::job_status>(&*got) : nullptr;
    return status == nullptr ? std::nullopt : std::optional(status->state);
}

std::optional<std::uint64_t>
pool_simulation::reported_waiting_jobs(std::size_t instance)
{
    auto const request = query(instance, "");
    run_until(
        [this, request]
        {
            return answer(request).has_value();
        });
    auto const got = answer(request);
    auto const* const status =
        got ? std::get_if<ports::queue_status>(&*got) : nullptr;
    return status == nullptr ? std::nullopt : std::optional(status->pending);
}

void pool_simulation::set_commit_delay(std::size_t instance, duration delay)
{
    instances_[instance].commit_delay = delay;
}

void pool_simulation::set_store_latency(duration way)
{
    store_latency_ = way;
}

void pool_simulation::set_final_state_retention(duration how_long)
{
    final_state_retention_ = how_long;
}

void pool_simulation::set_speed_factor(std::size_t instance, double size)
{
    instances_[instance].size = size;
}

void pool_simulation::kill(std::size_t instance)
{
    instances_[instance].engine.reset();
    instances_[instance].incarnation = 0;
}

void pool_simulation::start(std::size_t instance)
{
    auto& each = instances_[instance];
    each.incarnation = ++each.last_incarnation;
    each.stopped = false;
    core::pool::pool_settings settings;
    settings.claim.size = each.size;
    settings.owner.final_state_retention =
        final_state_retention_.value_or(settings.owner.final_state_retention);
    each.engine = std::make_unique<core::pool::engine>(
        settings,
        make_words(),
        "i" + std::to_string(instance) + "#" +
            std::to_string(each.incarnation));
    deliver(instance,
            [this](core::pool::engine& engine)
            {
                engine.start(now());
            });
}

void pool_simulation::freeze(std::size_t instance, duration how_long)
{
    instances_[instance].frozen_until = now() + how_long;
}

void pool_simulation::stop(std::size_t instance)
{
    deliver(instance,
            [this](core::pool::engine& engine)
            {
                engine.begin_stop(now());
            });
}

std::optional<std::size_t> pool_simulation::owner() const
{
    for (std::size_t number = 0; number < instances_.size(); ++number)
    {
        auto const& each = instances_[number];
        if (each.engine && each.engine->active_owner() != nullptr &&
            each.engine->active_owner()->loaded() &&
            store_.find("pool/claim") &&
            store_.find("pool/claim")->create_revision ==
                each.engine->claimed().epoch())
        {
            return number;
        }
    }
    return std::nullopt;
}

void pool_simulation::set_clock_ahead(std::size_t instance, duration ahead)
{
    instances_.at(instance).clock_ahead = ahead;
}

core::pool::owner& pool_simulation::owner_at(std::size_t instance)
{
    return *instances_.at(instance).engine->active_owner();
}

standins::pool::kv_state& pool_simulation::store() noexcept
{
    return store_;
}

standins::pool::worker_state& pool_simulation::worker(std::size_t number)
{
    return *workers_[number];
}

void pool_simulation::restart_worker(std::size_t number)
{
    auto const info = make_info(number, ++next_incarnation_);
    // Clocks start at different times and one of them is slow.
    double const speed = number == 0 ? 0.98 : 1.0;
    workers_[number] = std::make_unique<standins::pool::worker_state>(
        info, now() - std::chrono::seconds(number), speed);
    store_.put("workers/" + info.id,
               std::to_string(number) + " " + std::to_string(info.incarnation));
}

std::size_t pool_simulation::worker_count() const noexcept
{
    return workers_.size();
}

std::size_t pool_simulation::running_count(ports::task_name const& task) const
{
    std::size_t count = 0;
    for (auto const& each : workers_)
    {
        count += each->runs(task) ? 1U : 0U;
    }
    return count;
}

std::string const& pool_simulation::violation() const noexcept
{
    return violation_;
}

time_point pool_simulation::now() const noexcept
{
    return timeline_.now();
}

bool pool_simulation::stopped(std::size_t instance) const
{
    return instances_[instance].stopped;
}

std::vector<logged_line> const& pool_simulation::log() const noexcept
{
    return log_;
}

std::string text_of(logged_line const& line)
{
    auto made = line.what.event;
    for (auto const& field : line.what.fields)
    {
        made += " " + field.name + "=" + field.value;
    }
    return made;
}

void pool_simulation::deliver(
    std::size_t number, std::function<void(core::pool::engine&)> const& what)
{
    auto const& each = instances_[number];
    if (!each.engine)
    {
        return;
    }
    if (each.frozen_until > now())
    {
        timeline_.after(each.frozen_until - now(),
                        [this, number, incarnation = each.incarnation, what]
                        {
                            if (instances_[number].incarnation == incarnation)
                            {
                                deliver(number, what);
                            }
                        });
        return;
    }
    what(*each.engine);
    perform(number);
}

void pool_simulation::perform(std::size_t number)
{
    auto const actions = instances_[number].engine->take_actions();
    for (auto const& action : actions)
    {
        if (auto const* const call = std::get_if<ports::kv_call>(&action))
        {
            call_store(number, *call);
        }
        else if (auto const* const order =
                     std::get_if<ports::pool_order>(&action))
        {
            call_worker(number, *order);
        }
        else if (auto const* const ask =
                     std::get_if<ports::policy_request>(&action))
        {
            call_policy(number, *ask);
        }
        else if (auto const* const reply =
                     std::get_if<ports::job_reply>(&action))
        {
            answers_[reply->caller] = reply->answer;
        }
        else if (auto const* const line =
                     std::get_if<ports::log_event>(&action))
        {
            log_.push_back({now(), number, *line});
        }
        else if (std::holds_alternative<ports::stop_complete>(action))
        {
            instances_[number].stopped = true;
        }
    }
}

void pool_simulation::call_store(std::size_t number, ports::kv_call const& call)
{
    auto const what = store_fault ? store_fault(number, call.operation)
                                  : fault_effect::carried_out;
    auto const life = instances_[number].incarnation;
    auto const tell =
        [this, number, life, id = call.id](ports::kv_status status)
    {
        if (instances_[number].incarnation == life)
        {
            ports::kv_reply reply;
            reply.id = id;
            reply.status = status;
            deliver(number,
                    [this, reply](core::pool::engine& engine)
                    {
                        engine.on_kv_reply(now(), reply);
                    });
        }
    };
    if (what == fault_effect::refused)
    {
        timeline_.after(2 * store_latency_,
                        [tell]
                        {
                            tell(ports::kv_status::refused);
                        });
        return;
    }
    if (what == fault_effect::watch_stalled)
    {
        auto const wait = std::get<ports::kv_watch>(call.operation).wait;
        timeline_.after(wait,
                        [this, number, life, id = call.id]
                        {
                            if (instances_[number].incarnation != life)
                            {
                                return;
                            }
                            ports::kv_reply reply;
                            reply.id = id;
                            reply.status = ports::kv_status::done;
                            reply.revision = store_.revision();
                            deliver(number,
                                    [this, reply](core::pool::engine& engine)
                                    {
                                        engine.on_kv_reply(now(), reply);
                                    });
                        });
        return;
    }
    bool const commits =
        std::holds_alternative<ports::kv_commit>(call.operation);
    auto const way = store_latency_ +
                     (commits ? instances_[number].commit_delay : duration{});
    // No caller hears an answer that comes after its time limit.
    bool const answered = (what == fault_effect::carried_out &&
                           call.timeout > way + store_latency_) ||
                          (what == fault_effect::delayed &&
                           call.timeout > late_by + store_latency_);
    if (!answered)
    {
        timeline_.after(call.timeout,
                        [tell]
                        {
                            tell(ports::kv_status::unclear);
                        });
    }
    if (what == fault_effect::request_lost)
    {
        return;
    }
    bool const delayed =
        what == fault_effect::executed_late || what == fault_effect::delayed;
    timeline_.after(delayed ? late_by : way,
                    [this, number, life, call, answered]
                    {
                        apply_store(number, life, call, answered);
                    });
}

void pool_simulation::apply_store(std::size_t number,
                                  std::uint64_t life,
                                  ports::kv_call const& call,
                                  bool answered)
{
    auto reply = store_.answer(now(), call.operation);
    wake_watches();
    if (!answered)
    {
        return;
    }
    if (!reply)
    {
        auto const wait = std::get<ports::kv_watch>(call.operation).wait;
        watches_.push_back({number, life, call, now() + wait});
        timeline_.after(wait,
                        [this]
                        {
                            wake_watches();
                        });
        return;
    }
    reply->id = call.id;
    timeline_.after(store_latency_,
                    [this, number, life, reply = *reply]
                    {
                        if (instances_[number].incarnation == life)
                        {
                            hand_back(number, reply);
                        }
                    });
}

void pool_simulation::hand_back(std::size_t number, ports::kv_reply reply)
{
    bool const twice = store_answer && store_answer(reply);
    deliver(number,
            [this, reply, twice](core::pool::engine& engine)
            {
                engine.on_kv_reply(now(), reply);
                if (twice)
                {
                    engine.on_kv_reply(now(), reply);
                    engine.on_kv_reply(now(), to_nobody(reply));
                }
            });
}

void pool_simulation::hand_back(std::size_t number, ports::order_reply reply)
{
    bool const twice = worker_answer && worker_answer(reply);
    deliver(number,
            [this, reply, twice](core::pool::engine& engine)
            {
                engine.on_order_reply(now(), reply);
                if (twice)
                {
                    engine.on_order_reply(now(), reply);
                    engine.on_order_reply(now(), to_nobody(reply));
                }
            });
}

void pool_simulation::require_tickets()
{
    tickets_required_ = true;
    store_.put("operators/config", "2 advised");
}

std::size_t pool_simulation::starts_without_ticket() const noexcept
{
    return without_ticket_;
}

void pool_simulation::call_policy(std::size_t number,
                                  ports::policy_request const& call)
{
    if (policy_busy_ && violation_.empty())
    {
        violation_ = "a second call of the policy at a time";
    }
    policy_busy_ = true;
    ports::policy_reply reply;
    reply.id = call.id;
    reply.answered = true;
    reply.valid = 3s;
    for (auto const& id : call.workers)
    {
        if (std::stoul(id.substr(1)) % 2 == 1)
        {
            reply.allowed.push_back({id, "ticket " + id});
        }
    }
    timeline_.after(300ms,
                    [this, number, life = instances_[number].incarnation, reply]
                    {
                        policy_busy_ = false;
                        if (instances_[number].incarnation != life)
                        {
                            return;
                        }
                        deliver(number,
                                [this, reply](core::pool::engine& engine)
                                {
                                    engine.on_policy_reply(now(), reply);
                                });
                    });
}

void pool_simulation::wake_watches()
{
    auto const waiting = std::exchange(watches_, {});
    for (auto const& each : waiting)
    {
        auto reply = store_.answer(now(), each.call.operation);
        if (!reply && now() < each.until)
        {
            watches_.push_back(each);
            continue;
        }
        auto told = reply.value_or(ports::kv_reply{});
        if (!reply)
        {
            told.status = ports::kv_status::done;
            told.revision = store_.revision();
        }
        told.id = each.call.id;
        timeline_.after(store_latency_,
                        [this, each, told]
                        {
                            if (instances_[each.instance].incarnation ==
                                each.incarnation)
                            {
                                hand_back(each.instance, told);
                            }
                        });
    }
}

void pool_simulation::call_worker(std::size_t number,
                                  ports::pool_order const& order)
{
    auto const where = std::stoul(order.worker.substr(1));
    auto const what = worker_fault
                          ? worker_fault(number, where, order.operation)
                          : fault_effect::carried_out;
    auto const life = instances_[number].incarnation;
    if (what != fault_effect::carried_out)
    {
        bool const refused = what == fault_effect::refused;
        ports::order_reply reply;
        reply.id = order.id;
        reply.status = refused ? ports::order_status::not_sent
                               : ports::order_status::unclear;
        timeline_.after(refused ? 2 * worker_delay : order.timeout,
                        [this, number, life, reply]
                        {
                            if (instances_[number].incarnation != life)
                            {
                                return;
                            }
                            deliver(number,
                                    [this, reply](core::pool::engine& engine)
                                    {
                                        engine.on_order_reply(now(), reply);
                                    });
                        });
    }
    if (what == fault_effect::request_lost || what == fault_effect::refused)
    {
        return;
    }
    timeline_.after(
        what == fault_effect::executed_late ? late_by : worker_delay,
        [this, number, life, order, what]
        {
            apply_worker(
                number, life, order, what == fault_effect::carried_out);
        });
}

void pool_simulation::apply_worker(std::size_t number,
                                   std::uint64_t life,
                                   ports::pool_order const& order,
                                   bool answered)
{
    auto const where = std::stoul(order.worker.substr(1));
    auto& target = *workers_[where];
    auto const* const start = std::get_if<ports::start_order>(&order.operation);
    without_ticket_ += tickets_required_ && start != nullptr &&
                               start->ticket != "ticket " + order.worker
                           ? 1U
                           : 0U;
    auto const begun = target.started_runs().size();
    bool const meant = order.incarnation == 0 ||
                       order.incarnation == target.info().incarnation;
    ports::order_reply reply;
    reply.status = ports::order_status::wrong_incarnation;
    if (meant)
    {
        reply = target.apply(now(), order.operation);
    }
    if (target.started_runs().size() > begun)
    {
        check_start(where, target.started_runs().back());
    }
    check_ends();
    if (!answered)
    {
        return;
    }
    reply.id = order.id;
    // A hold waits for an end; the stand-in answers after a tenth of that.
    auto const* const hold = std::get_if<ports::poll_order>(&order.operation);
    auto const wait = hold != nullptr ? hold->wait / 10 : duration{};
    timeline_.after(wait + worker_delay,
                    [this, number, life, reply]
                    {
                        if (instances_[number].incarnation == life)
                        {
                            hand_back(number, reply);
                        }
                    });
}

void pool_simulation::tick_all()
{
    store_.expire(now());
    wake_watches();
    for (auto& each : workers_)
    {
        each->advance(now());
    }
    for (std::size_t number = 0; number < instances_.size(); ++number)
    {
        auto& each = instances_[number];
        if (each.engine && each.frozen_until <= now() && !each.stopped)
        {
            each.engine->set_unix_offset(
                unix_offset_ms +
                core::common::to_milliseconds(each.clock_ahead));
            each.engine->tick(now());
            perform(number);
        }
    }
    timeline_.after(tick_every,
                    [this]
                    {
                        tick_all();
                    });
}

void pool_simulation::check_start(std::size_t where,
                                  ports::pool_attempt const& what)
{
    if (!violation_.empty())
    {
        return;
    }
    auto const name = what.task.job + "." + std::to_string(what.task.step) +
                      "." + std::to_string(what.task.index) + " attempt " +
                      std::to_string(what.attempt) + " on w" +
                      std::to_string(where);
    if (running_count(what.task) > 1)
    {
        violation_ = "two places: " + name;
    }
    else if (done_.contains(what.task))
    {
        violation_ = "ran again after it was done: " + name;
    }
    else if (failed_[what.task] >= attempts)
    {
        violation_ = "ran again after its last attempt: " + name;
    }
}

void pool_simulation::check_ends()
{
    done_.clear();
    failed_.clear();
    for (auto const& each : workers_)
    {
        for (auto const& row : each->acknowledged_ends())
        {
            if (row.kind == ports::end_kind::done)
            {
                done_.insert(row.attempt_id.task);
            }
            else if (row.kind == ports::end_kind::failed)
            {
                ++failed_[row.attempt_id.task];
            }
        }
    }
}

} // namespace fuchsia::tests::unit::pool
