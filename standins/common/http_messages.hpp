#pragma once

#include "adapters/http/message.hpp"
#include "core/common/json.hpp"

#include <boost/json.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Helpers for HTTP messages that all stand-ins share.
namespace fuchsia::standins
{

/// A request target split into path and query, with percent-encoding decoded.
struct request_target
{
    std::string path;
    std::map<std::string, std::string, std::less<>> query;

    /// Returns the part of `path` after `prefix`, or nothing if `path` does not
    /// begin with `prefix`.
    std::optional<std::string_view> after(std::string_view prefix) const;
    bool has(std::string_view key) const;
    std::string_view text(std::string_view key) const;
    /// Returns the unsigned integer under `key`, or nothing if it is absent or
    /// malformed.
    std::optional<std::uint64_t> number(std::string_view key) const;
};

/// Parses a request target. Returns nothing if a percent sign is not followed
/// by two hexadecimal digits.
std::optional<request_target> parse_target(std::string_view target);

std::optional<std::uint64_t> parse_number(std::string_view text) noexcept;

adapters::http::response plain_response(std::uint16_t status, std::string text);
adapters::http::response json_response(boost::json::value const& body);
/// Returns a response with the body `{"why":"..."}`.
adapters::http::response error_response(std::uint16_t status,
                                        std::string_view reason);

/// Name and value of one counter of a stand-in.
struct counter_row
{
    std::string_view name;
    std::uint64_t count = 0;
};

/// Returns the response to GET /control/counts.
adapters::http::response
counters_response(std::vector<counter_row> const& rows);

} // namespace fuchsia::standins
