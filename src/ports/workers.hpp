#pragma once

#include "core/common/time.hpp"
#include "ports/instances.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The platform's workers: what they hold, and the calls that run tasks there.
namespace fuchsia::ports
{

/// Cores in thousandths, so that sums are exact.
struct resources
{
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(resources const&) const = default;
    resources& operator+=(resources const& other) noexcept;
    resources& operator-=(resources const& other) noexcept;
    /// True where no part of `wanted` exceeds the same part of this.
    bool covers(resources const& wanted) const noexcept;
};

/// One worker as the platform lists it.
struct worker_instance
{
    std::string id;
    std::string rack;
    std::string data_centre;
    resources capacity;
    instance_state state = instance_state::live;
};

struct worker_list
{
    std::vector<worker_instance> workers;
    core::common::time_point received;
};

/// One try to run a task; attempts of a task are numbered from 1.
struct task_attempt
{
    std::string task;
    std::uint32_t attempt = 0;

    auto operator<=>(task_attempt const&) const = default;
};

/// Starts an attempt under a lease. Idempotent on (task, attempt): a repeated
/// start of an attempt that is there, or that ended, changes nothing.
///
/// Both times are read on the WORKER's clock, which its reports carry. A lease
/// counted from the moment of receipt would be too long whenever the call is
/// late: it waits in a buffer, the sender believes the lease over and starts
/// the next attempt elsewhere, and the task runs in two places. A call that
/// comes in after `start_before_ms` is refused for the same reason.
struct worker_start
{
    task_attempt attempt_id;
    resources declared;
    std::string task_class; ///< Name of its interference class.
    bool service = false; ///< Runs until stopped; else until its work is done.
    std::uint64_t work_ms = 0; ///< Work a batch task has, at full speed.
    std::string checkpoint;    ///< Where to resume; empty: from the start.
    std::uint64_t start_before_ms = 0;
    std::uint64_t lease_until_ms = 0;
};

/// Renews the leases of attempts on one worker; those it does not know come
/// back as `gone`.
struct worker_renew
{
    std::vector<task_attempt> attempts;
    std::uint64_t lease_until_ms = 0; ///< On the worker's clock.
};

/// Sets the share of its declared cores an attempt may use, 1 to 1000.
struct worker_throttle
{
    task_attempt attempt_id;
    std::uint32_t permille = 1000;
};

/// Asks for a checkpoint; the reply names it.
struct worker_checkpoint
{
    task_attempt attempt_id;
};

/// Ends an attempt; done when the worker says that it does not run.
struct worker_stop
{
    task_attempt attempt_id;
};

using worker_operation = std::variant<worker_start,
                                      worker_renew,
                                      worker_throttle,
                                      worker_checkpoint,
                                      worker_stop>;

struct worker_call
{
    std::uint64_t id = 0;
    std::string worker;
    worker_operation operation;
};

enum class worker_status : std::uint8_t
{
    done,
    refused,     ///< It does not run there and this call changed nothing.
    unreachable, ///< Never sent.
    unclear,     ///< No answer: it may have taken effect.
};

struct worker_reply
{
    std::uint64_t id = 0;
    worker_status status = worker_status::unclear;
    std::string checkpoint;                     ///< Of `worker_checkpoint`.
    std::vector<task_attempt> unknown_attempts; ///< Of `worker_renew`.
    std::string reason;                         ///< Of a refusal.
};

enum class attempt_state : std::uint8_t
{
    running,
    finished,
    failed,
    stopped,
    lease_expired,
};

/// What a worker said of one attempt, some seconds ago.
struct attempt_report
{
    task_attempt attempt_id;
    attempt_state state = attempt_state::running;
    resources used;
    /// Services: the 99th percentile of its latency, in microseconds.
    std::uint64_t latency_p99_us = 0;
    /// Batch: work done so far, in milliseconds at full speed.
    std::uint64_t work_done_ms = 0;
    std::string reason; ///< Of a failure.
};

/// All attempts that run on one worker, and those that ended there within the
/// last minute.
struct worker_report
{
    std::string worker;
    std::uint64_t sequence = 0; ///< Rises with every report of the worker.
    /// The worker's own monotonic clock when it made the report.
    std::uint64_t clock_ms = 0;
    std::vector<attempt_report> attempts;
};

} // namespace fuchsia::ports
