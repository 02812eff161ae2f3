#include "pool_simulation.hpp"

#include "platform/platform_records.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::tests::unit::pool
{

namespace
{

constexpr std::int64_t unix_offset_ms = 1'700'000'000'000;
constexpr duration tick_interval = 10ms;
constexpr char const* host = "jobs.example";
constexpr char const* prefix = "/q/";
// Key prefixes and parsers for the simplified records of workers and operators
// that the simulation writes.
core::pool::platform_records make_platform_records()
{
    core::pool::platform_records records;
    records.workers_prefix = "workers/";
    records.operators_prefix = "operators/";
    records.read_worker =
        [](ports::kv_item const& item,
           core::common::failure& reason) -> std::optional<ports::pool_worker>
    {
        // Format: "number incarnation cores", optionally followed by
        // " draining".
        if (item.value.find_first_of("0123456789") != 0 ||
            item.value.find(' ') == std::string::npos)
        {
            // Entries of other programs are for the platform's parser.
            auto entry = item;
            entry.key = "servers/" + item.key.substr(item.key.find('/') + 1);
            return platform::make_platform_records().read_worker(entry, reason);
        }
        auto const separator = item.value.find(' ');
        std::size_t length = 0;
        auto const rest = item.value.substr(separator);
        auto worker = make_worker_info(std::stoul(item.value),
                                       std::stoull(rest, &length));
        worker.id = item.key.substr(item.key.find('/') + 1);
        if (rest.find_first_of("0123456789", length) != std::string::npos)
        {
            worker.capacity.millicores = std::stoll(rest.substr(length));
        }
        worker.draining = item.value.ends_with("draining");
        return worker;
    };
    records.read_operator =
        [](ports::kv_item const& item,
           core::common::failure&) -> std::optional<core::pool::operator_change>
    {
        constexpr std::string_view excluded_prefix = "operators/out/";
        if (item.key.starts_with(excluded_prefix))
        {
            return core::pool::data_centre_change{
                item.key.substr(excluded_prefix.size()), !item.erased};
        }
        core::pool::configuration config;
        config.version = std::stoull(item.value);
        bool const has_policy = item.value.ends_with("advised");
        core::pool::queue queue;
        queue.name = "q";
        queue.host = host;
        queue.prefix = prefix;
        queue.service = "s";
        queue.attempts = attempts_of_queue;
        if (has_policy)
        {
            queue.policy = core::pool::policy_rules{300ms, 2ms};
        }
        config.queues.push_back(queue);
        return config;
    };
    return records;
}

// Returns a copy of the reply with the id of a call that was never sent.
template<class Reply>
Reply to_nobody(Reply reply)
{
    reply.id += std::uint64_t{1} << 40;
    return reply;
}

} // namespace

bool run_until_owned(pool_simulation& simulation)
{
    return simulation.run_until(
        [&simulation]
        {
            return simulation.owner().has_value();
        });
}

std::size_t other_than(std::size_t number)
{
    return number == 0 ? 1 : 0;
}

std::size_t running_tasks(pool_simulation& simulation)
{
    std::size_t count = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        count += simulation.worker(number).running();
    }
    return count;
}

std::size_t total_starts(pool_simulation& simulation)
{
    std::size_t count = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        count += simulation.worker(number).started_runs().size();
    }
    return count;
}

void submit_many(pool_simulation& simulation,
                 std::size_t instance,
                 std::string const& name,
                 std::size_t count,
                 core::pool::job const& submitted_job)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        simulation.submit(
            instance, name + std::to_string(number), submitted_job);
    }
}

bool watches_jobs(ports::kv_operation const& call)
{
    auto const* const watch = std::get_if<ports::kv_watch>(&call);
    return watch != nullptr && watch->prefix == "pool/";
}

