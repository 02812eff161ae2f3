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

/// A whole HTTP request, as a server got it or a client sends it.
struct request
{
    std::string method;
    std::string target;
    std::vector<ports::header> headers;
    std::string body;
    std::string remote_address; ///< Of the peer; servers only.

    /// Value of the first header with this name, whatever its case.
    std::optional<std::string_view>
    header(std::string_view name) const noexcept;
};

struct response
{
    std::uint16_t status = 200;
    std::vector<ports::header> headers;
    std::string body;

    std::optional<std::string_view>
    header(std::string_view name) const noexcept;
};

/// JSON answer with `status`.
response json_response(std::uint16_t status, std::string body);

/// A refusal as docs/API.md has it: the code's HTTP status, its number and
/// name in the header and the body, and what a caller may conclude.
response failure_response(core::common::failure const& reason);

/// Whether a header belongs to one connection and is never passed on; these
/// include the ones that the library writes itself.
bool is_hop_by_hop(std::string_view header_name) noexcept;

/// Compares without telling by its run time where the two differ.
bool equal_in_constant_time(std::string_view left,
                            std::string_view right) noexcept;

/// "127.0.0.1:8080" or "[::1]:8080"; empty where it is no IP number and port.
std::optional<ports::endpoint> parse_endpoint(std::string_view text) noexcept;
std::string to_string(ports::endpoint const& value);

} // namespace fuchsia::adapters::http
