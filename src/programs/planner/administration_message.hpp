#pragma once

#include "adapters/http/message.hpp"
#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "core/config/follower.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Parsing of administration requests and formatting of their answers.
namespace fuchsia::programs::planner
{

/// Path and query of a request target.
struct parsed_target
{
    std::vector<std::string> path; ///< Without the leading "v1".
    std::map<std::string, std::string, std::less<>> query;
};

/// Parses a request target. Empty if the path does not begin with /v1/.
std::optional<parsed_target> parse_target(std::string_view target);

/// Parses a decimal number without sign. Empty if `text` is anything else.
std::optional<std::uint64_t> parse_number(std::string_view text) noexcept;

/// Parses `{"state":"out"}` or `{"state":"in"}`; returns whether the state is
/// "out".
std::optional<bool> parse_data_centre_state(std::string_view body,
                                            core::common::failure& reason);

/// A 200 response with `body`.
adapters::http::response json_answer(boost::json::object const& body);

/// A refusal that contains the newest revision beside its reason.
adapters::http::response conflict_answer(core::common::failure const& reason,
                                         std::uint64_t revision);

/// Milliseconds since the store last confirmed the configuration; null if it
/// never did.
boost::json::value
confirmed_ms_ago(core::common::time_point now,
                 core::config::configuration_follower const& follower);

} // namespace fuchsia::programs::planner
