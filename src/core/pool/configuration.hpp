#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// The settings of operators, in the form that the scheduler of a pool uses.
namespace fuchsia::core::pool
{

/// Settings of a policy service that restricts the workers of a queue's steps.
struct policy_rules
{
    common::duration decision{};   ///< Fixed time of one call.
    common::duration per_worker{}; ///< Additional time per worker in the call.
};

/// A queue of jobs, selected by the host and path of a request.
struct queue
{
    std::string name;
    std::string host;
    std::string prefix;  ///< Prefix of the path; the rest is the job's id.
    std::string service; ///< Service whose workers run the tasks.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint32_t attempts = 1; ///< Failed attempts of a task that end its job.
    /// Factor on the time of a job's longest chain of steps that gives the
    /// deadline, with `deadline_slack` added.
    double deadline_stretch = 1;
    common::duration deadline_slack{};
    std::optional<policy_rules> policy;
};

struct service
{
    std::string name;
    bool enforces_capacity = true; ///< Workers refuse tasks that do not fit.
    bool standby = false;          ///< The workers are switched off.
};

struct configuration
{
    std::uint64_t version = 0; ///< 0: no configuration has been read.
    std::vector<queue> queues;
    std::map<std::string, service> services;

    /// Returns the queue on `host` with the longest prefix of `path`, or null.
    queue const* find(std::string_view host,
                      std::string_view path) const noexcept;
    /// Returns the queue with this name, or null.
    queue const* named(std::string_view name) const noexcept;
};

/// State of all records that operators write.
struct operator_state
{
    configuration config;
    std::set<std::string> data_centres_out; ///< Out of service.
    /// Time before which every written change is included.
    common::time_point current_as_of{};
};

} // namespace fuchsia::core::pool
