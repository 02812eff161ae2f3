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

// Simulates instances of the scheduler, a store and workers in virtual time,
// with the faults that occur in a deployment. The simulation checks what the
// workers run and records the first violation of an invariant.
namespace fuchsia::tests::unit::pool
{

using core::common::duration;
using core::common::time_point;
using namespace std::chrono_literals;

/// Failed attempts of a task that end its job.
constexpr std::uint32_t attempts_of_queue = 3;
/// Time by which calls are executed or answered late by default.
constexpr duration default_late_delay = 2s;

/// Effect of a fault on one call.
enum class fault_effect : std::uint8_t
{
    carried_out,
    answer_lost,   ///< Executed; the caller gets no answer.
    refused,       ///< Not executed; the caller gets a refusal.
    request_lost,  ///< Not executed; the caller gets no answer.
    watch_stalled, ///< A watch is answered after its wait without changes.
    executed_late, ///< Executed after the late delay, without an answer.
    /// Executed and answered after the late delay, if the timeout of the call
    /// allows it.
    delayed,
};

/// A log line of an instance.
struct logged_line
{
    time_point when{};
    std::size_t instance = 0;
    ports::log_event what;
};

/// Returns the line as it is written, without time, level and program.
std::string text_of(logged_line const& line);

class pool_simulation
{
public:
    explicit pool_simulation(std::size_t instances = 3,
                             std::size_t workers = 4);

    void run(duration length);
    /// Runs until `condition` holds, at most for `timeout`. Returns whether the
    /// condition holds.
    bool run_until(std::function<bool()> const& condition,
                   duration timeout = 30s);

    /// Submits a job to an instance and returns the number of the request,
    /// whose answer `answer` returns.
    std::uint64_t submit(std::size_t instance,
                         std::string const& id,
                         core::pool::job submitted_job);
    std::uint64_t cancel(std::size_t instance, std::string const& id);
    std::uint64_t query(std::size_t instance, std::string const& id);
    /// Like `query`, with `path` instead of the path of the queue.
    std::uint64_t query_at(std::size_t instance,
                           std::string const& path,
                           std::string const& id);
    /// Returns the number of waiting jobs that the instance reports; empty if
    /// it refuses to answer.
    std::optional<std::uint64_t> reported_waiting_jobs(std::size_t instance);
    std::optional<ports::job_answer> answer(std::uint64_t request) const;
    /// Queries a job and waits for the answer. Returns the reported state;
    /// empty if the answer has none, as for an unknown job.
    std::optional<ports::job_state> state(std::size_t instance,
                                          std::string const& id);

    /// Sets how far the time of day of an instance is ahead of that of the
    /// others.
    void set_clock_ahead(std::size_t instance, duration ahead);
    /// Sets the relative processor and network speed of an instance, effective
    /// from its next start. The default is 1.
    void set_speed_factor(std::size_t instance, double factor);
    /// Sets how long owners keep final states, effective from the next start of
    /// an instance.
    void set_final_state_retention(duration length);
    /// Sets the additional latency of each commit of an instance.
    void set_commit_delay(std::size_t instance, duration delay);
    /// Sets the latency of the way to the store, and of the way back.
    void set_store_latency(duration one_way);
    /// Sets the time by which calls are executed or answered late.
    void set_late_delay(duration delay);
    void kill(std::size_t instance);
    void start(std::size_t instance);
    /// Pauses an instance. Messages that arrive during the pause are delivered
    /// at its end.
    void freeze(std::size_t instance, duration length);
    void stop(std::size_t instance);
    std::optional<std::size_t> owner() const;
    /// Returns the instance whose owner has loaded the state and completed its
    /// takeover, so that it starts tasks.
    std::optional<std::size_t> working_owner() const;
    /// Returns an instance that considers itself the holder of the claim,
    /// whether or not it has loaded the state.
    std::optional<std::size_t> claim_holder() const;
    /// Returns the owner component of an instance that is the owner.
    core::pool::owner& owner_at(std::size_t instance);

