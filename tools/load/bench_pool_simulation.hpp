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

/// A store, workers and one instance that owns them, in virtual time; takes
/// the processor time of each event that the instance takes in.
class bench_pool_simulation
{
public:
    explicit bench_pool_simulation(pool_bench_settings const& settings);

    pool_bench_result run();

private:
    using event = std::function<void(core::pool::engine&)>;
    struct parked_watch
    {
        ports::kv_call call;
        core::common::time_point until;
    };
    /// A hold that waits for an end.
    struct parked_hold
    {
        std::uint64_t call = 0; ///< 0: none.
        ports::poll_order order;
    };
    struct pool_worker
    {
        std::unique_ptr<standins::pool::worker_state> state;
        parked_hold hold;
    };

    void add_worker(std::uint32_t number);
    void deliver(pool_event_kind duty, event const& what);
    void measure(pool_event_kind duty, event const& what);
    void perform();
    void tick();

    void ask_store(ports::kv_call const& call);
    void apply_store(ports::kv_call const& call);
    void answer_store(ports::kv_call const& call, ports::kv_reply reply);
    void wake_watches();
    void time_progress(ports::kv_commit const& commit);

    void order_worker(ports::pool_order const& order);
    void apply_order(ports::pool_order const& order);
    void hold(pool_worker& at, ports::pool_order const& order);
    void release(pool_worker& at, std::uint64_t call);
    void answer_order(pool_event_kind duty,
                      std::uint64_t call,
                      ports::order_reply reply);
    void note(ports::pool_order const& order);

    void submit(std::string const& queue, core::pool::job what);
    void submit_serving(std::uint32_t left);
    void submit_best_effort();
    void submit_short();

    pool_bench_settings settings_;
    bench_event_loop world_;
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
