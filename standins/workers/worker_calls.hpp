#pragma once

#include "core/common/result_code.hpp"
#include "ports/workers.hpp"
#include "standins/workers/worker_pool.hpp"

#include <boost/json.hpp>
#include <optional>
#include <string_view>

// Messages of the workers' agent in the formats that docs/API.md defines.
namespace fuchsia::standins::workers
{

/// Parses the body of a call whose path ends in `operation`.
std::optional<ports::worker_operation>
parse_call(std::string_view operation,
           std::string_view body,
           core::common::failure& reason);

boost::json::object to_json(ports::worker_instance const& worker);
boost::json::object to_json(ports::worker_report const& report);
boost::json::object to_json(call_result const& result);

} // namespace fuchsia::standins::workers