    standins::pool::kv_state& store() noexcept;
    standins::pool::kv_state const& store() const noexcept;
    standins::pool::worker_state& worker(std::size_t number);
    /// Whether two workers have restarted while they ran the same task of the
    /// job, which may then be given up and end as failed.
    bool may_be_given_up(std::string const& job_id) const;
    /// Restarts a worker with no state, under its present id.
    void restart_worker(std::size_t number);
    /// Restarts a worker, under its present id, with this capacity.
    void restart_worker_as(std::size_t number, ports::resources capacity);
    /// Sets what becomes of crashed workers: they return after `down_time`,
    /// under the same id or a new one.
    void set_crash_recovery(duration down_time, bool same_id);
    /// Crashes a worker: everything on it is lost, and it answers nothing until
    /// it returns. `culprit` is the task that crashes it, if one does.
    void crash_worker(std::size_t number,
                      std::optional<ports::task_name> const& culprit = {});
    /// Changes the capacity of a worker and what its entry says of it.
    void set_capacity(std::size_t number, ports::resources capacity);
    void set_draining(std::size_t number);
    /// Returns the number of workers that the task has crashed.
    std::size_t crashes_by(ports::task_name const& task) const;
    /// Returns the number of starts of the task on all workers.
    std::size_t starts_of(ports::task_name const& task) const;
    std::size_t worker_count() const noexcept;
    /// Whether a run of the task has ended as done on a worker that has not
    /// crashed since.
    bool ended_done(ports::task_name const& task) const;
    /// Returns the number of workers that currently run `task`.
    std::size_t running_count(ports::task_name const& task) const;

    /// Functions that choose the fault of a call to the store or to a worker.
    /// They may be empty.
    std::function<fault_effect(std::size_t instance,
                               ports::kv_operation const&)>
        store_fault;
    std::function<fault_effect(
        std::size_t instance, std::size_t worker, ports::pool_operation const&)>
        worker_fault;
    /// Function that returns the additional latency of an order on its way to a
    /// worker. It may be empty.
    std::function<duration(std::size_t worker, ports::pool_operation const&)>
        order_delay;

    /// Functions that may modify answers on their way back. They may be empty.
    /// If they return true, the answer is delivered twice, and once more with
    /// the id of a call that was never sent.
    std::function<bool(ports::kv_reply&)> store_answer;
    std::function<bool(ports::order_reply&)> worker_answer;
    /// Function that may modify an answer of the policy service. It may be
    /// empty.
    std::function<void(ports::policy_request const&, ports::policy_reply&)>
        policy_answer;

    /// Enables a policy that allows tasks, by tickets, only on workers with an
    /// odd number. A ticket is valid for the incarnation of its worker at the
    /// time of the call. The service accepts one call at a time.
    void require_tickets();
    std::size_t starts_without_ticket() const noexcept;

    /// Returns the first violation of an invariant; empty if there is none.
    std::string const& violation() const noexcept;
    time_point now() const noexcept;
    bool stopped(std::size_t instance) const;
    /// Whether the instance has given orders to workers and has not released
    /// its connections to them since.
    bool uses_workers(std::size_t instance) const;
    /// Returns the log lines of all instances in order of time.
    std::vector<logged_line> const& log() const noexcept;

private:
    struct instance
    {
        std::unique_ptr<core::pool::engine> engine;
        /// Answers to calls of an earlier incarnation are dropped.
        std::uint64_t incarnation = 0;
        std::uint64_t last_incarnation = 0;
        time_point frozen_until{};
        bool stopped = false;
        bool uses_workers = false;
        duration clock_ahead{};
        duration commit_delay{};
        double speed_factor = 1;
        time_point next_tick{};
    };

