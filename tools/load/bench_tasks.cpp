#include "core/config/index.hpp"
#include "core/tasks/planner_engine.hpp"
#include "tools/load/bench.hpp"

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
using core::tasks::planner_engine;
using ports::attempt_state;

constexpr std::uint64_t seed = 20'261'203;
constexpr int worker_count = 400;
constexpr int workers_per_rack = 8;
constexpr int job_count = 1'000;
constexpr int tasks_per_job = 4;
constexpr auto customer = "estate-owners";
constexpr std::array<char const*, 6> classes{
    "bidding", "catalogue", "valuation", "settlement", "index", "export"};
constexpr duration worker_delay = 1ms;
constexpr duration tick_interval = 50ms;
constexpr duration report_interval = 1s;
constexpr duration joining_time = 8s;
constexpr duration job_interval = 20ms;
constexpr duration ending_time = 30s;

class task_bench
{
public:
    explicit task_bench(signature& decisions)
        : decisions_(decisions), loop_(seed)
    {
        write_configuration();
        self_.id = {"planner-1", seed};
        self_.role = "planner";
        self_.data_centre = "dc-1";
        self_.peer_address = {"10.0.0.1", 8091};
        self_.http_address = {"10.0.0.1", 8090};
        // The single planner of the bench does the work that nine planners
        // share otherwise, so its limit of store writes is higher than the
        // default.
        core::tasks::planner_settings settings;
        settings.store.writes_per_second = 400;
        settings.store.write_burst = 400;
        engine_ = std::make_unique<planner_engine>(settings, self_, seed);
    }

    void run()
    {
        auto const start = loop_.now();
        dispatch(
            [this](planner_engine& target, ports::actions& actions)
            {
                target.start(loop_.now(), actions);
            });
        tick();
        list();
        report();
        loop_.run_until(start + joining_time);
        for (int number = 0; number < job_count; ++number)
        {
            loop_.after(number * job_interval,
                        [this, number]
                        {
                            submit(number);
                        });
        }
        loop_.run_until(loop_.now() + job_count * job_interval + ending_time);
    }

private:
    struct attempt
    {
        attempt_state state = attempt_state::running;
        ports::resources declared;
        std::uint64_t work_ms = 0; ///< Run time; 0 for a service.
        core::common::time_point started;
    };
    using attempts = std::map<ports::task_attempt, attempt>;

