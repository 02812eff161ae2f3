#pragma once

#include "core/pool/engine.hpp"
#include "standins/pool/kv_state.hpp"
#include "standins/pool/worker_state.hpp"
#include "unit/walks/virtual_clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Instances of the scheduler, a store and workers in virtual time, with the
// faults that a deployment sees. The world watches what the workers do and
// remembers the first broken promise.
namespace fuchsia::tests::unit::pool
{

using core::common::duration;
using core::common::time_point;
using namespace std::chrono_literals;

/// What a fault does to one call on its way.
enum class fault_effect : std::uint8_t
{
    carried_out,
    answer_lost,   ///< Carried out; the caller hears nothing.
    refused,       ///< Nothing was done, and the caller is told.
    request_lost,  ///< Nothing was done; the caller hears nothing.
    watch_stalled, ///< A watch: answered at the end of its wait, with nothing.
    executed_late, ///< Carried out 2 s later; the caller hears nothing.
    delayed, ///< Carried out and answered 2 s later, if the caller waits so
             ///< long.
};

/// A line that an instance logged.
struct logged_line
{
    time_point when{};
    std::size_t instance = 0;
    ports::log_event what;
};

/// As it is written, behind time, level and program.
std::string text_of(logged_line const& line);

class pool_simulation
{
public:
    explicit pool_simulation(std::size_t instances = 3,
                             std::size_t workers = 4);

    void run(duration how_long);
    /// Until `holds`, at most `patience`; whether it came to hold.
    bool run_until(std::function<bool()> const& holds, duration patience = 30s);

    /// Hands a job in at an instance; the answer goes to `answers`.
    std::uint64_t
    submit(std::size_t instance, std::string const& id, core::pool::job what);
    std::uint64_t cancel(std::size_t instance, std::string const& id);
    std::uint64_t query(std::size_t instance, std::string const& id);
    /// The same below another path than the queue's.
    std::uint64_t query_at(std::size_t instance,
                           std::string const& path,
                           std::string const& id);
    /// Jobs that wait as the instance tells it; empty where it refuses.
    std::optional<std::uint64_t> reported_waiting_jobs(std::size_t instance);
    std::optional<ports::job_answer> answer(std::uint64_t request) const;
    /// Asks until there is a state; empty where the job is not known.
    std::optional<ports::job_state> state(std::size_t instance,
                                          std::string const& id);

    /// From now on its time of day runs that much ahead of the others'.
    void set_clock_ahead(std::size_t instance, duration ahead);
    /// What it has of processor and link, from its next start on; 1 at first.
    void set_speed_factor(std::size_t instance, double size);
    /// How long owners keep final states, from their next start on.
    void set_final_state_retention(duration how_long);
    /// From now on each of its commits takes that much longer.
    void set_commit_delay(std::size_t instance, duration delay);
    /// From now on each way to the store and back takes that long.
    void set_store_latency(duration way);
    void kill(std::size_t instance);
    void start(std::size_t instance);
    /// Stands still, and gets what came meanwhile when it wakes.
    void freeze(std::size_t instance, duration how_long);
    void stop(std::size_t instance);
    std::optional<std::size_t> owner() const;
    /// The owner's part of an instance that is one.
    core::pool::owner& owner_at(std::size_t instance);

    standins::pool::kv_state& store() noexcept;
    standins::pool::worker_state& worker(std::size_t number);
    /// The worker dies and comes back with nothing, under the same id.
    void restart_worker(std::size_t number);
    std::size_t worker_count() const noexcept;
    /// Workers that run `task` now.
    std::size_t running_count(ports::task_name const& task) const;

    /// Decide what happens to calls; may be empty.
    std::function<fault_effect(std::size_t instance,
                               ports::kv_operation const&)>
        store_fault;
    std::function<fault_effect(
        std::size_t instance, std::size_t worker, ports::pool_operation const&)>
        worker_fault;

    /// Change answers on their way back; may be empty. True: it comes twice,
    /// and once as if to another call.
    std::function<bool(ports::kv_reply&)> store_answer;
    std::function<bool(ports::order_reply&)> worker_answer;

    /// From now on a policy allows tasks on workers of odd number only, by
    /// tickets; it takes one call at a time.
    void require_tickets();
    std::size_t starts_without_ticket() const noexcept;

    /// The first promise that was broken; empty: none.
    std::string const& violation() const noexcept;
    time_point now() const noexcept;
    bool stopped(std::size_t instance) const;
    /// All that instances logged, in order.
    std::vector<logged_line> const& log() const noexcept;

private:
    struct instance
    {
        std::unique_ptr<core::pool::engine> engine;
        std::uint64_t incarnation =
            0; ///< Answers of an earlier life are dropped.
        std::uint64_t last_incarnation = 0;
        time_point frozen_until{};
        bool stopped = false;
        duration clock_ahead{};
        duration commit_delay{};
        double size = 1;
        time_point next_tick{};
    };

    void deliver(std::size_t number,
                 std::function<void(core::pool::engine&)> const& what);
    void perform(std::size_t number);
    void call_store(std::size_t number, ports::kv_call const& call);
    void apply_store(std::size_t number,
                     std::uint64_t life,
                     ports::kv_call const& call,
                     bool answered);
    void call_worker(std::size_t number, ports::pool_order const& order);
    void apply_worker(std::size_t number,
                      std::uint64_t life,
                      ports::pool_order const& order,
                      bool answered);
    void call_policy(std::size_t number, ports::policy_request const& call);
    void wake_watches();
    /// By way of `store_answer` and `worker_answer`.
    void hand_back(std::size_t number, ports::kv_reply reply);
    void hand_back(std::size_t number, ports::order_reply reply);
    void tick_all();
    void check_start(std::size_t where, ports::pool_attempt const& what);
    void check_ends();
    std::uint64_t ask(std::size_t instance, core::pool::pool_request request);

    duration store_latency_ = 2ms;
    walks::virtual_clock timeline_;
    standins::pool::kv_state store_;
    std::vector<std::unique_ptr<standins::pool::worker_state>> workers_;
    std::vector<instance> instances_;
    std::optional<duration> final_state_retention_;
    std::map<std::uint64_t, ports::job_answer> answers_;
    std::uint64_t next_request_ = 0;
    std::uint64_t next_incarnation_ = 1'000'000;
    struct waiting_watch
    {
        std::size_t instance = 0;
        std::uint64_t incarnation = 0;
        ports::kv_call call;
        time_point until{};
    };
    std::vector<waiting_watch> watches_;
    std::set<ports::task_name> done_;                ///< Acknowledged as done.
    std::map<ports::task_name, std::size_t> failed_; ///< Acknowledged failures.
    std::map<std::string, std::size_t> attempts_of_queue_;
    std::string violation_;
    std::vector<logged_line> log_;
    bool tickets_required_ = false;
    bool policy_busy_ = false;
    std::size_t without_ticket_ = 0;
};

/// Runs until an instance owns; false where none does in time.
bool run_until_owned(pool_simulation& world);
/// An instance that is not this one.
std::size_t other_than(std::size_t number);
/// Hands in `name`0 to `name`(`count` - 1), all alike.
void submit_many(pool_simulation& world,
                 std::size_t at,
                 std::string const& name,
                 std::size_t count,
                 core::pool::job const& what);
bool watches_jobs(ports::kv_operation const& call);

/// A job of one step of `count` tasks that take `work`.
core::pool::job simple_job(std::uint32_t count, duration work);
/// A job whose second step waits for its first.
core::pool::job chained_job(duration work);

} // namespace fuchsia::tests::unit::pool
