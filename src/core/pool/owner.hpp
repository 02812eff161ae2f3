#pragma once

#include "core/pool/backlog.hpp"
#include "core/pool/capacity_index.hpp"
#include "core/pool/claim.hpp"
#include "core/pool/colocation.hpp"
#include "core/pool/failed_placements.hpp"
#include "core/pool/fleet.hpp"
#include "core/pool/job_run.hpp"
#include "core/pool/ledger.hpp"
#include "core/pool/log_digest.hpp"
#include "core/pool/lost_workers.hpp"
#include "core/pool/outbox.hpp"
#include "core/pool/owner_settings.hpp"
#include "core/pool/platform_records.hpp"
#include "core/pool/pool_view.hpp"
#include "core/pool/rebalance.hpp"
#include "core/pool/roster.hpp"
#include "core/pool/short_job_reserve.hpp"
#include "core/pool/worker_list.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fuchsia::core::pool
{

/// Schedules all jobs while this instance holds the claim. An owner is created
/// when the claim is acquired and destroyed when it is lost: durable state is
/// in the store, and the running tasks are read from the workers.
class owner
{
public:
    owner(owner_settings const& settings,
          platform_records const& records,
          operator_state const& operators,
          claim& own_claim,
          outbox& out,
          common::time_point now);

    void tick(common::time_point now);
    /// Handles a change of the operators' configuration.
    void on_operators(common::time_point now);
    /// Stops scheduling: after this call the owner starts no task and renews
    /// no lease.
    void stop() noexcept;

    /// Whether the state is loaded, so that this owner can answer requests
    /// about jobs.
    bool loaded() const noexcept;
    /// Whether the takeover is complete, so that every task that could run may
    /// start.
    bool working() const noexcept;
    /// Returns nothing if this owner does not know the job.
    std::optional<ports::job_state> state_of(std::string const& id) const;
    /// Number of jobs without a started task, by queue.
    std::map<std::string, std::uint64_t> pending() const;
    /// `pending()` with the store revision up to which this owner knows all
    /// jobs.
    backlog waiting_jobs() const;
    /// Time up to which this owner knows every accepted job.
    common::time_point synced_until() const noexcept;
    owner_counters const& counters() const noexcept;
    /// Returns the ledger that writes this owner's progress to the store.
    ledger const& commits() const noexcept;

    // owner_view.cpp: status of workers and jobs for status requests.
    std::vector<worker_status> workers(common::time_point now) const;
    /// Returns the jobs in scheduling order.
    std::vector<job_status_row> jobs(common::time_point now) const;
    /// Returns nothing if the job has ended or was never known.
    std::optional<job_status_detail> describe(common::time_point now,
                                              std::string const& id);

private:
    job_status_row row_of(common::time_point now, job_run const& run) const;
    step_status waiting_status(common::time_point now,
                               job_run& run,
                               ports::task_name const& first_task);

    // owner.cpp: periodic work, and the watch for new jobs.
    void check_load_timeout(common::time_point now);
    void hand_over_if_watch_stalled(common::time_point now);
    void hand_over_if_workers_silent(common::time_point now);
    /// Runs `action` at the first tick after `owner_settings::retry_pause`.
    void retry_later(common::time_point now,
                     std::function<void(common::time_point)> action);
    void run_retries(common::time_point now);
    void watch(common::time_point now);
    void on_watch(common::time_point now,
                  common::time_point requested_at,
                  ports::kv_reply const& reply);
    bool is_stalled(common::time_point requested_at,
                    ports::kv_reply const& reply) const;
    void apply_item(common::time_point now, ports::kv_item const& item);
    void add_job(common::time_point now, ports::kv_item const& item);
    /// Returns the time of acceptance on this instance's clock, in Unix
    /// milliseconds.
    std::int64_t accepted_by_own_clock(common::time_point now,
                                       job const& spec,
                                       bool just_accepted) const;
    /// Whether this owner may still send orders to workers.
    bool may_act(common::time_point now) const;

    // owner_load.cpp: loads the state that the previous owner left in the
    // store.
    using reply_handler =
        std::function<void(common::time_point, ports::kv_reply const&)>;
    /// A read of the store that is repeated until it is answered.
    struct state_read
    {
        ports::kv_operation operation;
        reply_handler on_reply;
        std::uint32_t pending_calls =
            0; ///< Number of calls without an answer yet.
        bool answered = false;
        common::time_point resend_at{};
        common::duration resend_after{}; ///< Time to the next resend.
    };
    void read_state(common::time_point now,
                    ports::kv_operation operation,
                    reply_handler on_reply);
    void send_read(std::shared_ptr<state_read> const& read);
    void on_read(common::time_point now,
                 std::shared_ptr<state_read> const& read,
                 ports::kv_reply const& reply);
    void resend_reads(common::time_point now);
    using page_handler =
        std::function<void(common::time_point, ports::kv_reply const&)>;
    using load_completion = std::function<void(common::time_point)>;
    void load_pages(common::time_point now,
                    std::string_view prefix,
                    std::string const& after,
                    page_handler const& on_page,
                    load_completion const& on_loaded);
    using value_handler = std::function<void(std::string const&)>;
    void load_key(common::time_point now,
                  std::string_view key,
                  value_handler const& on_value);
    void load_jobs(common::time_point now);
    void on_jobs_loaded(common::time_point now);
    bool apply_job_pages(common::time_point now);
    void load_progress(common::time_point now);
    void load_roster(common::time_point now);
    void load_final_states(common::time_point now);
    void load_estimates(common::time_point now);
    void on_part_loaded(common::time_point now);

    // owner_list.cpp: the list of workers and the roster.
    void apply_worker_list(common::time_point now,
                           worker_changes const& changes);
    bool state_is_current(common::time_point now) const;
    roster_ids roster_to_store(common::time_point now) const;
    std::uint64_t incarnation_to_store(worker const& target,
                                       common::time_point now) const;
    bool rostered_as_it_is(worker const& target, common::time_point now) const;
    void update_roster(common::time_point now);
    void update_roster_if_due(common::time_point now);
    void write_roster(roster_ids const& ids);
    void on_roster_written(common::time_point now);
    bool has_quorum(common::time_point oldest) const;

    // owner_reports.cpp: periodic reports to the store and the log.
    void write_backlog(common::time_point now);
    void write_estimates(common::time_point now);
    void log_backlog(common::duration elapsed);
    void log_load(common::time_point now);
    void drop_old_final_states(common::time_point now);
    void drop_unmatched_cancels(common::time_point now);

    // owner_jobs.cpp: state changes of jobs and tasks. The functions for gangs
    // are in owner_gangs.cpp, `find_job` and `find_task` are in owner.cpp, and
    // `log_task` is in owner_workers.cpp.
    void open_steps(common::time_point now, job_run& run);
    bool step_may_open(job_run const& run,
                       std::uint32_t occurrence,
                       std::uint32_t step_index,
                       std::int64_t now_ms) const;
    void make_ready(job_run& run, ports::task_name const& name);
    void task_done(common::time_point now,
                   job_run& run,
                   ports::task_name const& name);
    void task_failed(common::time_point now,
                     job_run& run,
                     ports::task_name const& name);
    void count_failure(job_run& run,
                       ports::task_name const& name,
                       std::uint32_t attempt);
    void task_done_by_other(common::time_point now,
                            job_run& run,
                            ports::task_name const& name);
    void mark_done_by_other(common::time_point now,
                            job_run& run,
                            ports::task_name const& name);
    void mark_done(job_run& run, ports::task_name const& name);
    void after_done(common::time_point now, job_run& run);
    void stop_attempt(common::time_point now,
                      job_run& run,
                      ports::task_name const& name);
    void gang_done(common::time_point now,
                   job_run& run,
                   ports::task_name const& name);
    void stop_gang(common::time_point now,
                   job_run& run,
                   ports::task_name const& name);
    void task_over(common::time_point now,
                   job_run& run,
                   ports::task_name const& name);
    void remove_from_worker(job_run& run, ports::task_name const& name);
    void place(job_run& run, ports::task_name const& name, worker& target);
    void cancel_job(common::time_point now, job_run& run);
    void end_job(common::time_point now, job_run& run, job_phase phase);
    void finish_if_over(job_run& run);
    void mark_dirty(job_run& run);
    void save_all_progress();
    void save_progress(job_run& run);
    std::optional<std::string> progress_record(std::string const& id);
    job_run* find_job(std::string const& id);
    /// A task and its job; both are null if either is not known.
    struct known_task
    {
        job_run* run = nullptr;
        task* state = nullptr;
    };
    known_task find_task(ports::task_name const& name);
    void log_task(ports::severity level,
                  char const* event,
                  ports::pool_attempt const& attempt_id,
                  std::string const& worker_id,
                  std::vector<ports::header> extra_fields = {});
    std::vector<ports::header>
    other_attempt_fields(worker const& target, ports::task_name const& name);

    // owner_workers.cpp: polls of workers, and the handling of workers that do
    // not answer.
    void poll_workers(common::time_point now);
    void poll_if_due(common::time_point now, worker& target);
    void poll_worker(common::time_point now, worker& target);
    /// What the owner remembers of a stop until it is answered.
    struct sent_stop
    {
        ports::pool_attempt attempt_id;
        std::string worker;
        std::uint64_t fencing_token = 0;
    };
    /// What the owner remembers of a poll until it is answered.
    struct sent_poll
    {
        common::time_point sent_at{};
        std::string worker;
        ports::endpoint remote_endpoint;
        std::uint64_t fencing_token = 0;
        std::uint64_t acknowledged_end = 0;
        std::uint64_t lease_until_ms = 0; ///< 0: no renewal.
    };
    void on_poll_reply(common::time_point now,
                       sent_poll const& poll,
                       ports::order_reply const& reply);
    void acknowledge_ends(common::time_point now, worker& target);
    void note_worker_failure(common::time_point now,
                             worker& target,
                             std::string const& job);
    void check_silent_workers(common::time_point now);
    void order_stop(common::time_point now,
                    std::string const& id,
                    ports::pool_attempt const& attempt_id);
    void on_stop(common::time_point now,
                 sent_stop const& sent,
                 ports::order_reply const& reply);
    task* find_stopping_task(std::string const& id,
                             ports::pool_attempt const& attempt_id);

    // owner_tokens.cpp: fencing tokens of orders.
    token_range allowed_tokens() const;
    std::uint64_t next_token(worker& target);
    void supersede_token(worker& target,
                         std::uint64_t token,
                         std::string_view reason);
    void note_unanswered(common::time_point now,
                         worker& target,
                         std::uint64_t token,
                         std::string_view order);
    common::duration idle_interval_of(common::time_point now,
                                      worker const& target) const;
    /// Handles a worker's answer that it knows a higher fencing token. Returns
    /// whether that token may be from this owner, which goes on then.
    bool on_fenced(common::time_point now,
                   std::string const& worker_id,
                   std::string_view order,
                   std::uint64_t token);

    // owner_crashes.cpp: tasks of workers that crashed or can't be reached.
    enum class loss_reason : std::uint8_t
    {
        restarted,
        silent, ///< Its lease expired while it answered nothing.
    };
    using blamed_tasks = std::map<ports::task_name, crash_evidence>;
    /// Tasks that were blamed for the loss of a worker that fell silent.
    struct blame
    {
        common::time_point when{};
        ports::endpoint remote_endpoint;
        std::uint64_t incarnation = 0; ///< Incarnation of the worker.
        blamed_tasks tasks;
    };
    using task_names = std::set<ports::task_name>;
    void mark_attempts_lost(common::time_point now,
                            worker& target,
                            task_names const& lost,
                            loss_reason reason);
    void end_lost_attempt(common::time_point now,
                          worker const& target,
                          job_run& run,
                          ports::task_name const& name,
                          loss_reason reason);
    bool is_replaced(worker const& lost) const;
    bool has_uncleared_run(task_names const& names);
    blamed_tasks blamed_for_loss(worker const& target, task_names const& lost);
    void count_crash(job_run& run,
                     ports::task_name const& name,
                     crash_evidence evidence,
                     bool confirmed);
    void fail_if_crash_limit_reached(common::time_point now,
                                     job_run& run,
                                     ports::task_name const& name);
    void
    clear_if_proven(worker& target, job_run& run, ports::task_name const& name);
    void note_silence(common::time_point now, worker& target);
    void remember_blame(common::time_point now,
                        worker const& target,
                        blamed_tasks const& tasks);
    void settle_blame(common::time_point now, worker const& target);
    void settle_blame_at(common::time_point now,
                         ports::pool_worker const& successor);
    void withdraw_blame(worker const& target, blame const& settled);
    void confirm_blame(common::time_point now, blame const& settled);
    bool lost_unseen(task const& t);
    void log_worker_lost(worker const& target,
                         task_names const& lost,
                         loss_reason reason,
                         blamed_tasks const& blamed);

    // owner_rows.cpp: reports of workers, and the attempts that run there.
    void apply_rows(common::time_point now,
                    common::time_point sent_at,
                    worker& target,
                    ports::order_reply const& reply);
    void log_full_report(worker const& target, ports::order_reply const& reply);
    void log_unplaced_runs(worker const& target,
                           std::set<ports::pool_attempt> const& known);
    /// Names of the tasks in a worker's report, sorted.
    using reported_names = std::vector<ports::task_name const*>;
    bool is_inconsistent(worker const& target, reported_names const& reported);
    void handle_unreported_tasks(common::time_point now,
                                 common::time_point sent_at,
                                 worker& target,
                                 reported_names const& reported);
    void apply_running(common::time_point now,
                       worker& target,
                       ports::running_attempt const& row);
    void stop_unplaced_run(common::time_point now,
                           worker& target,
                           ports::pool_attempt const& attempt_id);
    void adopt_attempt(common::time_point now,
                       worker& target,
                       job_run& run,
                       ports::pool_attempt const& attempt_id);
    void update_progress(common::time_point now,
                         worker& target,
                         job_run& run,
                         ports::running_attempt const& row);
    void stop_if_stuck(common::time_point now,
                       worker& target,
                       job_run& run,
                       ports::pool_attempt const& attempt_id);

    // owner_ends.cpp: ended attempts that a worker reports.
    void apply_end(common::time_point now,
                   worker& target,
                   ports::ended_attempt const& row);
    void apply_current_end(common::time_point now,
                           worker& target,
                           job_run& run,
                           ports::ended_attempt const& row);
    void apply_other_end(common::time_point now,
                         worker& target,
                         job_run& run,
                         ports::ended_attempt const& row);
    void log_unused_end(worker const& target,
                        ports::pool_attempt const& attempt_id);
    void apply_other_done(common::time_point now,
                          worker& target,
                          job_run& run,
                          ports::pool_attempt const& attempt_id);
    void apply_other_failure(common::time_point now,
                             worker& target,
                             job_run& run,
                             ports::pool_attempt const& attempt_id);
    void log_failure(common::time_point now,
                     worker const& target,
                     job_run const& run,
                     ports::pool_attempt const& attempt_id);

    // owner_restarts.cpp: workers that start again under their id.
    void note_incarnation(common::time_point now,
                          worker& target,
                          std::uint64_t incarnation);
    void note_incarnation_of(common::time_point now,
                             worker& target,
                             ports::order_reply const& reply);
    /// What the owner remembers of a start until it is answered.
    struct sent_start
    {
        ports::pool_attempt attempt_id;
        std::string worker;
        std::uint64_t fencing_token = 0;
        std::uint64_t incarnation = 0;    ///< The one that was adopted then.
        std::uint64_t lease_until_ms = 0; ///< By the clock of `incarnation`.
    };
    void note_start_reply(common::time_point now,
                          worker& target,
                          sent_start const& sent,
                          ports::order_reply const& reply);
    void adopt_incarnation(common::time_point now,
                           worker& target,
                           sent_poll const& poll,
                           ports::order_reply const& first_reply);
    void assume_lease(common::time_point now,
                      worker& target,
                      std::uint64_t until_ms);
    static bool may_hold_earlier_lease(common::time_point now,
                                       worker const& target,
                                       sent_poll const& poll);
    bool must_await_starts(common::time_point now, worker const& target) const;
    std::uint64_t end_to_acknowledge(worker const& target) const;
    task_names runs_of_earlier_incarnation(worker const& target,
                                           ports::order_reply const& reply);

    // owner_takeover.cpp: tasks that earlier owners may have started.
    void fail_exhausted_job(common::time_point now, job_run& run);
    void complete_takeover(common::time_point now);
    std::size_t end_unreported_attempts(common::time_point now, job_run& run);
    void mark_ended(common::time_point now, worker& target);
    void forget_inherited(std::string const& id);
    bool successor_quorum() const;
    bool restarted_unseen(worker const& target) const;
    common::duration recorded_lease_left(std::string const& id,
                                         common::time_point now) const;
    common::duration inherited_long_lease_left(worker const& target,
                                               common::time_point now) const;
    bool earlier_leases_ended(common::time_point now, common::duration longest);
    bool may_belong_to_earlier_owner(job_run const& run, task const& t) const;

    // owner_sharing.cpp: keeps best-effort tasks from slowing down serving
    // tasks on the same worker.
    worker_view const& view_of(worker& target);
    void protect_serving(common::time_point now, worker& target);
    bool tail_latencies_are_outliers(worker& target);
    void read_serving(common::time_point now, worker& target);
    void evict_idle(common::time_point now,
                    worker& target,
                    std::vector<best_effort_view> const& fills);
    void set_speed_limit(common::time_point now,
                         worker& target,
                         ports::task_name const& name,
                         std::uint32_t percent);
    void send_speed_limit(common::time_point now,
                          worker& target,
                          ports::task_name const& name,
                          task& t);
    void on_speed_limit_reply(std::string const& id,
                              ports::pool_attempt const& attempt_id,
                              ports::order_status status);
    void repeat_speed_limits(common::time_point now,
                             worker& target,
                             std::vector<best_effort_view> const& best_effort);

    // owner_target_misses.cpp: serving tasks over their latency targets.
    void follow_target_miss(common::time_point now,
                            worker& target,
                            worker_view const& view);
    void log_target_miss(common::time_point now,
                         worker const& target,
                         worker_view const& view,
                         double headroom);

    // owner_rebalance.cpp: moves serving tasks so that best-effort tasks find
    // capacity.
    void rebalance(common::time_point now);
    std::vector<waiting_image> waiting_best_effort(common::time_point now);
    std::vector<rebalance_worker> rebalance_workers(common::time_point now);
    bool may_move(common::time_point now,
                  job_run const& run,
                  ports::task_name const& name) const;
    void execute_plan(common::time_point now, rebalance_plan const& plan);
    worker* take_reservation(common::time_point now,
                             job_run& run,
                             ports::task_name const& name);
    /// Cancels the task's reservation; returns the worker it was on, or null.
    worker* release_reservation(job_run const& run,
                                ports::task_name const& name);
    bool cleared_against(common::time_point now,
                         worker const& target,
                         std::uint16_t image) const;

    // owner_reserve.cpp: reserves capacity for short jobs by restricting
    // long-running tasks.
    short_job_reserve& short_job_reserve_of(std::string const& service);
    void observe_short_job_demand(common::time_point now);
    short_job_demand short_job_demand_of(common::time_point now,
                                         job_run const& run);
    void note_capacity_of_unusable_workers(common::time_point now);
    /// Whether the task may start only on a worker with capacity for two such
    /// tasks.
    bool must_leave_reserve(job_run const& run, ports::task_name const& name);
    /// Records that the task was placed on a worker.
    void note_placement(job_run const& run, ports::task_name const& name);

    // owner_policy.cpp: steps that need a ticket of the policy service.
    struct ready_key;
    bool has_ticket(common::time_point now,
                    step_run const& steps,
                    worker const& target) const;
    void note_policy_step(common::time_point now, ready_key const& key);
    void request_next_policy(common::time_point now, bool saw_others);
    void request_policy(common::time_point now, ready_key const& key);
    static void defer_policy_request(common::time_point now, step_run& steps);
    std::vector<std::string> workers_for_policy_request(common::time_point now,
                                                        job_run& run,
                                                        ready_key const& key);
    using incarnation_by_worker = std::map<std::string, std::uint64_t>;
    void on_policy_reply(common::time_point now,
                         common::time_point requested_at,
                         ready_key const& key,
                         incarnation_by_worker const& incarnations,
                         ports::policy_reply const& reply);

    // owner_dispatch.cpp: scheduling order of ready tasks, and their start. The
    // functions for gangs are in owner_gangs.cpp, and `dispatch_if_requested`
    // is in owner.cpp.
    struct ready_key
    {
        std::uint32_t rank = 0;
        std::int64_t order = 0; ///< Order by due time; see `key_of`.
        std::string job;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;

        auto operator<=>(ready_key const&) const = default;
    };
    ready_key key_of(job_run const& run,
                     std::uint32_t occurrence,
                     std::uint32_t step_index) const;
    void rank_again(common::time_point now);
    void dispatch(common::time_point now);
    void dispatch_steps(common::time_point now);
    std::optional<ready_key> dispatch_from(common::time_point now,
                                           std::set<ready_key>::iterator next,
                                           failed_placements& failed);
    void dispatch_if_requested(common::time_point now);
    bool dispatch_step(common::time_point now, ready_key const& key);
    /// Returns false if no workers were found for all tasks of the gang.
    bool
    dispatch_gang(common::time_point now, ready_key const& key, job_run& run);
    std::map<std::string, std::int64_t>
    gang_room(common::time_point now, ready_key const& key, job_run& run);
    bool
    waits_for_rack(common::time_point now, ready_key const& key, job_run& run);
    bool place_gang(common::time_point now,
                    ready_key const& key,
                    job_run& run,
                    std::string const& rack);
    void start_gang(common::time_point now, ready_key const& key, job_run& run);
    void start(common::time_point now,
               job_run& run,
               ports::task_name const& name,
               worker& target);
    void on_start(common::time_point now,
                  sent_start const& sent,
                  ports::order_reply const& reply);

    // owner_waiting.cpp: logs why steps wait.
    /// Steps of one queue and image that wait for workers.
    struct waiting_kind
    {
        std::size_t steps = 0;
        std::size_t tasks = 0;
        ready_key first;
    };
    /// Queue and image.
    using kind_name = std::pair<std::string, std::string>;
    std::map<kind_name, waiting_kind> waiting_kinds();
    void log_waiting(common::time_point now);

    // owner_placement.cpp: choice of the worker that a task starts on.
    /// A worker that can run the task, with its score; the lowest is best.
    struct ranked_worker
    {
        double score = 0;
        worker* candidate = nullptr;
    };
    capacity_index usable_workers(common::time_point now);
    /// Must be called for each task placed or removed within a dispatch round.
    void capacity_changed(worker const& target);
    /// Returns the usable workers that may have the capacity for `tasks` tasks
    /// of the step, in the order of the fleet, during a dispatch round.
    std::vector<worker*> with_capacity(common::time_point now,
                                       step const& step_spec,
                                       std::int64_t tasks);
    /// Name that stands for all racks.
    static constexpr char const* any_rack = "";
    /// Returns the workers that can run the task, in the order of the fleet,
    /// during a dispatch round; only those of `rack` unless it is `any_rack`.
    std::vector<ranked_worker> rank(common::time_point now,
                                    job_run& run,
                                    ports::task_name const& name,
                                    std::string const& rack);
    /// Returns the first worker with the lowest score, or null.
    static worker* best_of(std::vector<ranked_worker> const& ranked);
    void score_again(common::time_point now,
                     job_run& run,
                     ports::task_name const& name,
                     worker& target,
                     bool leaves_room,
                     std::vector<ranked_worker>& ranked);
    bool claim_confirmed_since_restart(worker const& target) const;
    std::optional<obstacle> obstacle_to_any_task(common::time_point now,
                                                 worker const& target) const;
    std::optional<obstacle> obstacle_to_step(common::time_point now,
                                             worker const& target,
                                             job_run const& run,
                                             step const& spec) const;
    std::optional<obstacle> obstacle_to_task(common::time_point now,
                                             worker& target,
                                             job_run& run,
                                             ports::task_name const& name);
    bool fits(worker const& target, step const& spec) const;
    bool serves_only(worker const& target, std::uint16_t image);
    static double suspicion_penalty(worker const& target, task const& t);
    std::optional<double> score(common::time_point now,
                                worker& target,
                                job_run& run,
                                ports::task_name const& name);
    std::optional<obstacle> obstacle_to_best_effort(worker& target,
                                                    step const& spec,
                                                    std::uint16_t image);
    double
    score_best_effort(worker& target, step const& spec, std::uint16_t image);

    owner_settings settings_;
    platform_records const& platform_records_;
    operator_state const& operators_;
    claim& claim_;
    outbox& out_;
    lifetime_token life_ = std::make_shared<char>();
    log_digest digest_;
    ledger ledger_;
    fleet fleet_;
    worker_list list_;
    colocation colocation_;
    /// Short-job reserves by service.
    std::map<std::string, short_job_reserve> short_job_reserves_;
    owner_counters counters_;

    std::unordered_map<std::string, job_run> jobs_;
    std::unordered_map<std::string, ports::job_state> final_states_;
    std::deque<std::pair<common::time_point, std::string>> final_times_;
    /// Cancel keys whose jobs have ended or never arrived, with the time since
    /// when each is known.
    std::map<std::string, common::time_point> unmatched_cancels_;
    std::set<ready_key> ready_;
    /// Where the next round goes on behind the steps that each round looks at.
    std::optional<ready_key> resume_at_;
    common::time_point last_resume_{}; ///< When a round last did so.
    /// Usable workers by free capacity; set during a dispatch round only.
    std::optional<capacity_index> capacity_index_;
    std::set<std::string> unsaved_jobs_;
    std::map<std::string, blame> blames_; ///< Unsettled ones, by worker.
    lost_workers lost_workers_;
    /// Target worker of each task being moved.
    std::map<ports::task_name, std::string> reservations_;
    /// Best-effort images with waiting tasks, and since when they wait.
    std::map<std::uint16_t, common::time_point> waiting_since_;
    std::vector<std::string> scheduled_jobs_; ///< Ids of jobs with start times.

    common::time_point created_at_{};
    /// Time at which the last page of stored state arrived.
    common::time_point load_advanced_at_{};
    /// Revision from which the next watch continues.
    std::uint64_t watched_revision_ = 0;
    /// Store revision of the first page of jobs.
    std::uint64_t first_page_revision_ = 0;
    common::time_point pages_requested_at_{};
    std::uint64_t synced_revision_ = 0; ///< All jobs up to it are known.
    /// Time at which the last successful watch, or the first page of the last
    /// complete read of the jobs, was requested.
    common::time_point synced_until_{};
    /// Time of the last successful answer to a watch that was not stalled, or
    /// of the end of loading if that is later.
    common::time_point watch_answered_at_{};
    /// Revision of this owner's last backlog record.
    std::uint64_t backlog_revision_ = 0;
    /// Time at which the last backlog record of this owner became durable.
    common::time_point backlog_current_at_{};
    /// Last time at which the claim's renewal was overdue.
    common::time_point store_silent_at_{};
    common::time_point worker_answered_at_{}; ///< Last answer of any worker.
    common::time_point without_workers_at_{}; ///< Last time without any worker.
    /// Actions to retry with the time of the retry, the earliest first.
    std::deque<
        std::pair<common::time_point, std::function<void(common::time_point)>>>
        retries_;
    std::vector<std::shared_ptr<state_read>> unanswered_reads_;
    std::vector<ports::kv_item> progress_items_;
    std::vector<ports::kv_item> job_items_;
    /// Number of state parts that are still loading.
    std::uint32_t loading_parts_ = 0;
    bool loaded_ = false;
    /// A policy request has not been answered yet; no other one is sent before.
    bool policy_call_pending_ = false;
    /// The step for which the next request is sent.
    std::optional<ready_key> next_policy_step_;
    struct deferred_step
    {
        ready_key key;
        common::time_point until{};
    };
    /// Of the deferred steps that the present round has seen, the one whose
    /// deferral ends first.
    std::optional<deferred_step> deferred_policy_step_;
    /// A task has become ready, capacity has become free, or a policy request
    /// has ended, so a waiting task may now be placed.
    bool dispatch_requested_ = false;
    common::time_point next_dispatch_{};
    common::time_point last_dispatch_{};
    /// Time at which more than half of the workers had answered; zero until
    /// then.
    common::time_point quorum_since_{};
    /// All starts by earlier owners are known.
    bool takeover_complete_ = false;
    bool stopped_ = false;
    roster_ids roster_; ///< The stored roster.
    /// The roster whose write is not known to have taken effect.
    std::optional<roster_ids> roster_being_written_;
    /// The roster as this owner found it, without workers that have ended. An
    /// earlier owner may rely on the answers of these workers, but not on those
    /// of workers that were added later.
    roster_ids inherited_;
    common::time_point next_roster_update_{};
    common::time_point next_rank_{};
    common::time_point next_rebalance_{};
    common::time_point next_load_log_{};
    /// Time of the last log line about waiting steps, by queue and image.
    std::map<kind_name, common::time_point> waiting_reported_at_;
    ready_key log_from_; ///< Step from which they are examined next.
    common::time_point next_backlog_write_{};
    common::time_point next_estimates_write_{};
    bool estimates_write_pending_ = false;
    bool backlog_write_pending_ = false;
};

} // namespace fuchsia::core::pool
