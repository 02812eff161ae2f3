#pragma once

#include "ports/pool_workers.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fuchsia::standins::pool
{

/// What a task does, as its job's spec says: "work=500" (milliseconds),
/// "fail" (after its work), "fail_first" (the same, only its first attempt),
/// "lasts" (until it is stopped), "tail=20" (it
/// serves, and that is its tail alone, in milliseconds), "strain=30" (what it
/// adds to the tails of tasks that serve beside it), "cores=1000" (thousandths
/// that it uses), divided by spaces.
struct task_script
{
    std::uint64_t work_ms = 100;
    bool fails = false;
    bool fails_once = false; ///< Attempts after the first don't.
    bool runs_until_stopped = false;
    std::uint64_t tail_latency_ms = 0; ///< 0: it serves nobody.
    std::uint64_t neighbour_latency_ms = 0;
    std::uint64_t millicores = 0;
};

task_script parse_task_script(std::string_view spec);

enum class worker_event_kind : std::uint8_t
{
    started,
    ended,
    /// The owner said that it has written this end down; not told of an end
    /// that the worker's lease did not outlast until then.
    acknowledged,
};

/// What an onlooker at a worker sees; `how` is of an end.
struct worker_event
{
    worker_event_kind kind = worker_event_kind::started;
    ports::pool_attempt run;
    ports::end_kind end_result = ports::end_kind::done;
    std::uint64_t fence = 0;
};

/// One incarnation of a worker in memory: a fence, one lease for all that runs,
/// ends that are listed until they are acknowledged. Its clock starts at
/// `clock_start` and runs at `speed` of true time.
class worker_state
{
public:
    worker_state(ports::pool_worker info,
                 core::common::time_point born,
                 double speed);

    /// Called at every event from now on, from within `apply` and `advance`.
    void observe(std::function<void(worker_event const&)> tell);
    ports::order_reply apply(core::common::time_point now,
                             ports::pool_operation const& order);
    /// Ends what is done by now, and everything once the lease is over.
    void advance(core::common::time_point now);

    ports::pool_worker const& info() const noexcept;
    bool runs(ports::task_name const& task) const;
    std::size_t running() const noexcept;
    /// Ends that were acknowledged, in order.
    std::vector<ports::ended_attempt> const& acknowledged_ends() const noexcept;
    /// Runs that were begun, in order.
    std::vector<ports::pool_attempt> const& started_runs() const noexcept;
    void drain() noexcept;

private:
    struct run
    {
        std::uint32_t attempt = 0;
        core::common::time_point began{};
        task_script script;
    };

    std::uint64_t clock_ms(core::common::time_point now) const noexcept;
    ports::order_status start(core::common::time_point now,
                              ports::start_order const& order);
    void stop(ports::stop_order const& order);
    static std::uint32_t percent_of(run const& of,
                                    core::common::time_point now);
    std::int64_t level_of(run const& of) const;
    void list(core::common::time_point now,
              ports::poll_order const& order,
              ports::order_reply& out);
    void end(ports::task_name const& task, ports::end_kind how);
    void extend(std::uint64_t until_ms) noexcept;

    void tell(worker_event_kind when,
              ports::pool_attempt const& what,
              ports::end_kind how = ports::end_kind::done) const;

    ports::pool_worker info_;
    std::function<void(worker_event const&)> observer_;
    core::common::time_point born_;
    double speed_;
    std::uint64_t fence_ = 0;
    std::uint64_t lease_ms_ = 0;
    std::uint64_t last_end_ = 0;
    std::uint64_t outlived_end_ = 0; ///< The lease lapsed after it.
    std::map<ports::task_name, run> running_;
    std::map<ports::task_name, std::uint32_t>
        settled_; ///< No lower run starts.
    std::vector<ports::ended_attempt> ended_;
    std::vector<ports::ended_attempt> acknowledged_;
    std::vector<ports::pool_attempt> begun_;
};

} // namespace fuchsia::standins::pool
