#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "ports/identity.hpp"
#include "ports/requests.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::adapters::http
{

/// A complete HTTP request, as received by a server or sent by a client.
struct request
{
    std::string method;
    std::string target;
    std::vector<ports::header> headers;
    std::string body;
    std::string remote_address; ///< Address of the client; set by servers only.

    /// Returns the value of the first header with this name, ignoring case.
    std::optional<std::string_view>
    header(std::string_view name) const noexcept;
};

struct response
{
    std::uint16_t status = 200;
    std::vector<ports::header> headers;
    std::string body;

    /// Returns the value of the first header with this name, ignoring case.
    std::optional<std::string_view>
    header(std::string_view name) const noexcept;
};

/// Returns a response with the given status and a JSON body.
response json_response(std::uint16_t status, std::string body);

/// Returns an error response in the format of docs/API.md. The result code
/// determines the HTTP status; its number and name are in a header and in the
/// body. A second header states the outcome that the caller may assume for the
/// request.
response failure_response(core::common::failure const& reason);

/// Returns whether a header must not be forwarded, because it applies to a
/// single connection or is set by the HTTP client or server itself.
bool is_hop_by_hop(std::string_view header_name) noexcept;

/// Compares two strings in a run time that does not reveal where they differ.
bool equal_in_constant_time(std::string_view lhs,
                            std::string_view rhs) noexcept;

/// Parses an endpoint such as "127.0.0.1:8080" or "[::1]:8080". The result is
/// empty if the text is not an IP address with a port.
std::optional<ports::endpoint> parse_endpoint(std::string_view text) noexcept;
std::string to_string(ports::endpoint const& value);

} // namespace fuchsia::adapters::http