    void deliver(std::size_t number,
                 std::function<void(core::pool::engine&)> const& action);
    void perform(std::size_t number);
    void call_store(std::size_t number, ports::kv_call const& call);
    void apply_store(std::size_t number,
                     std::uint64_t incarnation,
                     ports::kv_call const& call,
                     bool answered);
    void call_worker(std::size_t number, ports::pool_order const& order);
    void apply_worker(std::size_t number,
                      std::uint64_t incarnation,
                      ports::pool_order const& order,
                      bool answered);
    /// Whether a worker is up at the address that the order is sent to.
    bool is_up(ports::pool_order const& order) const;
    /// Whether another worker than the one that the order names has its
    /// address.
    bool is_for_another(ports::pool_order const& order) const;
    /// Returns the ticket for starts on the present incarnation of a worker.
    std::string ticket_of(std::size_t worker_number) const;
    /// Whether the order is a start whose ticket is not valid at its worker.
    bool has_ticket_of_another(ports::pool_order const& order) const;
    void answer_later(std::size_t number,
                      std::uint64_t incarnation,
                      ports::pool_order const& order,
                      ports::order_status status,
                      duration delay);
    void call_policy(std::size_t number, ports::policy_request const& call);
    void answer_watches();
    /// Delivers a reply after `store_answer` or `worker_answer` was applied to
    /// it.
    void deliver_reply(std::size_t number, ports::kv_reply reply);
    void deliver_reply(std::size_t number, ports::order_reply reply);
    void tick_all();
    void check_start(std::size_t worker_number,
                     ports::pool_attempt const& attempt);
    bool is_known_as_done(ports::task_name const& task) const;
    void check_crash_budget(ports::task_name const& task,
                            std::string const& description);
    void check_capacity(std::size_t worker_number,
                        std::string const& description);
    void publish_worker(std::size_t number);
    void crash_by_tasks();
    /// Records the ends that the worker is told are durable.
    void observe_worker(std::size_t number);
    void note_acknowledged_done(std::size_t worker_number,
                                standins::pool::worker_event const& event);
    std::uint64_t send_request(std::size_t instance,
                               core::pool::pool_request request);

    duration store_latency_ = 2ms;
    duration late_delay_ = default_late_delay;
    walks::virtual_clock clock_;
    standins::pool::kv_state store_;
    std::vector<std::unique_ptr<standins::pool::worker_state>> workers_;
    /// Capacity of a worker before a change, and the time until which it may
    /// still be relied on.
    struct earlier_capacity
    {
        std::size_t worker = 0;
        ports::resources capacity;
        time_point until{};
    };
    std::vector<earlier_capacity> earlier_capacities_;
    std::set<std::size_t> crashed_workers_; ///< Those that are down.
    duration crash_down_time_ = 3s;
    bool returns_under_same_id_ = false;
    std::map<ports::task_name, std::size_t> crashes_;
    /// Number of workers that were restarted while they ran the task.
    std::map<ports::task_name, std::size_t> restarts_;
    std::map<ports::task_name, std::size_t> starts_;
    /// Number of starts since the third crash, by task.
    std::map<ports::task_name, std::size_t> starts_after_crashes_;
    std::map<std::string, core::pool::job> submitted_jobs_;
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
    /// Tasks that have ended as done, with the worker.
    std::map<ports::task_name, std::size_t> ended_done_;
    /// Tasks acknowledged as done, unless the lease had expired in between.
    std::set<ports::task_name> done_;
    /// Tasks acknowledged as done after the lease had expired, with the time of
    /// the first acknowledgement.
    std::map<ports::task_name, time_point> done_after_expiry_;
    /// Number of starts of a task at each end as done, by worker and run.
    std::map<std::pair<std::size_t, ports::pool_attempt>, std::size_t>
        starts_before_end_;
    std::map<ports::task_name, std::size_t>
        failed_; ///< Number of acknowledged failures by task.
    std::string violation_;
    std::vector<logged_line> log_;
    bool tickets_required_ = false;
    bool policy_busy_ = false;
    std::size_t starts_without_ticket_ = 0;
};

/// Returns the entry of a worker with its full capacity.
ports::pool_worker make_worker_info(std::size_t number,
                                    std::uint64_t incarnation);
/// Runs until an instance is the owner. Returns false if none is in time.
bool run_until_owned(pool_simulation& simulation);
/// Returns the number of an instance other than `number`.
std::size_t other_than(std::size_t number);
/// Returns the number of tasks that run on all workers.
std::size_t running_tasks(pool_simulation& simulation);
/// Returns the number of starts on the present incarnations of all workers.
std::size_t total_starts(pool_simulation& simulation);
/// Submits `count` equal jobs with the ids `name`0 to `name`(`count` - 1).
void submit_many(pool_simulation& simulation,
                 std::size_t instance,
                 std::string const& name,
                 std::size_t count,
                 core::pool::job const& submitted_job);
/// Whether `call` is a watch of the keys of jobs.
bool watches_jobs(ports::kv_operation const& call);

/// Returns a job with one step of `count` tasks, each of which takes `work`.
core::pool::job simple_job(std::uint32_t count, duration work);
/// Returns a job with two steps, the second of which depends on the first.
core::pool::job chained_job(duration work);

} // namespace fuchsia::tests::unit::pool
