#pragma once

#include "adapters/http/message.hpp"
#include "core/pool/engine.hpp"

#include <string>

namespace fuchsia::programs::pool
{

/// Answers operators' questions; changes nothing. Served beside the metrics:
///   GET /v1/pool               this instance, on any
///   GET /v1/pool/workers       on the owner; elsewhere 503
///   GET /v1/pool/jobs          the same; at most 1,000, those next in line
///   GET /v1/pool/jobs/ID       the same; 404 where the job is over
/// Durations are in ms, cores in thousandths, memory in MB.
adapters::http::response answer_operator(core::pool::engine& engine,
                                         std::string const& name,
                                         core::common::time_point now,
                                         std::string const& target);

} // namespace fuchsia::programs::pool
