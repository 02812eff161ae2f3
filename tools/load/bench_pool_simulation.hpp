#pragma once

#include "core/pool/engine.hpp"
#include "standins/pool/kv_state.hpp"
#include "standins/pool/worker_state.hpp"
#include "tools/load/bench_pool.hpp"
#include "tools/load/bench_simulation.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fuchsia::tools::load
{

/// Simulates a store, workers and the instance that owns them in virtual time.
/// Measures the processor time of each event that the instance processes.
class bench_pool_simulation
{
public:
    explicit bench_pool_simulation(pool_bench_settings const& settings);

    pool_bench_result run();

private:
    using event_handler = std::function<void(core::pool::engine&)>;
    struct parked_watch
    {
        ports::kv_call call;
        core::common::time_point until;
    };
    /// Long poll that waits for an attempt to end.
    struct parked_poll
    {
        std::uint64_t call = 0; ///< Id of the poll order; 0 if none is parked.
        ports::poll_order order;
    };
    struct pool_worker
    {
        std::unique_ptr<standins::pool::worker_state> state;
        parked_poll poll;
    };

    void add_worker(std::uint32_t number);
    void deliver(pool_event_kind kind, event_handler const& handler);
    void measure(pool_event_kind kind, event_handler const& handler);
    void execute_actions();
    void tick();

    void send_store_call(ports::kv_call const& call);
    void apply_store(ports::kv_call const& call);
    void send_store_reply(ports::kv_call const& call, ports::kv_reply reply);
    void answer_watches();
    void measure_progress_json(ports::kv_commit const& commit);

    void send_order(ports::pool_order const& order);
    void apply_order(ports::pool_order const& order);
    void poll(pool_worker& target, ports::pool_order const& order);
    void answer_parked_poll(pool_worker& target, std::uint64_t call);
    void send_order_reply(pool_event_kind kind,
                          std::uint64_t call,
                          ports::order_reply reply);
    void record_order(ports::pool_order const& order);

    void submit(std::string const& queue, core::pool::job new_job);
    void submit_hopeless();
    void submit_serving(std::uint32_t remaining);
    void submit_best_effort();
    void submit_short();

    pool_bench_settings settings_;
    bench_event_loop loop_;
    standins::pool::kv_state store_;
    std::map<std::string, pool_worker> workers_;
    std::unique_ptr<core::pool::engine> engine_;
    std::list<parked_watch> watches_;
    signature orders_;
    pool_bench_result result_;
    bool measuring_ = false;
    std::uint64_t next_request_ = 0;
};

} // namespace fuchsia::tools::load
