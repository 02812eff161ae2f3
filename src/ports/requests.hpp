#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Requests of callers, exchanges with upstreams, and the answers to both.
namespace fuchsia::ports
{

enum class request_class : std::uint8_t
{
    latency_critical,
    batch,
};

std::string_view name_of(request_class value) noexcept;
std::optional<request_class> request_class_from(std::string_view name) noexcept;

struct header
{
    std::string name;
    std::string value;

    bool operator==(header const&) const = default;
};

/// A caller's request, whose headers the HTTP adapter has already validated.
struct caller_request
{
    std::string customer;
    request_class kind = request_class::latency_critical;
    std::string method;          ///< GET, POST, PUT or DELETE.
    std::string target;          ///< Path and query.
    std::vector<header> headers; ///< Headers passed on to the upstream.
    std::string body;
    std::string idempotency_key; ///< Empty if the caller sent none.
    std::uint32_t attempt = 0;   ///< 1 for the first attempt; 0: not stated.
    /// Time left when the request was received, from the caller's
    /// Fuchsia-Deadline-Ms header.
    core::common::duration deadline{};
};

/// The answer to a caller: the complete answer of an upstream, or a refusal by
/// this system.
struct caller_answer
{
    std::uint16_t status = 0;
    std::vector<header> headers;
    std::string body;
    core::common::result_code code = core::common::result_code::ok;
    core::common::outcome outcome = core::common::outcome::ran;
    /// Time after which the caller may retry; only set on refusals.
    core::common::duration retry_after{};
};

/// One request to one upstream. `exchange` is copied to `upstream_end`.
struct upstream_send
{
    std::uint64_t exchange = 0;
    std::string upstream;
    endpoint remote_endpoint;
    caller_request request;
    /// Time after which the adapter reports `timed_out`, or `not_sent` if it
    /// has sent nothing by then. After `timed_out` it keeps the connection open
    /// and drains the late answer.
    core::common::duration timeout{};
};

enum class exchange_status : std::uint8_t
{
    answered,  ///< The complete answer was received.
    not_sent,  ///< No byte of the request was sent.
    timed_out, ///< The timeout passed; the request may still be running.
    drained,   ///< After `timed_out`: the late answer is complete.
    lost,      ///< The connection ended before the answer was complete.
    /// The answer exceeded its size limit, and the connection was closed.
    too_large,
};

/// The end of an exchange. After `timed_out` a second end follows, either
/// `drained` or `lost`.
struct upstream_end
{
    std::uint64_t exchange = 0;
    exchange_status status = exchange_status::lost;
    std::uint16_t http_status = 0;
    std::vector<header> headers;
    std::string body;
};

} // namespace fuchsia::ports
