#pragma once

#include "ports/pool_workers.hpp"
#include "standins/pool/interference.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::standins::pool
{

/// Behaviour of a task, read from its job's spec. The words are separated by
/// spaces:
/// "work=500" is the duration of the work in milliseconds;
/// "fail" makes the task fail after its work;
/// "fail_first" does so in its first attempt only;
/// "lasts" makes the task run until it is stopped;
/// "tail=20" makes it a serving task with this tail latency in milliseconds
/// when it runs alone;
/// "strain=30" is what it adds to the tail latency of serving tasks on the same
/// worker, in milliseconds;
/// "load=45" makes it a serving task with users that load it to 45% on average:
/// its tail latency grows with load and neighbours, and is measured roughly;
/// "swing=25 swing_ms=9000" lets that load rise and fall by 25% of its capacity
/// in this time; "error=10" is the largest error of its figures in percent;
/// "press=80" is the share, in percent, of the capacity of such a task that
/// this one takes if it uses all cores of the worker; its CPU use is measured
/// roughly, too;
/// "cores=1000" is its CPU use in thousandths of a core;
/// "crash" makes the task crash each worker that starts it;
/// "crash_after=10" is the time from the start to the crash, in milliseconds;
/// "crash_index=0" limits this to the task with that index in its step.
struct task_script
{
    std::uint64_t work_ms = 100;
    bool fails = false;
    bool fails_once = false; ///< Only the first attempt fails.
    bool runs_until_stopped = false;
    std::uint64_t tail_latency_ms = 0; ///< 0: not a serving task.
    std::uint64_t neighbour_latency_ms = 0;
    std::optional<user_load> users; ///< Of a serving task with "load".
    double measurement_error = 0;   ///< Largest relative error of its figures.
    std::optional<double> pressure; ///< See "press", as a share.
    std::uint64_t millicores = 0;
    bool crashes = false;
    std::uint64_t crash_after_ms = 10;
    /// Index of the only task that crashes workers; empty: all tasks do.
    std::optional<std::uint64_t> crash_index;
};

/// Number of ended attempts that a worker lists at a time, the oldest first.
constexpr std::size_t max_listed_ends = 500;

/// Longest lease that a worker grants.
constexpr core::common::duration max_lease = std::chrono::seconds(10);

task_script parse_task_script(std::string_view spec);

enum class worker_event_kind : std::uint8_t
{
    started,
    ended,
    /// The owner acknowledged that it has stored this end.
    acknowledged,
    /// The run crashed the worker. The event comes from the server, which ends
    /// the worker with all its runs.
    crashed_worker,
};

/// Event on a worker; `end_result` is valid for ends only.
struct worker_event
{
    worker_event_kind kind = worker_event_kind::started;
    ports::pool_attempt run;
    ports::end_kind end_result = ports::end_kind::done;
    std::uint64_t fence = 0;
    /// Whether the worker's lease expired between the end and its
    /// acknowledgement, so that the task may have started elsewhere before.
    bool lease_expired = false;
};

/// One incarnation of a worker in memory: the highest fencing token, one lease
/// for all running tasks, and the ends that are reported until they are
/// acknowledged. Its clock starts at `clock_start_ms` and runs at `speed` times
/// true time. A lease longer than `max_lease` is shortened to that. A start
/// extends the lease even if it is refused as superseded. Speed limits slow
/// down a task's work and its effect on its neighbours.
class worker_state
{
public:
    worker_state(ports::pool_worker info,
                 core::common::time_point born,
                 double speed);

    /// Sets the function that `apply` and `advance` call at each event.
    void observe(std::function<void(worker_event const&)> callback);
    ports::order_reply apply(core::common::time_point now,
                             ports::pool_operation const& order);
    /// Ends the tasks whose work is done by `now`, and all tasks once the lease
    /// has expired.
    void advance(core::common::time_point now);

    ports::pool_worker const& info() const noexcept;
    /// Highest fencing token of all orders; 0 before the first one.
    std::uint64_t fencing_token() const noexcept;
    bool runs(ports::task_name const& task) const;
    std::size_t running() const noexcept;
    std::vector<ports::task_name> running_tasks() const;
    /// Acknowledged ends, in order of acknowledgement.
    std::vector<ports::ended_attempt> const& acknowledged_ends() const noexcept;
    /// Started attempts, in order of their start.
    std::vector<ports::pool_attempt> const& started_runs() const noexcept;
    void drain() noexcept;
    /// Changes the capacity that the worker reports. What runs goes on.
    void set_capacity(ports::resources capacity) noexcept;
    /// The tail latency of a serving task that runs here, in milliseconds, as
    /// its users see it at `now`, with its neighbours and without them.
    double tail_latency(core::common::time_point now,
                        ports::task_name const& task) const;
    double isolated_tail_latency(core::common::time_point now,
                                 ports::task_name const& task) const;
    /// Returns the order of a run that crashes the worker by `now`, if there is
    /// one.
    std::optional<ports::start_order>
    crashing_run(core::common::time_point now) const;

private:
    struct run
    {
        std::uint32_t attempt = 0;
        core::common::time_point started_at{};
        task_script script;
        std::string spec;
        core::common::duration worked{}; ///< Work done, at full speed.
        task_speed speed;
        rough_measurement measured;
    };

    std::uint64_t clock_ms(core::common::time_point now) const noexcept;
    ports::order_status start(core::common::time_point now,
                              ports::start_order const& order);
    void stop(ports::stop_order const& order);
    void limit_speed(core::common::time_point now,
                     ports::speed_limit_order const& order);
    /// Lets all tasks work until `now`.
    void work(core::common::time_point now);
    void measure(core::common::time_point now);
    static std::uint32_t percent_of(run const& target);
    std::int64_t measurement_of(run const& target) const;
    double tail_latency_of(core::common::time_point now,
                           run const& target) const;
    double pressure() const;
    void report(ports::poll_order const& order, ports::order_reply& reply);
    void end(ports::task_name const& task, ports::end_kind end_result);
    void extend(core::common::time_point now, std::uint64_t until_ms) noexcept;

    void notify(worker_event_kind kind,
                ports::pool_attempt const& attempt,
                ports::end_kind end_result = ports::end_kind::done,
                bool lease_expired = false) const;

    ports::pool_worker info_;
    std::function<void(worker_event const&)> observer_;
    core::common::time_point born_;
    double speed_;
    std::uint64_t fencing_token_ = 0;
    std::uint64_t lease_until_ms_ = 0;
    std::uint64_t last_end_sequence_ = 0;
    /// Sequence number of the last end before the lease was last found expired.
    std::uint64_t last_end_before_expiry_ = 0;
    std::map<ports::task_name, run> running_;
    core::common::time_point worked_until_{};
    /// Highest ended or stopped attempt of each task; attempts up to this
    /// number are not started.
    std::map<ports::task_name, std::uint32_t> highest_ended_attempt_;
    std::vector<ports::ended_attempt> unacknowledged_ends_;
    std::vector<ports::ended_attempt> acknowledged_ends_;
    std::vector<ports::pool_attempt> started_runs_;
};

} // namespace fuchsia::standins::pool
