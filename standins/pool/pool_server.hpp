#pragma once

#include "adapters/http/server.hpp"
#include "adapters/runtime/timer.hpp"
#include "standins/pool/fault_gate.hpp"
#include "standins/pool/kv_state.hpp"
#include "standins/pool/worker_state.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::standins::pool
{

struct pool_server_settings
{
    ports::endpoint store;
    /// Port of the first worker; the others follow it. All workers listen at
    /// the store's address.
    std::uint16_t first_worker_port = 0;
    /// Port of the first worker in the published list, for workers behind
    /// relays; 0 means `first_worker_port`.
    std::uint16_t advertised_worker_port = 0;
    std::uint32_t workers = 4;
    ports::resources capacity{8000, 8000, 0};
    /// Host and path prefix of the only queue, "jobs".
    std::string host = "jobs.example";
    std::string prefix = "/jobs/";
};

/// Deliberate defect of the stand-in, to test that a check detects it.
enum class planted_defect : std::uint8_t
{
    none,
    duplicate_placement, ///< A second worker also starts each task.
    lost_job,            ///< The store loses every fifth accepted job.
    lost_cancel,         ///< The store loses accepted cancellations.
    rerun_after_end,     ///< A worker reruns a task whose end was acknowledged.
    early_dependent_step, ///< A worker starts the next step of a job together
                          ///< with each step.
    rerun_after_crash,    ///< A worker that a task has crashed starts the task
                          ///< again when it is back.
    hidden_shrink,        ///< A worker's entry hides that its capacity shrank.
    dropped_late_end,     ///< A worker lists an end as done as lapsed if no
                          ///< owner asked for it for longer than a lease, as if
                          ///< the owner dropped it.
    ignored_fence, ///< Workers obey orders with any fencing token, as if the
                   ///< owner never replaced the one of its orders.
};

/// Stand-in for the users' platform in one process: the store and some workers,
/// over HTTP in the platform's formats. GET /control/counts on the store's
/// address returns the number of starts, of starts of a task that also runs on
/// another worker, and of starts of a task whose end as done was acknowledged.
class pool_server
{
public:
    pool_server(boost::asio::io_context& io, pool_server_settings settings);
    std::optional<ports::endpoint> listen(core::common::failure& reason);
    void stop();

    using observer =
        std::function<void(ports::pool_worker const&, worker_event const&)>;
    void observe(observer callback);
    void plant_defect(planted_defect defect);
    /// Store, for writes of the operator's records and for faults of the store.
    kv_state& store() noexcept;
    fault_gate& store_fault_gate() noexcept;
    /// Drops all pending watches without answering them.
    void stall_watches();

    std::size_t workers() const noexcept;
    ports::pool_worker const& info(std::size_t worker) const;
    fault_gate& worker_fault_gate(std::size_t worker);
    /// Ends the worker with all its tasks. The worker's entry stays in the
    /// published list for a few heartbeat intervals.
    void crash(std::size_t worker);
    /// Starts a new incarnation at the same address, under the same id or a new
    /// one.
    void restart(std::size_t worker, bool same_id);
    void drain(std::size_t worker);
    /// Changes the capacity of a worker and what its entry says of it.
    void set_capacity(std::size_t worker, ports::resources capacity);
    /// Whether the worker has crashed and not come back yet.
    bool is_down(std::size_t worker) const;

private:
    struct simulated_worker
    {
        std::unique_ptr<worker_state> state;
        std::unique_ptr<adapters::http::server> server;
        fault_gate gate;
        std::uint32_t incarnations = 0;
        /// Time at which the entry of a crashed worker leaves the list.
        std::optional<core::common::time_point> listed_until;
        bool down = false;
        /// Time at which a worker that a task has crashed comes back.
        std::optional<core::common::time_point> back_at;
        /// Run that crashed the worker last, for `rerun_after_crash`.
        std::optional<ports::start_order> crashed_by;
        /// Times of the ends that aren't acknowledged yet, for
        /// `dropped_late_end`. Empty values: the end has been listed in time.
        std::map<ports::pool_attempt, std::optional<core::common::time_point>>
            unlisted_ends;
    };

    struct pending_watch
    {
        ports::kv_watch call;
        core::common::time_point expires_at{};
        adapters::http::responder respond;
    };

    void handle_store_request(adapters::http::request const& request,
                              adapters::http::responder const& respond);
    void answer_watch(ports::kv_watch const& call,
                      adapters::http::responder const& respond);
    void wake_watches();
    void execute(ports::kv_operation const& operation,
                 adapters::http::responder const& respond);
    void apply_planted_loss(ports::kv_operation const& operation);
    bool serve(std::size_t index, core::common::failure& reason);
    void handle_worker_request(std::size_t index,
                               adapters::http::request const& request,
                               adapters::http::responder const& respond);
    /// Executes an order that arrived when `incarnation` ran there.
    void execute_if_possible(std::size_t index,
                             ports::pool_worker const& incarnation,
                             ports::pool_operation const& order,
                             adapters::http::responder const& respond);
    void execute(std::size_t index,
                 ports::pool_operation order,
                 adapters::http::responder const& respond);
    void note_end(std::size_t index, worker_event const& event);
    void drop_late_ends(std::size_t index, ports::order_reply& reply);
    void violate_on_worker(std::size_t index,
                           ports::pool_operation const& order);
    void start_incarnation(std::size_t index, std::string const& id);
    void count_violations(std::size_t starts_before,
                          worker_state const& started_on);
    adapters::http::response counters_answer() const;
    void publish(std::size_t index);
    void advance(core::common::time_point now);
    void crash_by_tasks(core::common::time_point now);
    void bring_back(core::common::time_point now);
    void rerun_crashed(std::size_t index, core::common::time_point now);
    void tick();

    boost::asio::io_context& io_;
    pool_server_settings settings_;
    kv_state store_;
    fault_gate store_gate_;
    std::unique_ptr<adapters::http::server> store_server_;
    std::vector<simulated_worker> workers_;
    std::list<pending_watch> watches_;
    observer observer_;
    planted_defect planted_defect_ = planted_defect::none;
    std::uint64_t job_commits_ = 0;
    adapters::runtime::timer ticker_;
    std::uint64_t starts_ = 0;
    std::uint64_t concurrent_runs_ = 0;
    std::uint64_t starts_after_done_ = 0;
};

} // namespace fuchsia::standins::pool
