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

// What the scheduler of a pool asks of its surroundings.
namespace fuchsia::ports
{

enum class job_state : std::uint8_t
{
    queued, ///< No task has started.
    active,
    completed,
    failed,
    cancelled,
};

/// The job lies in the store: it will run, once.
struct job_accepted
{
};

/// Nothing was done and nothing will be; worth another try after `retry`.
struct job_refused
{
    core::common::failure reason;
    core::common::duration retry{};
};

/// It may have been done: the same request again finds out.
struct job_outcome_unknown
{
    core::common::failure reason;
};

/// It can't be a job; the same again won't be one either.
struct job_invalid
{
    core::common::failure reason;
};

/// No job of this name was ever accepted, as far back as states are kept.
struct job_not_found
{
};

/// No queue belongs to this host and path.
struct queue_not_found
{
};

struct job_status
{
    job_state state = job_state::queued;
};

struct queue_status
{
    std::uint64_t pending = 0; ///< Jobs of which no task has started.
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

/// Whether the balancer should send new connections here.
struct readiness
{
    bool ready = false;
};

enum class duration_metric : std::uint8_t
{
    accept,         ///< From a submission to its answer.
    wait_to_start,  ///< From the acceptance of a job to its first start.
    job,            ///< From the acceptance of a job to its recorded end.
    end_to_durable, ///< From hearing of an end to having written it.
    takeover,       ///< From the claim to knowing what runs.
};

/// One length of time for the histograms.
struct duration_sample
{
    duration_metric metric = duration_metric::accept;
    core::common::duration elapsed{};
};

using pool_action = std::variant<kv_call,
                                 pool_order,
                                 policy_request,
                                 job_reply,
                                 log_event,
                                 duration_sample,
                                 readiness,
                                 stop_complete>;

using pool_actions = std::vector<pool_action>;

} // namespace fuchsia::ports
