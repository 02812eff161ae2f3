#pragma once

#include "core/common/time.hpp"
#include "ports/workers.hpp"
#include "standins/workers/interference.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Stand-in for the platform's workers, without sockets: attempts under leases,
// their progress under interference from other tasks on the same worker,
// delayed reports, and counters of violations.
namespace fuchsia::standins::workers
{

struct worker_pool_settings
{
    std::uint32_t count = 50;
    std::uint32_t per_rack = 8;
    std::vector<std::string> data_centres;
    ports::resources capacity{64'000, 250'000, 0};
    /// Every `accelerator_every`-th worker has accelerators; 0: no worker has.
    std::uint32_t accelerator_every = 0;
    std::uint32_t accelerators = 4;
    core::common::duration report_interval = std::chrono::seconds(1);
    core::common::duration report_lag = std::chrono::seconds(2);
    /// Time for which an ended attempt stays in the reports.
    core::common::duration ended_retention = std::chrono::minutes(1);
    /// Grace period after a data centre goes out of service. Later starts there
    /// are counted as late.
    core::common::duration late_start_grace = std::chrono::seconds(5);
    /// Maximum drift of worker clocks, fast or slow, in parts per million.
    std::uint32_t clock_drift_ppm = 100;
    std::uint64_t service_latency_us = 5'000;
    /// Classes whose attempts fail on every worker.
    std::vector<std::string> failing_classes;
    interference_settings interference;
    std::size_t attempts_per_worker = 4'096;
    std::size_t checkpoints = 200'000;
};

/// Changes to the injected faults of a worker; absent members stay unchanged.
struct worker_faults
{
    std::optional<bool> fail_starts;
    /// The worker answers no call and sends no report, but its tasks and leases
    /// continue.
    std::optional<bool> freeze;
    /// The worker is down and its tasks are lost. It comes back without tasks.
    std::optional<bool> crashed;
    std::optional<core::common::duration> report_lag;
    std::optional<double> noise;
};

struct worker_counters
{
    std::uint64_t starts = 0;
    std::uint64_t refused = 0; ///< Rejected starts.
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t stopped = 0;
    std::uint64_t checkpoints = 0;
    std::uint64_t resumed = 0;
    std::uint64_t expired = 0;
    std::uint64_t lost = 0; ///< Attempts that ran on a worker when it crashed.
    std::uint64_t running = 0;
    std::uint64_t over_capacity = 0;
    std::uint64_t concurrent_attempts = 0;
    std::uint64_t late_starts = 0;
    std::uint64_t resumed_twice = 0;
};

/// Result of one call: done, or refused with the reason in `why`.
struct call_result
{
    bool done = true;
    std::string why;
    std::string checkpoint;
    std::vector<ports::task_attempt> unknown_attempts;
};

class worker_pool
{
public:
    worker_pool(worker_pool_settings settings, core::common::time_point start);

    std::size_t size() const noexcept;
    std::optional<std::size_t> find(std::string_view id) const;
    /// Workers that have not crashed, as the platform lists them.
    std::vector<ports::worker_instance> list() const;
    /// Newest visible report of each worker in `rack`; of all workers if `rack`
    /// is empty.
    std::vector<ports::worker_report> reports(core::common::time_point now,
                                              std::string_view rack) const;

    call_result start(core::common::time_point now,
                      std::size_t worker,
                      ports::worker_start const& call);
    call_result renew(core::common::time_point now,
                      std::size_t worker,
                      ports::worker_renew const& call);
    call_result throttle(core::common::time_point now,
                         std::size_t worker,
                         ports::worker_throttle const& call);
    call_result checkpoint(core::common::time_point now,
                           std::size_t worker,
                           ports::worker_checkpoint const& call);
    call_result stop(core::common::time_point now,
                     std::size_t worker,
                     ports::worker_stop const& call);

    /// Advances progress, leases and reports to `now`. Must be called at least
    /// every 200 ms.
    void tick(core::common::time_point now);

