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

/// One attempt from its decision to the commit of its end.
struct active_attempt
{
    std::uint32_t attempt = 0;
    std::string worker;
    /// Its job in the cell's state, which keeps a job while it has attempts.
    job_part const* part = nullptr;
    attempt_phase phase = attempt_phase::committing_start;
    std::uint64_t start_before_ms = 0;
    std::uint64_t lease_until_ms = 0; ///< The longest that was sent.
    /// On our clock: no lease that was sent can stand any longer.
    common::time_point lease_expired_at{};
    bool start_possibly_sent =
        false; ///< A start of it may have reached the worker.
    bool unknown_to_worker = false;   ///< The worker does not know it any more.
    std::uint64_t call_in_flight = 0; ///< In flight; 0: none.
    common::time_point next_retry_at{};
    std::uint32_t tries = 0;
    std::optional<common::time_point> final_report_deadline;
    std::uint32_t speed_limit_permille = 1000;
    std::uint32_t requested_speed_limit_permille = 1000;
    std::string eviction_reason; ///< Why it is being ended; empty: it is not.

    // From the newest report.
    std::uint32_t report_count = 0;
    ports::resources used;
    std::uint64_t latency_p99_us = 0;
    std::uint64_t work_done_ms = 0;
    std::uint64_t work_reported_at_ms = 0;
};

/// A parcel as it lies in this cell's inbox.
struct stored_inbox_message
{
    std::string key;
    std::uint64_t version = 0;
    inbox_message message;
};

/// Attempts and queued tasks, for the metrics and the status page.
struct cell_counts
{
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t ended = 0;
    std::size_t jobs = 0;
};

/// One cell that this planner owns: takes parcels in, places and starts
/// tasks, keeps their leases, evicts, moves and ends them. Every decision is
/// a change in the log before the world hears of it.
class cell_runner
{
public:
    cell_runner(std::string cell,
                std::uint64_t incarnation,
                std::uint64_t epoch,
                cell_log_settings settings);

    void start(cell_context& with);
    void tick(cell_context& with);
    void on_store_reply(cell_context& with,
                        call_tag const& tag,
                        ports::store_reply const& reply);
    void on_worker_reply(cell_context& with,
                         worker_call_tag const& tag,
                         ports::worker_reply const& reply);
    /// Only reports that the worker book took for new.
    void on_report(cell_context& with, ports::worker_report const& report);
    /// What now lies in this cell's inbox.
    void on_inbox(cell_context& with, std::vector<stored_inbox_message> items);
    void stop_job(cell_context& with,
                  std::string const& job,
                  common::result_code code,
                  std::string const& why);

    /// From now on starts and moves nothing: the cell is to be handed over.
    void begin_handover() noexcept;
    bool handing_over() const noexcept;
    /// Nothing is in commit and no call of a start is under way.
    bool idle() const noexcept;

    bool active() const noexcept;
    bool ownership_lost() const noexcept;
    std::uint64_t epoch() const noexcept;
    std::string const& name() const noexcept;
    cell_state const& state() const noexcept;
    std::map<task_key, active_attempt> const& active_attempts() const noexcept;
    cell_counts counts() const;

    /// Jobs that this cell found to be at fault; other cells must stop them.
    std::vector<job_stopped> take_faulty_jobs();

private:
    struct renewal
    {
        std::uint64_t call = 0;
        std::uint64_t until_ms = 0;
        bool acknowledged = true;
        common::time_point next{};
    };
    struct queued_task
    {
        task_key key;
        std::uint32_t rank = 0;
        common::time_point since{};
    };
    struct customer_usage
    {
        allowance in_use;
        allowance retained; ///< Without those that are being ended.
        allowance queued;
        allowance next_task;
        bool has_queued = false;
    };

    /// Changes on their way into the log; with more, none is added.
    static constexpr std::size_t max_waiting_changes = 2000;

    /// An attempt on the worker whose report is looked at.
    struct reported_attempt
    {
        task_key const* key = nullptr;
        active_attempt* run = nullptr;
    };

    // cell_runner.cpp: the cell as a whole.
    void restore_attempts(cell_context& with);
    void process_commits(cell_context& with);
    void remove_expired_jobs(cell_context& with);
    void publish_load(cell_context& with);
    bool data_centre_out(cell_context const& with) const;
    bool commit(cell_context& with, change what, bool urgent);

    // cell_inbox.cpp: parcels that come and leave.
    void erase_inbox(cell_context& with);
    void send_messages(cell_context& with);

