#pragma once

#include "core/common/time.hpp"
#include "ports/pool_workers.hpp"

#include <cstdint>
#include <string>
#include <vector>

// A policy service that knows which workers may run a step. It takes one call
// at a time from each instance.
namespace fuchsia::ports
{

struct policy_request
{
    std::uint64_t id = 0;
    task_name step; ///< Its index means nothing.
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
