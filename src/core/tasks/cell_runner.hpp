#pragma once

#include "core/tasks/attempt_lifecycle.hpp"
#include "core/tasks/cell_context.hpp"
#include "core/tasks/cell_log.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsia::core::tasks
{

/// An attempt, from the decision to start it to the commit of its end.
struct active_attempt
{
    std::uint32_t attempt = 0;
    std::string worker;
    /// Job of the attempt in the cell state, which keeps a job while it has
    /// attempts.
    job_part const* part = nullptr;
    attempt_phase phase = attempt_phase::committing_start;
    std::uint64_t start_before_ms = 0;
    /// Latest end of a lease sent to the worker, on the worker's clock.
    std::uint64_t lease_until_ms = 0;
    /// Time on this planner's clock after which no lease that was sent can
    /// still be valid.
    common::time_point lease_expired_at{};
    /// Whether a start may have reached the worker.
    bool start_possibly_sent = false;
    /// Whether the worker answered a renewal that it does not have the attempt.
    bool unknown_to_worker = false;
    /// Number of the worker call in flight; 0 if there is none.
    std::uint64_t call_in_flight = 0;
    common::time_point next_retry_at{};
    /// Number of calls in the current phase. Starts before the first one that
    /// may have reached the worker do not count.
    std::uint32_t tries = 0;
    /// Time after which the attempt is ended without a final report.
    std::optional<common::time_point> final_report_deadline;
    std::uint32_t speed_limit_permille = 1000;
    std::uint32_t requested_speed_limit_permille = 1000;
    std::string eviction_reason; ///< Empty unless the attempt is being ended.

    // Data from the latest report.
    std::uint32_t report_count = 0;
    ports::resources used;
    std::uint64_t latency_p99_us = 0;
    std::uint64_t work_done_ms = 0;
    std::uint64_t work_reported_at_ms = 0;
};

/// A message in this cell's inbox, with its key and version in the store.
struct stored_inbox_message
{
    std::string key;
    std::uint64_t version = 0;
    inbox_message message;
};

/// Numbers of tasks and jobs of a cell, for the metrics and the status page.
struct cell_counts
{
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t ended = 0;
    std::size_t jobs = 0;
};

/// A cell that this planner owns. Accepts inbox messages, places and starts
/// tasks, renews their leases, and evicts, moves and ends them. Every decision
/// is committed to the log before it takes effect outside the planner.
class cell_runner
{
public:
    cell_runner(std::string cell,
                std::uint64_t incarnation,
                std::uint64_t epoch,
                cell_log_settings settings);

    void start(cell_context& context);
    void tick(cell_context& context);
    void on_store_reply(cell_context& context,
                        call_tag const& tag,
                        ports::store_reply const& reply);
    void on_worker_reply(cell_context& context,
                         worker_call_tag const& tag,
                         ports::worker_reply const& reply);
    /// Processes a report, which the worker registry must have accepted as new.
    void on_report(cell_context& context, ports::worker_report const& report);
    /// Replaces the known contents of this cell's inbox by `items`, which must
    /// be complete.
    void on_inbox(cell_context& context,
                  std::vector<stored_inbox_message> items);
    void stop_job(cell_context& context,
                  std::string const& job,
                  common::result_code code,
                  std::string const& why);

    /// Begins the handover of the cell: no attempt is started and no task is
    /// newly moved. Messages of transfers whose start is committed are still
    /// sent.
    void begin_handover() noexcept;
    bool handing_over() const noexcept;
    /// Whether no change is being committed and no start, inbox write or inbox
    /// erase call is in flight.
    bool idle() const noexcept;

    /// Whether the attempts have been restored from the log and the cell is
    /// still owned.
    bool active() const noexcept;
    bool ownership_lost() const noexcept;
    std::uint64_t epoch() const noexcept;
    std::string const& name() const noexcept;
    cell_state const& state() const noexcept;
    std::map<task_key, active_attempt> const& active_attempts() const noexcept;
    cell_counts counts() const;

    /// Returns the jobs that this cell stopped because they fail on several
    /// workers; other cells must stop them too.
    std::vector<job_stopped> take_faulty_jobs();

private:
    struct renewal
    {
        std::uint64_t call = 0;     ///< Call in flight; 0 if there is none.
        std::uint64_t until_ms = 0; ///< End of the lease last sent.
        bool acknowledged = true;
        common::time_point next{}; ///< Earliest time of the next renewal.
    };
    struct queued_task
    {
        task_key key;
        std::uint32_t rank = 0;     ///< Lower ranks are placed first.
        common::time_point since{}; ///< Time at which the task was queued.
    };
    struct customer_usage
    {
        allowance in_use;
        allowance retained;  ///< Use without attempts that are being ended.
        allowance queued;    ///< Need of the customer's queued tasks.
        allowance next_task; ///< Need of the customer's first queued task.
        bool has_queued = false;
    };

    /// Number of pending log changes from which on no attempt is started and no
    /// task is moved.
    static constexpr std::size_t max_pending_changes = 2000;

    /// An attempt that at least one report of its worker has listed.
    struct reported_attempt
    {
        task_key const* key = nullptr;
        active_attempt* run = nullptr;
    };

    // cell_runner.cpp: takeover, commits, removal of ended jobs and load.
    void restore_attempts(cell_context& context);
    void process_commits(cell_context& context);
    void remove_expired_jobs(cell_context& context);
    void publish_load(cell_context& context);
    bool data_centre_out_of_service(cell_context const& context) const;
    bool commit(cell_context& context, change new_change, bool urgent);

    // cell_inbox.cpp: incoming and outgoing messages.
    void erase_inbox(cell_context& context);
    void send_messages(cell_context& context);

    // cell_placement.cpp: placement, quotas and contracts.
    void rebuild_queue(cell_context& context);
    void compute_usage(cell_context& context);
    void place(cell_context& context);
    bool place_one(cell_context& context,
                   task_key const& key,
                   std::vector<placement::candidate>& workers);
    bool quota_allows(cell_context& context, job const& definition);
    /// All workers of the cell with what their attempts declared, without the
    /// residents.
    std::vector<placement::candidate>
    committed_workers(cell_context& context) const;
    /// The workers on which a task may be started now.
    std::vector<placement::candidate> candidates(cell_context& context) const;
    bool ramp_up_allows_start(cell_context& context) const;
    void evict_excess_attempts(cell_context& context,
                               std::string const& customer,
                               allowance const& allowed);
    void enforce_contracts(cell_context& context);

    // cell_moves.cpp: moves to other cells and draining.
    void move_tasks(cell_context& context);
    bool should_move(cell_context& context,
                     job_part const& part,
                     queued_task const& task) const;
    void drain_data_centre(cell_context& context);

    // cell_attempts.cpp: start, renewal, checkpoint, stop and end of attempts.
    void advance_attempts(cell_context& context);
    void advance_attempt(cell_context& context,
                         task_key const& key,
                         active_attempt& run);
    void end_attempt_after_lease_expiry(cell_context& context,
                                        task_key const& key,
                                        active_attempt& run);
    void advance_running_attempt(cell_context& context,
                                 task_key const& key,
                                 active_attempt& run,
                                 bool can_checkpoint);
    void
    send_start(cell_context& context, task_key const& key, active_attempt& run);
    bool start_allowed(cell_context& context, active_attempt const& run);
    void
    send_stop(cell_context& context, task_key const& key, active_attempt& run);
    void send_checkpoint(cell_context& context,
                         task_key const& key,
                         active_attempt& run);
    void renew_leases(cell_context& context);
    void evict(cell_context& context, task_key const& key, std::string why);
    void end_attempt(cell_context& context,
                     task_key const& key,
                     attempt_outcome outcome,
                     std::string why);
    void handle_failure(cell_context& context, task_key const& key);
    static bool apply_event(active_attempt& run, attempt_event event);

    // cell_replies.cpp: replies of workers.
    void on_start_reply(cell_context& context,
                        task_key const& key,
                        active_attempt& run,
                        ports::worker_reply const& reply);
    void on_stop_reply(cell_context& context,
                       task_key const& key,
                       active_attempt& run,
                       ports::worker_reply const& reply);
    void on_checkpoint_reply(cell_context& context,
                             task_key const& key,
                             active_attempt& run,
                             ports::worker_reply const& reply);
    void on_renew_reply(cell_context& context,
                        worker_call_tag const& tag,
                        ports::worker_reply const& reply);

    // cell_reports.cpp: reports of workers.
    void on_attempt_report(cell_context& context,
                           ports::worker_report const& report,
                           ports::attempt_report const& reported);
    void end_unreported_attempts(cell_context& context,
                                 ports::worker_report const& report);
    /// Returns the attempts on the worker that at least one report has listed.
    std::vector<reported_attempt> reported_attempts(std::string const& worker);
    void update_interference_estimates(
        cell_context& context,
        worker_view const& worker,
        std::vector<reported_attempt> const& listed_attempts);
    void protect_service_latency(
        cell_context& context,
        worker_view const& worker,
        std::vector<reported_attempt> const& listed_attempts);
    void check_memory_use(cell_context& context,
                          worker_view const& worker,
                          std::vector<reported_attempt> const& listed_attempts);

    std::string cell_;
    std::uint64_t epoch_;
    cell_log log_;
    bool attempts_restored_ = false;
    bool handing_over_ = false;
    std::map<task_key, active_attempt> active_attempts_;
    std::map<std::string, renewal> renewals_;
    std::map<std::string, placement::latency_guard> latency_guards_;

    std::vector<queued_task> queue_;
    /// Whether the queue or the use of resources may have changed.
    bool queue_dirty_ = true;
    common::time_point next_usage_computation_{};
    std::map<task_key, common::time_point> queued_since_;
    std::map<std::string, customer_usage> customer_usage_;
    /// Queued tasks that wait for free capacity rather than for quota.
    std::set<task_key> waiting_for_capacity_;

    /// Contents of the inbox by message name.
    std::map<std::string, stored_inbox_message> inbox_messages_;
    /// Names of messages whose acceptance is being committed.
    std::set<std::string> messages_being_accepted_;
    /// Numbers of the erase calls in flight by message name.
    std::map<std::string, std::uint64_t> inbox_erase_calls_;
    /// Names of messages whose transfer start is committed.
    std::set<std::string> ready_to_send_;
    /// Numbers of the write calls in flight by message name.
    std::map<std::string, std::uint64_t> inbox_write_calls_;
    /// Times at which jobs were first found ended.
    std::map<std::string, common::time_point> job_end_seen_at_;
    common::time_point next_job_removal_{};
    common::time_point next_move_{};
    std::vector<job_stopped> faulty_jobs_;

    bool data_centre_was_out_of_service_ = false;
    std::optional<common::time_point> data_centre_in_service_since_;
    std::uint64_t starts_since_data_centre_in_service_ = 0;
};

/// Returns a log event with the given fields.
ports::log_event make_log_event(ports::severity level,
                                std::string name,
                                std::vector<ports::header> fields);

} // namespace fuchsia::core::tasks