    // cell_placement.cpp: from the queue to a worker, and back.
    void rebuild_queue(cell_context& with);
    void compute_usage(cell_context& with);
    void place(cell_context& with);
    bool place_one(cell_context& with,
                   task_key const& key,
                   std::vector<placement::candidate>& workers);
    bool quota_allows(cell_context& with, job const& what);
    std::vector<placement::candidate> candidates(cell_context& with) const;
    bool ramp_allows(cell_context& with) const;
    void evict_overage(cell_context& with,
                       std::string const& customer,
                       allowance const& allowed);
    void enforce_contracts(cell_context& with);

    // cell_moves.cpp: on to another cell.
    void move_tasks(cell_context& with);
    bool should_move(cell_context& with,
                     job_part const& part,
                     queued_task const& task) const;
    void drain_data_centre(cell_context& with);

    // cell_attempts.cpp: one attempt's life.
    void advance_attempts(cell_context& with);
    void advance_attempt(cell_context& with,
                         task_key const& key,
                         active_attempt& run);
    void
    end_expired(cell_context& with, task_key const& key, active_attempt& run);
    void advance_running_attempt(cell_context& with,
                                 task_key const& key,
                                 active_attempt& run,
                                 bool saves);
    void
    send_start(cell_context& with, task_key const& key, active_attempt& run);
    bool start_allowed(cell_context& with, active_attempt const& run);
    void
    send_stop(cell_context& with, task_key const& key, active_attempt& run);
    void send_checkpoint(cell_context& with,
                         task_key const& key,
                         active_attempt& run);
    void renew_leases(cell_context& with);
    void evict(cell_context& with, task_key const& key, std::string why);
    void end_attempt(cell_context& with,
                     task_key const& key,
                     attempt_outcome how,
                     std::string why);
    void handle_failure(cell_context& with, task_key const& key);
    static bool apply_event(active_attempt& run, attempt_event event);

    // cell_replies.cpp: what workers answer.
    void on_start_reply(cell_context& with,
                        task_key const& key,
                        active_attempt& run,
                        ports::worker_reply const& reply);
    void on_stop_reply(cell_context& with,
                       task_key const& key,
                       active_attempt& run,
                       ports::worker_reply const& reply);
    void on_checkpoint_reply(cell_context& with,
                             task_key const& key,
                             active_attempt& run,
                             ports::worker_reply const& reply);
    void on_renewed(cell_context& with,
                    worker_call_tag const& tag,
                    ports::worker_reply const& reply);

    // cell_reports.cpp: what reports tell.
    void on_attempt_report(cell_context& with,
                           ports::worker_report const& report,
                           ports::attempt_report const& said);
    void end_absent(cell_context& with, ports::worker_report const& report);
    /// Attempts on the worker that a report has told of.
    std::vector<reported_attempt> reported_attempts(std::string const& worker);
    void learn_interference(cell_context& with,
                            worker_view const& on,
                            std::vector<reported_attempt> const& present);
    void guard_services(cell_context& with,
                        worker_view const& on,
                        std::vector<reported_attempt> const& present);
    void check_memory_use(cell_context& with,
                          worker_view const& on,
                          std::vector<reported_attempt> const& present);

    std::string cell_;
    std::uint64_t epoch_;
    cell_log log_;
    bool attempts_restored_ = false;
    bool handing_over_ = false;
    std::map<task_key, active_attempt> active_attempts_;
    std::map<std::string, renewal> renewals_;
    std::map<std::string, placement::latency_guard> guards_;

    std::vector<queued_task> queue_;
    /// The queue, or who uses what, may have changed.
    bool queue_dirty_ = true;
    common::time_point next_usage_computation_{};
    std::map<task_key, common::time_point> queued_since_;
    std::map<std::string, customer_usage> customer_usage_;
    std::set<task_key>
        waiting_for_capacity_; ///< Waits for room, not for quota.

    std::map<std::string, stored_inbox_message>
        inbox_messages_;                           ///< By parcel name.
    std::set<std::string> accepting_;              ///< In commit.
    std::map<std::string, std::uint64_t> erasing_; ///< Parcel to call.
    std::set<std::string>
        ready_to_send_; ///< Parcels whose leaving is committed.
    std::map<std::string, std::uint64_t> sending_;
    std::map<std::string, common::time_point> ended_at_;
    common::time_point next_job_removal_{};
    common::time_point next_move_{};
    std::vector<job_stopped> faulty_jobs_;

    bool data_centre_was_out_ = false;
    std::optional<common::time_point> data_centre_back_since_;
    std::uint64_t starts_since_data_centre_back_ = 0;
};

ports::log_event make_log_event(ports::severity level,
                                std::string name,
                                std::vector<ports::header> fields);

} // namespace fuchsia::core::tasks