    void write_configuration()
    {
        core::contracts::contract contract;
        contract.customer = customer;
        contract.capacity = {100'000'000, 1'000'000'000, 0};
        contract.latency_target = 500ms;
        contract.batch_latency_target = 10s;
        core::config::index_document index;
        index.revision = 1;
        auto const document = core::config::document_name(1, "bench");
        index.contracts[customer] = {1, false, document};
        store_.put(core::config::document_key(customer, document),
                   core::contracts::to_json(contract));
        store_.put(std::string(core::config::index_key),
                   core::config::to_json(index));
    }

    template<class Event>
    void dispatch(Event event)
    {
        ports::actions actions;
        event(*engine_, actions);
        execute_actions(actions);
    }

    void tick()
    {
        dispatch(
            [this](planner_engine& target, ports::actions& actions)
            {
                target.tick(loop_.now(), actions);
            });
        loop_.after(tick_interval,
                    [this]
                    {
                        tick();
                    });
    }

    static std::string worker_name(int number)
    {
        return "worker-" + std::to_string(number);
    }

    void list()
    {
        ports::instance_list const members{{}, {self_.id.name}, loop_.now()};
        ports::worker_list all;
        all.received = loop_.now();
        for (int number = 0; number < worker_count; ++number)
        {
            ports::worker_instance worker;
            worker.id = worker_name(number);
            worker.rack = "rack-" + std::to_string(number / workers_per_rack);
            worker.data_centre = "dc-1";
            worker.capacity = {64'000, 250'000, 0};
            all.workers.push_back(std::move(worker));
        }
        dispatch(
            [&](planner_engine& target, ports::actions& actions)
            {
                target.on_instances(loop_.now(), members, actions);
                target.on_workers(loop_.now(), all, actions);
            });
        loop_.after(1s,
                    [this]
                    {
                        list();
                    });
    }

    std::uint64_t clock_ms() const
    {
        return static_cast<std::uint64_t>(
            core::common::to_milliseconds(loop_.now().time_since_epoch()));
    }

    // Returns the p99 latency of a service, which grows with the number of
    // attempts on its worker, so that the planner has interference to learn;
    // 0 for a batch task.
    static std::uint64_t latency_us(attempt const& current,
                                    std::size_t neighbours)
    {
        return current.work_ms == 0 ? 5'000 + 4'000 * neighbours : 0;
    }

    void report()
    {
        ++sequence_;
        for (int number = 0; number < worker_count; ++number)
        {
            ports::worker_report report;
            report.worker = worker_name(number);
            report.sequence = sequence_;
            report.clock_ms = clock_ms();
            for (auto const& [attempt_id, current] : workers_[report.worker])
            {
                ports::attempt_report item;
                item.attempt_id = attempt_id;
                item.state = current.state;
                item.used = current.declared;
                item.latency_p99_us =
                    latency_us(current, workers_[report.worker].size());
                report.attempts.push_back(item);
            }
            dispatch(
                [&](planner_engine& target, ports::actions& actions)
                {
                    target.on_worker_report(loop_.now(), report, actions);
                });
        }
        loop_.after(report_interval,
                    [this]
                    {
                        report();
                    });
    }

    void submit(int number)
    {
        core::tasks::job job;
        job.id = "job-" + std::to_string(number);
        job.customer = customer;
        job.task_class = classes[loop_.random_below(classes.size())];
        job.kind = loop_.random_below(3) == 0 ? core::tasks::job_kind::service
                                              : core::tasks::job_kind::batch;
        job.tasks = tasks_per_job;
        job.declared = {
            static_cast<std::int64_t>(500 * (1 + loop_.random_below(8))),
            static_cast<std::int64_t>(1'000 * (1 + loop_.random_below(8))),
            0};
        bool const batch = job.kind == core::tasks::job_kind::batch;
        job.work_ms = batch ? 2'000 + loop_.random_below(10'000) : 0;
        job.checkpointable = batch;
        job.urgent = loop_.random_below(20) == 0;
        core::tasks::job_request request{static_cast<std::uint64_t>(number),
                                         "POST",
                                         "/v1/jobs",
                                         core::tasks::to_json(job)};
        dispatch(
            [&](planner_engine& target, ports::actions& actions)
            {
                target.on_job_request(loop_.now(), request, actions);
            });
    }

    void execute_actions(ports::actions& actions)
    {
        for (auto& action : actions)
        {
            if (auto* const call = std::get_if<ports::store_call>(&action))
            {
                send_store_call(std::move(*call));
            }
            else if (auto* const work =
                         std::get_if<ports::worker_call>(&action))
            {
                loop_.after(worker_delay,
                            [this, call = std::move(*work)]
                            {
                                apply_call(call);
                            });
            }
        }
    }

    void send_store_call(ports::store_call call)
    {
        store_.call(std::move(call),
                    [this](ports::store_reply const& reply)
                    {
                        dispatch(
                            [&](planner_engine& target, ports::actions& actions)
                            {
                                target.on_store_reply(
                                    loop_.now(), reply, actions);
                            });
                    });
    }

    void apply_call(ports::worker_call const& call)
    {
        ports::worker_reply reply;
        reply.id = call.id;
        reply.status = ports::worker_status::done;
        auto& running = workers_[call.worker];
        if (auto const* start =
                std::get_if<ports::worker_start>(&call.operation))
        {
            start_attempt(call.worker, *start);
        }
        else if (auto const* renew =
                     std::get_if<ports::worker_renew>(&call.operation))
        {
            for (auto const& attempt_id : renew->attempts)
            {
                if (!running.contains(attempt_id))
                {
                    reply.unknown_attempts.push_back(attempt_id);
                }
            }
        }
        else if (auto const* stop =
                     std::get_if<ports::worker_stop>(&call.operation))
        {
            running.erase(stop->attempt_id);
            record_order(call.worker, "stop", stop->attempt_id);
        }
        else if (auto const* checkpoint =
                     std::get_if<ports::worker_checkpoint>(&call.operation))
        {
            reply.checkpoint = checkpoint->attempt_id.task + "-checkpoint";
        }
        loop_.after(worker_delay,
                    [this, reply]
                    {
                        dispatch(
                            [&](planner_engine& target, ports::actions& actions)
                            {
                                target.on_worker_reply(
                                    loop_.now(), reply, actions);
                            });
                    });
    }

    void start_attempt(std::string const& worker,
                       ports::worker_start const& start)
    {
        record_order(worker, "start", start.attempt_id);
        workers_[worker][start.attempt_id] = {
            attempt_state::running, start.declared, start.work_ms, loop_.now()};
        if (start.service)
        {
            return;
        }
        loop_.after(std::chrono::milliseconds(start.work_ms),
                    [this, worker, attempt_id = start.attempt_id]
                    {
                        auto const found = workers_[worker].find(attempt_id);
                        if (found != workers_[worker].end())
                        {
                            found->second.state = attempt_state::finished;
                        }
                    });
    }

    void record_order(std::string const& worker,
                      std::string const& kind,
                      ports::task_attempt const& attempt_id)
    {
        decisions_.add(kind + ' ' + worker + ' ' + attempt_id.task + ' ' +
                       std::to_string(attempt_id.attempt) + ' ' +
                       std::to_string(clock_ms()));
    }

    signature& decisions_;
    bench_event_loop loop_;
    bench_store store_{loop_};
    core::membership::member_info self_;
    std::unique_ptr<planner_engine> engine_;
    std::map<std::string, attempts> workers_;
    std::uint64_t sequence_ = 0;
};

} // namespace

void bench_tasks(signature& decisions)
{
    task_bench(decisions).run();
}

} // namespace fuchsia::tools::load
