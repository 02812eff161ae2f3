#pragma once

#include "core/common/time.hpp"
#include "ports/instances.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The platform's workers: their capacity, the calls that run tasks on them, and
// their reports.
namespace fuchsia::ports
{

/// Amounts of resources. Cores are counted in thousandths so that sums are
/// exact.
struct resources
{
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(resources const&) const = default;
    resources& operator+=(resources const& other) noexcept;
    resources& operator-=(resources const& other) noexcept;
    /// Whether no amount in `wanted` exceeds the same amount in this.
    bool covers(resources const& wanted) const noexcept;
};

/// One worker, as listed by the platform.
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

/// One attempt to run a task. The attempts of a task are numbered from 1.
struct task_attempt
{
    std::string task;
    std::uint32_t attempt = 0;

    auto operator<=>(task_attempt const&) const = default;
};

/// Starts an attempt under a lease. Idempotent on (task, attempt): a repeated
/// start of an attempt that is running or has ended changes nothing.
///
/// Both times are on the WORKER's clock, which its reports carry. A lease that
/// counts from receipt would be too long for a delayed call: while the call
/// waits in a buffer, the sender considers the lease expired and starts the
/// next attempt on another worker, and the task runs in two places. For the
/// same reason a worker refuses a call that it receives after
/// `start_before_ms`.
struct worker_start
{
    task_attempt attempt_id;
    resources declared;
    std::string task_class; ///< Name of the task's interference class.
    bool service = false;   ///< Runs until stopped; otherwise until complete.
    std::uint64_t work_ms = 0; ///< Work of a batch task, at full speed.
    std::string checkpoint;    ///< Where to resume; empty: from the start.
    std::uint64_t start_before_ms = 0;
    std::uint64_t lease_until_ms = 0;
};

/// Renews the leases of attempts on one worker. The reply lists those that the
/// worker does not know in `unknown_attempts`.
struct worker_renew
{
    std::vector<task_attempt> attempts;
    std::uint64_t lease_until_ms = 0; ///< On the worker's clock.
};

/// Sets the share of its declared cores that an attempt may use, 1 to 1000
/// permille.
struct worker_throttle
{
    task_attempt attempt_id;
    std::uint32_t permille = 1000;
};

/// Requests a checkpoint of an attempt; the reply names it.
struct worker_checkpoint
{
    task_attempt attempt_id;
};

/// Stops an attempt. `done` means that the worker confirmed that the attempt
/// does not run.
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
    refused,     ///< The attempt does not run there; the call changed nothing.
    unreachable, ///< The call was never sent.
    unclear,     ///< No answer: the call may have taken effect.
};

struct worker_reply
{
    std::uint64_t id = 0;
    worker_status status = worker_status::unclear;
    std::string checkpoint;                     ///< For `worker_checkpoint`.
    std::vector<task_attempt> unknown_attempts; ///< For `worker_renew`.
    std::string reason;                         ///< Reason of a refusal.
};

enum class attempt_state : std::uint8_t
{
    running,
    finished,
    failed,
    stopped,
    lease_expired,
};

/// A worker's report about one attempt, some seconds old.
struct attempt_report
{
    task_attempt attempt_id;
    attempt_state state = attempt_state::running;
    resources used;
    /// For a service: 99th percentile of its latency, in microseconds.
    std::uint64_t latency_p99_us = 0;
    /// For a batch task: work done so far, in milliseconds at full speed.
    std::uint64_t work_done_ms = 0;
    std::string reason; ///< Reason of a failure.
};

/// All attempts that run on one worker, and those that ended there within the
/// last minute.
struct worker_report
{
    std::string worker;
    std::uint64_t sequence = 0; ///< Increases with each report of the worker.
    /// The worker's monotonic clock when it made the report.
    std::uint64_t clock_ms = 0;
    std::vector<attempt_report> attempts;
};

} // namespace fuchsia::ports
