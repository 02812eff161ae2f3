#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// What operators have set, as the scheduler of a pool needs it.
namespace fuchsia::core::pool
{

/// A policy that allows the queue's steps on some workers only.
struct policy_rules
{
    common::duration decision{};   ///< Time of one call,
    common::duration per_worker{}; ///< and for each worker that it names.
};

/// A queue of jobs; requests find it by host and path.
struct queue
{
    std::string name;
    std::string host;
    std::string prefix;  ///< Of the path; what follows it is the job's id.
    std::string service; ///< Whose workers run its tasks.
    std::uint32_t priority = 0;  ///< 0 comes first.
    std::uint32_t attempts = 1;  ///< Failed runs that end a job.
    double deadline_stretch = 1; ///< Of the longest chain, for its deadline.
    common::duration deadline_slack{}; ///< Added to the stretched chain.
    std::optional<policy_rules> policy;
};

struct service
{
    std::string name;
    bool enforces_capacity = true; ///< Workers refuse what does not fit.
    bool standby = false;          ///< Its workers are switched off.
};

struct configuration
{
    std::uint64_t version = 0; ///< 0: none was read yet.
    std::vector<queue> queues;
    std::map<std::string, service> services;

    /// The queue with the longest prefix of `path` on `host`; null: none.
    queue const* find(std::string_view host,
                      std::string_view path) const noexcept;
    queue const* named(std::string_view name) const noexcept;
};

/// Everything operators may write, with what it was read from.
struct operator_state
{
    configuration config;
    std::set<std::string> data_centres_out;
    /// Every change that was written before then is in it.
    common::time_point current_as_of{};
};

} // namespace fuchsia::core::pool
