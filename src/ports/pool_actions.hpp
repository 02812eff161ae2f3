#pragma once

#include "core/common/result_code.hpp"
#include "ports/actions.hpp"
#include "ports/kv.hpp"
#include "ports/pool_policy.hpp"
#include "ports/pool_workers.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// Actions that the scheduler of a pool requests from its environment, and its
// answers to clients.
namespace fuchsia::ports
{

enum class job_state : std::uint8_t
{
    queued, ///< No task has started yet.
    active,
    completed,
    failed,
    cancelled,
};

/// The job is stored durably and will run exactly once.
struct job_accepted
{
};

/// The request had no effect and will have none; the client may retry after
/// `retry`.
struct job_refused
{
    core::common::failure reason;
    core::common::duration retry{};
};

/// The request may have taken effect; repeating it gives the outcome.
struct job_outcome_unknown
{
    core::common::failure reason;
};

/// The job specification is invalid; a retry fails in the same way.
struct job_invalid
{
    core::common::failure reason;
};

/// No job of this name was accepted within the retention period of job states.
struct job_not_found
{
};

/// No queue matches this host and path.
struct queue_not_found
{
};

struct job_status
{
    job_state state = job_state::queued;
};

struct queue_status
{
    std::uint64_t pending = 0; ///< Number of jobs of which no task has started.
};

using job_answer = std::variant<job_accepted,
                                job_refused,
                                job_outcome_unknown,
                                job_invalid,
                                job_not_found,
                                queue_not_found,
                                job_status,
                                queue_status>;

struct job_reply
{
    std::uint64_t caller = 0;
    job_answer answer;
};

/// Whether the load balancer should send new connections to this instance.
struct readiness
{
    bool ready = false;
};

enum class duration_metric : std::uint8_t
{
    accept,         ///< Time from a submission to its answer.
    wait_to_start,  ///< Time from acceptance of a job to its first start.
    job,            ///< Time from acceptance of a job to its recorded end.
    end_to_durable, ///< Time from receipt of a task's end to its durable write.
    takeover,       ///< Time from the claim until all running tasks are known.
};

/// One sample for the duration histograms.
struct duration_sample
{
    duration_metric metric = duration_metric::accept;
    core::common::duration elapsed{};
};

/// The connections to workers may be closed: the instance no longer schedules
/// and gives no further orders to workers until it does so again. The orders
/// that it has given are still answered.
struct release_workers
{
};

using pool_action = std::variant<kv_call,
                                 pool_order,
                                 policy_request,
                                 job_reply,
                                 log_event,
                                 duration_sample,
                                 readiness,
                                 release_workers,
                                 stop_complete>;

using pool_actions = std::vector<pool_action>;

} // namespace fuchsia::ports