    bool set_faults(core::common::time_point now,
                    std::string_view id,
                    worker_faults const& faults);
    bool frozen(std::size_t worker) const;
    bool crashed(std::size_t worker) const;
    /// Records the operators' decision, for the counter of late starts.
    void set_data_centre_out_of_service(core::common::time_point now,
                                        std::string const& name,
                                        bool out_of_service);

    /// Reading of the worker's own clock in milliseconds.
    std::uint64_t clock_ms(std::size_t worker,
                           core::common::time_point now) const;
    worker_counters const& counters() const noexcept;

private:
    struct attempt_record
    {
        ports::worker_start call;
        ports::attempt_state state = ports::attempt_state::running;
        std::uint32_t permille = 1000;
        double work_done_ms = 0;
        double speed = 1.0; ///< Seconds of work done per second.
        std::uint64_t latency_p99_us = 0;
        ports::resources used;
        std::uint64_t lease_until_ms = 0;
        bool fails_next = false; ///< The attempt fails at the next tick.
        std::string why;
        core::common::time_point ended{};
    };

    struct worker_record
    {
        ports::worker_instance instance;
        std::int64_t clock_offset_ms = 0;
        std::int64_t clock_drift_ppm = 0;
        std::map<ports::task_attempt, attempt_record> attempts;
        /// Attempts that were stopped before their start arrived. Their starts
        /// are refused.
        std::set<ports::task_attempt> refused_starts;
        std::deque<ports::task_attempt> refused_order;
        struct published_report
        {
            core::common::time_point published_at{};
            ports::worker_report report;
        };
        std::deque<published_report> reports;
        std::uint64_t sequence = 0;
        core::common::time_point next_report{};
        core::common::time_point advanced_until{};
        bool fail_starts = false;
        bool frozen = false;
        bool crashed = false;
        core::common::duration report_lag{};
        double noise = 0;
    };

    struct checkpoint_record
    {
        ports::task_attempt attempt_id;
        double work_done_ms = 0;
        std::optional<ports::task_attempt> resumed_by;
        bool resumer_finished = false;
    };

    struct task_location
    {
        std::size_t worker = 0;
        ports::task_attempt attempt_id;
    };

    std::optional<std::string>
    refusal_of(worker_record const& worker,
               std::uint64_t clock,
               ports::worker_start const& call) const;
    void note_violations(core::common::time_point now,
                         worker_record const& worker,
                         ports::worker_start const& call);
    double resume_from(ports::worker_start const& call);
    bool is_running(ports::task_attempt const& attempt_id) const;
    /// Advances every worker that runs the task to `now`, so that attempts that
    /// are over by then have ended.
    void advance_task(core::common::time_point now, std::string const& task);
    attempt_record* running_attempt(core::common::time_point now,
                                    std::size_t worker,
                                    ports::task_attempt const& attempt_id);
    void advance(std::size_t worker, core::common::time_point now);
    void measure(worker_record& worker, core::common::time_point now);
    void progress(attempt_record& attempt,
                  double elapsed_ms,
                  std::uint64_t clock_before,
                  core::common::time_point now);
    void end_attempt(attempt_record& attempt,
                     ports::attempt_state state,
                     core::common::time_point now,
                     std::string why);
    void count_end(attempt_record const& attempt);
    void remove_running(ports::task_attempt const& attempt_id);
    void refuse_start(worker_record& worker,
                      ports::task_attempt const& attempt_id);
    void make_report(std::size_t worker, core::common::time_point now);
    void drop_all_attempts(worker_record& worker);

    worker_pool_settings settings_;
    core::common::time_point start_;
    interference interference_;
    std::vector<worker_record> workers_;
    /// Running attempts of each task on all workers.
    std::map<std::string, std::vector<task_location>, std::less<>> running_;
    std::map<std::string, checkpoint_record, std::less<>> checkpoints_;
    std::deque<std::string> checkpoint_order_;
    std::uint64_t checkpoint_number_ = 0;
    std::map<std::string, core::common::time_point, std::less<>>
        out_of_service_since_;
    worker_counters counters_;
};

} // namespace fuchsia::standins::workers
