#pragma once

#include "adapters/http/message.hpp"
#include "ports/requests.hpp"

#include <optional>

// Callers' HTTP messages and the requests and answers they stand for
// (docs/API.md).
namespace fuchsia::adapters::callers
{

/// Reads and checks the headers of a caller's request; `reason` names the
/// header that is wrong. Takes the body and headers out of `message`.
std::optional<ports::caller_request>
parse_caller_request(http::request& message, core::common::failure& reason);

/// The first thing wrong with a request's method or headers; empty where none.
std::optional<core::common::failure>
find_header_error(http::request const& message);

http::response to_response(ports::caller_answer answer);

} // namespace fuchsia::adapters::callers
