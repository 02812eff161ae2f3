#pragma once

#include "core/pool/job.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace fuchsia::core::pool
{

/// Submits a job. The path of the request determines its id and queue.
struct submit_request
{
    job job_spec;
};

/// Queries the state of the job in the path, or of the queue if the path
/// contains no job id.
struct query_request
{
};

/// Cancels the job in the path.
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
