#pragma once

#include "core/pool/job.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace fuchsia::core::pool
{

/// Hands a job in; its id and queue follow from the path.
struct submit_request
{
    job job_spec;
};

/// The state of the job, or, where the path names none, of the queue.
struct query_request
{
};

struct cancel_request
{
};

struct pool_request
{
    std::uint64_t caller = 0;
    std::string host;
    std::string path;
    std::variant<submit_request, query_request, cancel_request> action;
};

} // namespace fuchsia::core::pool
