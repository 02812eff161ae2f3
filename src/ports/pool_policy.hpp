#pragma once

#include "core/common/time.hpp"
#include "ports/pool_workers.hpp"

#include <cstdint>
#include <string>
#include <vector>

// Interface to the policy service, which decides which workers may run a step.
// It accepts one concurrent call from each instance.
namespace fuchsia::ports
{

struct policy_request
{
    std::uint64_t id = 0;
    task_name step; ///< Step to be placed; `index` is unused.
    std::vector<std::string> workers;
    core::common::duration timeout{};
};

/// Permission to start tasks of the step on one worker.
struct policy_ticket
{
    std::string worker;
    std::string ticket;
};

struct policy_reply
{
    std::uint64_t id = 0;
    bool answered = false;
    std::vector<policy_ticket> allowed;
    core::common::duration valid{};
};

} // namespace fuchsia::ports