core::pool::job simple_job(std::uint32_t count, duration work)
{
    core::pool::job result;
    core::pool::step step;
    step.count = count;
    step.declared = {1000, 100, 0};
    step.estimate = work;
    result.steps.push_back(step);
    result.spec = "work=" + std::to_string(core::common::to_milliseconds(work));
    return result;
}

core::pool::job chained_job(duration work)
{
    auto result = simple_job(2, work);
    auto second = result.steps.front();
    second.after = {0};
    result.steps.push_back(second);
    return result;
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

void pool_simulation::run(duration length)
{
    auto const until = clock_.now() + length;
    while (clock_.step(until))
    {
    }
}

bool pool_simulation::run_until(std::function<bool()> const& condition,
                                duration timeout)
{
    auto const until = clock_.now() + timeout;
    while (!condition())
    {
        if (!clock_.step(until))
        {
            return condition();
        }
    }
    return true;
}

std::uint64_t pool_simulation::send_request(std::size_t instance,
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
                                      core::pool::job submitted_job)
{
    core::pool::pool_request request;
    request.path = prefix + id;
    submitted_jobs_[id] = submitted_job;
    request.action = core::pool::submit_request{std::move(submitted_job)};
    return send_request(instance, std::move(request));
}

std::uint64_t pool_simulation::cancel(std::size_t instance,
                                      std::string const& id)
{
    core::pool::pool_request request;
    request.path = prefix + id;
    request.action = core::pool::cancel_request{};
    return send_request(instance, std::move(request));
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
    return send_request(instance, std::move(request));
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
    auto const received = answer(request);
    auto const* const status =
        received ? std::get_if<ports::job_status>(&*received) : nullptr;
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
    auto const received = answer(request);
    auto const* const status =
        received ? std::get_if<ports::queue_status>(&*received) : nullptr;
    return status == nullptr ? std::nullopt : std::optional(status->pending);
}

void pool_simulation::set_commit_delay(std::size_t instance, duration delay)
{
    instances_[instance].commit_delay = delay;
}

void pool_simulation::set_store_latency(duration one_way)
{
    store_latency_ = one_way;
}

void pool_simulation::set_late_delay(duration delay)
{
    late_delay_ = delay;
}

void pool_simulation::set_final_state_retention(duration length)
{
    final_state_retention_ = length;
}

void pool_simulation::set_speed_factor(std::size_t instance, double factor)
{
    instances_[instance].speed_factor = factor;
}

void pool_simulation::kill(std::size_t instance)
{
    instances_[instance].engine.reset();
    instances_[instance].incarnation = 0;
}

void pool_simulation::start(std::size_t instance)
{
    auto& target = instances_[instance];
    target.incarnation = ++target.last_incarnation;
    target.stopped = false;
    core::pool::pool_settings settings;
    settings.claim.size = target.speed_factor;
    settings.owner.final_state_retention =
        final_state_retention_.value_or(settings.owner.final_state_retention);
    target.engine = std::make_unique<core::pool::engine>(
        settings,
        make_platform_records(),
        "i" + std::to_string(instance) + "#" +
            std::to_string(target.incarnation));
    deliver(instance,
            [this](core::pool::engine& engine)
            {
                engine.start(now());
            });
}

void pool_simulation::freeze(std::size_t instance, duration length)
{
    instances_[instance].frozen_until = now() + length;
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
        auto const& candidate = instances_[number];
        if (candidate.engine && candidate.engine->active_owner() != nullptr &&
            candidate.engine->active_owner()->loaded() &&
            store_.find("pool/claim") &&
            store_.find("pool/claim")->revision ==
                candidate.engine->claimed().epoch())
        {
            return number;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> pool_simulation::working_owner() const
{
    auto const number = owner();
    bool const works = number && instances_[*number].frozen_until <= now() &&
                       instances_[*number].engine->active_owner()->working();
    return works ? number : std::nullopt;
}

std::optional<std::size_t> pool_simulation::claim_holder() const
{
    for (std::size_t number = 0; number < instances_.size(); ++number)
    {
        auto const& candidate = instances_[number];
        if (candidate.engine && candidate.engine->claimed().held())
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

standins::pool::kv_state const& pool_simulation::store() const noexcept
{
    return store_;
}

standins::pool::worker_state& pool_simulation::worker(std::size_t number)
{
    return *workers_[number];
}

std::size_t pool_simulation::worker_count() const noexcept
{
    return workers_.size();
}

std::size_t pool_simulation::running_count(ports::task_name const& task) const
{
    std::size_t count = 0;
    for (auto const& worker : workers_)
    {
        count += worker->runs(task) ? 1U : 0U;
    }
    return count;
}

std::string const& pool_simulation::violation() const noexcept
{
    return violation_;
}

time_point pool_simulation::now() const noexcept
{
    return clock_.now();
}

bool pool_simulation::stopped(std::size_t instance) const
{
    return instances_[instance].stopped;
}

bool pool_simulation::uses_workers(std::size_t instance) const
{
    return instances_[instance].uses_workers;
}

std::vector<logged_line> const& pool_simulation::log() const noexcept
{
    return log_;
}

std::string text_of(logged_line const& line)
{
    auto text = line.what.event;
    for (auto const& field : line.what.fields)
    {
        text += " " + field.name + "=" + field.value;
    }
    return text;
}

void pool_simulation::deliver(
    std::size_t number, std::function<void(core::pool::engine&)> const& action)
{
    auto const& target = instances_[number];
    if (!target.engine)
    {
        return;
    }
    if (target.frozen_until > now())
    {
        clock_.after(target.frozen_until - now(),
                     [this, number, incarnation = target.incarnation, action]
                     {
                         if (instances_[number].incarnation == incarnation)
                         {
                             deliver(number, action);
                         }
                     });
        return;
    }
    action(*target.engine);
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
            instances_[number].uses_workers = true;
            call_worker(number, *order);
        }
        else if (std::holds_alternative<ports::release_workers>(action))
        {
            instances_[number].uses_workers = false;
        }
        else if (auto const* const policy_call =
                     std::get_if<ports::policy_request>(&action))
        {
            call_policy(number, *policy_call);
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

void pool_simulation::deliver_reply(std::size_t number, ports::kv_reply reply)
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

void pool_simulation::deliver_reply(std::size_t number,
                                    ports::order_reply reply)
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
    return starts_without_ticket_;
}

void pool_simulation::call_policy(std::size_t number,
                                  ports::policy_request const& call)
{
    if (policy_busy_ && violation_.empty())
    {
        violation_ = "two concurrent calls of the policy service";
    }
    policy_busy_ = true;
    ports::policy_reply reply;
    reply.id = call.id;
    reply.answered = true;
    reply.valid = 3s;
    for (auto const& id : call.workers)
    {
        auto const worker_number = std::stoul(id.substr(1));
        if (worker_number % 2 == 1)
        {
            reply.allowed.push_back({id, ticket_of(worker_number)});
        }
    }
    if (policy_answer)
    {
        policy_answer(call, reply);
    }
    clock_.after(
        300ms,
        [this, number, incarnation = instances_[number].incarnation, reply]
        {
            policy_busy_ = false;
            if (instances_[number].incarnation != incarnation)
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

void pool_simulation::tick_all()
{
    store_.expire(now());
    answer_watches();
    crash_by_tasks();
    for (auto& current : workers_)
    {
        current->advance(now());
    }
    for (std::size_t number = 0; number < instances_.size(); ++number)
    {
        auto& current = instances_[number];
        if (current.engine && current.frozen_until <= now() && !current.stopped)
        {
            current.engine->set_unix_offset(
                unix_offset_ms +
                core::common::to_milliseconds(current.clock_ahead));
            current.engine->tick(now());
            perform(number);
        }
    }
    clock_.after(tick_interval,
                 [this]
                 {
                     tick_all();
                 });
}

} // namespace fuchsia::tests::unit::pool
