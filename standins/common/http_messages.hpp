#pragma once

#include "adapters/http/message.hpp"
#include "core/common/json.hpp"

#include <boost/json.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What all stand-ins do with HTTP messages.
namespace fuchsia::standins
{

/// A request target in its parts, percent signs decoded.
struct request_target
{
    std::string path;
    std::map<std::string, std::string, std::less<>> query;

    /// The part of `path` after `prefix`; empty where it doesn't begin so.
    std::optional<std::string_view> after(std::string_view prefix) const;
    bool has(std::string_view key) const;
    std::string_view text(std::string_view key) const;
    /// The whole number under `key`; empty where absent or malformed.
    std::optional<std::uint64_t> number(std::string_view key) const;
};

/// Empty where a percent sign is not followed by two hexadecimal digits.
std::optional<request_target> parse_target(std::string_view target);

std::optional<std::uint64_t> parse_number(std::string_view text) noexcept;

adapters::http::response plain_response(std::uint16_t status, std::string text);
adapters::http::response json_response(boost::json::value const& body);
/// `{"why":"..."}`.
adapters::http::response error_response(std::uint16_t status,
                                        std::string_view why);

/// One row of a stand-in's books.
struct counter_row
{
    std::string_view name;
    std::uint64_t count = 0;
};

/// The answer to GET /control/counts.
adapters::http::response
counters_response(std::vector<counter_row> const& rows);

} // namespace fuchsia::standins
