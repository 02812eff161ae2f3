#pragma once

#include "core/config/change_writer.hpp"
#include "core/tasks/planner_engine.hpp"
#include "fake_workers.hpp"
#include "unit/walks/fake_link.hpp"
#include "unit/walks/fake_store.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// Simulation of several planners with a shared store, fake peer links and
// workers.
namespace fuchsia::tests::unit::tasks
{

struct planner_simulation_options
{
    std::size_t planners = 3;
    std::size_t racks = 3; ///< Rack n is in data centre n modulo 3.
    std::size_t workers_per_rack = 2;
    ports::resources capacity{8000, 32000, 0};
    std::uint64_t seed = 1;
    core::tasks::planner_settings settings;
};

class planner_simulation
{
public:
    explicit planner_simulation(planner_simulation_options const& options);

    virtual_clock time;
    walks::fake_store store;
    fake_workers workers;
    walks::fake_link link;

    void start(std::size_t planner);
    void kill(std::size_t planner);
    void freeze(std::size_t planner);
    void unfreeze(std::size_t planner);
    void begin_stop(std::size_t planner);
    /// Cuts a planner off from the store or reconnects it.
    void cut_store(std::size_t planner, bool is_cut);
    bool alive(std::size_t planner) const;
    bool stopped(std::size_t planner) const;
    core::tasks::planner_engine& engine(std::size_t planner);
    /// Returns the number of the planner that owns the cell and may act on it.
    std::optional<std::size_t> owner_of(std::string const& cell);

    void run(duration length);
    /// Runs until the condition holds; returns false if the limit passes first.
    bool run_until(std::function<bool()> const& condition, duration limit);
    /// Whether every cell is owned and taken over.
    bool is_stable();

    // Actions of operators, which write the configuration into the store.
    void put_contract(std::string const& customer,
                      ports::resources capacity,
                      std::uint32_t batch_permille = 1000);
    void withdraw(std::string const& customer);
    void set_out_of_service(std::string const& data_centre,
                            bool out_of_service);
    /// Sends a request to a planner and returns its caller number, under which
    /// the answer is stored in `answers`.
    std::uint64_t request(std::size_t planner,
                          std::string method,
                          std::string target,
                          std::string body = {});
    /// Sends a request and waits for the answer; status 0 if none arrives.
    ports::caller_answer request_and_wait(std::size_t planner,
                                          std::string method,
                                          std::string target,
                                          std::string body = {});
    /// Returns the state of a job as listed by the first planner that is alive.
    std::string state_of(std::string const& job);

    std::map<std::uint64_t, ports::caller_answer> answers;
    std::vector<ports::log_event> logs;
    /// Called before each worker call is sent; the call is dropped if it
    /// returns false.
    std::function<bool(std::size_t planner, ports::worker_call const&)>
        worker_call_filter;
    /// Description of the first violated invariant; empty if there is none.
    std::string violation;
    std::map<std::string, std::string> customer_of; ///< Customer of each job.

private:
    struct process
    {
        std::size_t slot = 0;
        ports::member_identity id;
        std::unique_ptr<core::tasks::planner_engine> engine;
        bool frozen = false;
        bool ended = false;
        bool stopped = false;
        /// Callbacks that arrived while the process was frozen.
        std::deque<std::function<void()>> deferred;
    };
    using process_pointer = std::shared_ptr<process>;

    void tick(process_pointer const& target);
    void poll(process_pointer const& target);
    void run_in(process_pointer const& target,
                std::function<void(ports::actions&)> const& callback);
    void perform(process_pointer const& target, ports::actions const& actions);
    void make_engine(process& target);
    void change(core::config::change new_change);
    void tick_workers();
    void check_contracts();
    ports::instance_list instances() const;

    planner_simulation_options options_;
    std::mt19937_64 random_;
    std::vector<process_pointer> slots_;
    std::uint64_t last_request_ = 0;
    std::uint64_t changes_ = 0;
    std::map<std::string, core::contracts::contract> contracts_;
    std::map<std::string, time_point> changed_at_;
};

/// Returns the JSON of a job, with defaults for the tests.
std::string job_json(std::string const& id,
                     std::string const& customer,
                     std::string const& kind = "batch",
                     std::int64_t millicores = 1000,
                     std::uint32_t tasks = 1,
                     std::uint64_t work_ms = 5000,
                     std::string const& extra = "");

} // namespace fuchsia::tests::unit::tasks
