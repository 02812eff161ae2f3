#pragma once

#include "adapters/http/message.hpp"
#include "core/pool/engine.hpp"

#include <string>

namespace fuchsia::programs::pool
{

/// Answers a read-only request of an operator, served at the metrics address:
///   GET /v1/pool               state of this instance, on any instance
///   GET /v1/pool/workers       on the owner; 503 on other instances
///   GET /v1/pool/jobs          on the owner; the first 1,000 in queue order
///   GET /v1/pool/jobs/ID       on the owner; 404 if the job has ended
/// Durations are in ms, CPU in thousandths of a core, memory in MB.
adapters::http::response answer_operator(core::pool::engine& engine,
                                         std::string const& name,
                                         core::common::time_point now,
                                         std::string const& target);

} // namespace fuchsia::programs::pool
