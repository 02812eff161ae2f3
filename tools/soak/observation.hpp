#pragma once

#include "core/common/time.hpp"
#include "ports/pool_actions.hpp"
#include "ports/pool_workers.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

// Events that can be observed from outside the instances: by callers, workers
// and operators.
namespace fuchsia::tools::soak
{

struct step_shape
{
    std::uint32_t count = 1;
    std::vector<std::uint32_t>
        after; ///< Indices of the steps that must be done first.
    bool lasting = false;
    std::int64_t millicores = 1000; ///< Declared cores of each task.
};

struct job_shape
{
    std::string queue;
    std::vector<step_shape> steps;
    std::uint32_t attempts = 1; ///< Number of failures after which a task is
                                ///< not started again.
};

/// Outcome of a call as its caller observes it.
enum class call_outcome : std::uint8_t
{
    done,         ///< 2xx
    refused,      ///< 429 or 503: the call has and will have no effect.
    unknown,      ///< 502 or 504.
    not_found,    ///< 404 for a queue, 410 for a job.
    disconnected, ///< The connection closed before the answer was complete.
    timed_out,    ///< No answer within the caller's time limit.
};

struct submit_sent
{
    std::string job;
    job_shape shape;
};

struct submit_ended
{
    std::string job;
    call_outcome outcome = call_outcome::timed_out;
};

struct cancel_ended
{
    std::string job;
    call_outcome outcome = call_outcome::timed_out;
};

/// A query for the state of a job. `state` is valid only if `outcome` is
/// `done`.
struct status_query_ended
{
    std::string job;
    std::string instance;
    core::common::time_point requested_at{};
    call_outcome outcome = call_outcome::timed_out;
    ports::job_state state = ports::job_state::queued;
};

/// A query for the number of waiting jobs of a queue.
struct waiting_query_ended
{
    std::string queue;
    std::string instance;
    core::common::time_point requested_at{};
    call_outcome outcome = call_outcome::timed_out;
    std::uint64_t jobs = 0;
};

/// A worker started a run by order of an instance.
struct run_started
{
    std::string worker;
    std::string data_centre;
    ports::pool_attempt run;
    std::uint64_t fence = 0;
};

struct run_ended
{
    std::string worker;
    ports::pool_attempt run;
    ports::end_kind outcome = ports::end_kind::done;
};

/// The worker was told that this end is durable outside the worker.
struct end_acknowledged
{
    std::string worker;
    ports::pool_attempt run;
    ports::end_kind outcome = ports::end_kind::done;
    /// Whether the worker's lease expired between the end and this event. The
    /// end may then have been treated as lost before.
    bool lease_expired = false;
};

/// All runs on the worker are gone, and no end of them will be listed.
struct worker_crashed
{
    std::string worker;
    /// Task that crashed the worker; empty if none did.
    std::optional<ports::task_name> culprit{};
};

/// A worker starts with this capacity, or reports it from now on.
struct capacity_set
{
    std::string worker;
    std::int64_t millicores = 0;
};

/// The store accepted the notice of the worker that it is draining.
struct worker_draining
{
    std::string worker;
};

/// The store accepted a change by the operator of the state of a data centre.
struct data_centre_set
{
    std::string name;
    bool out_of_service = false;
};

/// The store accepted a configuration with these queues.
struct configuration_set
{
    std::uint64_t version = 0;
    std::set<std::string> queues;
};

/// An instance answered whether a queue is present in its configuration.
struct queue_seen
{
    std::string queue;
    std::string instance;
    std::uint64_t incarnation = 0; ///< Start count of its process.
    core::common::time_point requested_at{};
    bool present = false;
};

/// An instance began or ceased to schedule with its takeover complete, by what
/// it says, or its process ended.
struct working_owner_seen
{
    std::string instance;
    bool working = false;
};

/// A fault begins or ends. Time limits are not checked while any fault is
/// active and for `stable_window` after it.
struct fault_state_set
{
    std::string name;
    bool active = false;
};

/// No more jobs are submitted; from now on the state of all accepted jobs is
/// queried.
struct traffic_ended
{
};

/// All instances are told to stop. From now on no work has to go on.
struct stop_begun
{
};

using event = std::variant<submit_sent,
                           submit_ended,
                           cancel_ended,
                           status_query_ended,
                           waiting_query_ended,
                           run_started,
                           run_ended,
                           end_acknowledged,
                           worker_crashed,
                           capacity_set,
                           worker_draining,
                           data_centre_set,
                           configuration_set,
                           queue_seen,
                           working_owner_seen,
                           fault_state_set,
                           traffic_ended,
                           stop_begun>;

struct observation
{
    core::common::time_point at{};
    event event_data;
};

/// Rules that can be checked from outside.
enum class rule : std::uint8_t
{
    job_lost,        ///< An accepted job is unknown, unanswered, or never done.
    refused_job_ran, ///< A task started, though all submissions of its job
                     ///< were refused.
    duplicate_run,   ///< Two concurrent runs of a task, or a run after an end
                     ///< was acknowledged as done, or too long after it if the
                     ///< worker's lease had expired in between.
    step_order,      ///< A task started before the steps that it depends on
                     ///< were done.
    attempt_limit,   ///< A task started after its last attempt had failed.
    ran_after_cancel, ///< A task started or continued to run too long after
                      ///< an acknowledged cancel.
    drain,            ///< A task started on a worker too long after its drain
                      ///< notice.
    data_centre,      ///< A task started in a data centre too long after its
                      ///< evacuation.
    configuration,    ///< An answer is based on an outdated configuration.
    waiting_count,    ///< The reported number of waiting jobs is too low.
    reported_state,   ///< A reported state contradicts the observed runs.
    recovery,      ///< Too few calls are served too long after the last fault.
    crash_budget,  ///< A task was started too often after it had crashed its
                   ///< workers.
    capacity,      ///< A start brought a worker over its capacity.
    working_owner, ///< No instance scheduled for too long.
};

struct violation
{
    rule broken_rule = rule::job_lost;
    core::common::time_point at{};
    std::string subject; ///< Job, task, queue or instance.
    std::string reason;
};

/// Time limits as given in the documentation of the platform.
struct time_limits
{
    core::common::duration stable_window = std::chrono::milliseconds(3000);
    core::common::duration acknowledge = std::chrono::milliseconds(4000);
    core::common::duration cancel = std::chrono::milliseconds(3000);
    core::common::duration stop = std::chrono::milliseconds(400);
    core::common::duration heartbeat = std::chrono::milliseconds(1500);
    core::common::duration drain = std::chrono::milliseconds(2000);
    core::common::duration data_centre = std::chrono::milliseconds(5000);
    core::common::duration configuration = std::chrono::milliseconds(2000);
    core::common::duration rollback_slack = std::chrono::milliseconds(250);
    core::common::duration visible = std::chrono::milliseconds(3000);
    /// Time from the acknowledgement of an end as done of any run after which
    /// its task must not start.
    core::common::duration start_after_done = std::chrono::milliseconds(1000);
    core::common::duration finish = std::chrono::seconds(14);
    core::common::duration recovery = std::chrono::seconds(12);
    /// Maximum time that a long-running task is without a run, from `restart`
    /// after its last one and with no fault from `calm_before` before it.
    core::common::duration idle = std::chrono::seconds(3);
    core::common::duration calm_before = std::chrono::seconds(4);
    core::common::duration restart = std::chrono::seconds(6);
    /// Maximum time without a working owner and without a fault: after it, work
    /// would be idle for too long.
    core::common::duration without_owner = calm_before + idle;
};

} // namespace fuchsia::tools::soak
