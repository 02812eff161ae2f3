#pragma once

#include "adapters/http/message.hpp"
#include "ports/requests.hpp"

#include <optional>

// Conversion between callers' HTTP messages and requests and answers of the
// engine (docs/API.md).
namespace fuchsia::adapters::callers
{

/// Checks and reads the headers of a caller's request and moves headers and
/// body out of `message`. If a header is invalid, the result is empty and
/// `reason` names the header.
std::optional<ports::caller_request>
parse_caller_request(http::request& message, core::common::failure& reason);

/// Returns the first error in the method or headers of a request; empty if
/// there is none.
std::optional<core::common::failure>
find_header_error(http::request const& message);

/// Returns the HTTP response for `answer`.
http::response to_response(ports::caller_answer answer);

} // namespace fuchsia::adapters::callers
