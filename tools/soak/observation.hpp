#pragma once

#include "core/common/time.hpp"
#include "ports/pool_actions.hpp"
#include "ports/pool_workers.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

// What can be seen from outside the instances: by callers, by workers and by
// operators.
namespace fuchsia::tools::soak
{

struct step_shape
{
    std::uint32_t count = 1;
    std::vector<std::uint32_t> after; ///< Steps that must be done first.
    bool lasting = false;
};

struct job_shape
{
    std::string queue;
    std::vector<step_shape> steps;
    std::uint32_t attempts = 1; ///< A task may fail this often.
};

/// How a call of a caller ended.
enum class call_outcome : std::uint8_t
{
    done,         ///< 2xx
    refused,      ///< 429, 503: nothing was done and nothing will be.
    unknown,      ///< 502, 504.
    not_found,    ///< 404 of a queue, 410 of a job.
    disconnected, ///< The connection ended before a whole answer.
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

/// A question for the state of a job; `state` counts only where it is `done`.
struct status_query_ended
{
    std::string job;
    std::string instance;
    core::common::time_point requested_at{};
    call_outcome outcome = call_outcome::timed_out;
    ports::job_state state = ports::job_state::queued;
};

/// A question for the jobs of a queue that wait.
struct waiting_query_ended
{
    std::string queue;
    std::string instance;
    core::common::time_point requested_at{};
    call_outcome outcome = call_outcome::timed_out;
    std::uint64_t jobs = 0;
};

/// A worker began a run on an order.
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

/// The worker was told that this end is durable elsewhere. Never seen where
/// its lease lapsed between the end and this: it was taken for lost.
struct end_acknowledged
{
    std::string worker;
    ports::pool_attempt run;
    ports::end_kind outcome = ports::end_kind::done;
};

/// All that ran there is gone, and no end of it will be listed.
struct worker_crashed
{
    std::string worker;
};

/// The store took the worker's word that it leaves.
struct worker_draining
{
    std::string worker;
};

/// The store took the operator's word.
struct data_centre_set
{
    std::string name;
    bool out_of_service = false;
};

/// The store took a configuration with these queues.
struct configuration_set
{
    std::uint64_t version = 0;
    std::set<std::string> queues;
};

/// What one instance showed of the configuration: whether it knows a queue.
struct queue_seen
{
    std::string queue;
    std::string instance;
    std::uint64_t incarnation = 0; ///< Of its process.
    core::common::time_point requested_at{};
    bool present = false;
};

/// Trouble begins or ends. While any lasts, and for `stable_window` after it,
/// no check of a time limit counts.
struct fault_state_set
{
    std::string name;
    bool active = false;
};

/// No more jobs come; what was accepted is asked for from now on.
struct traffic_ended
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
                           worker_draining,
                           data_centre_set,
                           configuration_set,
                           queue_seen,
                           fault_state_set,
                           traffic_ended>;

struct observation
{
    core::common::time_point at{};
    event event_data;
};

/// The rules that an observer can check.
enum class rule : std::uint8_t
{
    job_lost,         ///< Accepted, then unknown, unanswered, or never done.
    refused_job_ran,  ///< A task of a job whose callers were all refused
                      ///< started.
    duplicate_run,    ///< Two runs of a task at once, or one after its end was
                      ///< acknowledged as done.
    step_order,       ///< A start before the steps that it waits for were done.
    attempt_limit,    ///< A start after the last attempt had failed.
    ran_after_cancel, ///< A start, or a run, too long after an acknowledged
                      ///< cancel.
    drain,            ///< A start on a worker too long after it said it leaves.
    data_centre, ///< A start in a data centre too long after it was taken out.
    configuration,  ///< A queue is shown as of an older configuration.
    waiting_count,  ///< Fewer jobs are told to wait than do.
    reported_state, ///< A state is shown that the workers' runs contradict.
    recovery,       ///< Too little is served too long after the last trouble.
};

struct violation
{
    rule broken_rule = rule::job_lost;
    core::common::time_point at{};
    std::string subject; ///< Job, task, queue or instance.
    std::string reason;
};

/// Time limits of the platform's pages.
struct time_limits
{
    core::common::duration stable_window = std::chrono::milliseconds(3000);
    core::common::duration acknowledge = std::chrono::milliseconds(4000);
    core::common::duration cancel = std::chrono::milliseconds(3000);
    core::common::duration stop = std::chrono::milliseconds(400);
    core::common::duration drain = std::chrono::milliseconds(2000);
    core::common::duration data_centre = std::chrono::milliseconds(5000);
    core::common::duration configuration = std::chrono::milliseconds(2000);
    core::common::duration rollback_slack = std::chrono::milliseconds(250);
    core::common::duration visible = std::chrono::milliseconds(3000);
    core::common::duration finish = std::chrono::seconds(14);
    core::common::duration recovery = std::chrono::seconds(12);
};

} // namespace fuchsia::tools::soak
