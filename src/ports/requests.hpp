#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Callers' requests, upstream exchanges and their answers.
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

/// A caller's request, headers already checked by the HTTP adapter.
struct caller_request
{
    std::string customer;
    request_class kind = request_class::latency_critical;
    std::string method;          ///< GET, POST, PUT or DELETE.
    std::string target;          ///< Path and query.
    std::vector<header> headers; ///< Those that are passed on.
    std::string body;
    std::string idempotency_key; ///< Empty where the caller sent none.
    std::uint32_t attempt = 0;   ///< 1 tells a first sending; 0: not said.
    /// Time left when the request came in, the caller's Fuchsia-Deadline-Ms.
    core::common::duration deadline{};
};

/// What the caller gets: an upstream's whole answer, or our own refusal.
struct caller_answer
{
    std::uint16_t status = 0;
    std::vector<header> headers;
    std::string body;
    core::common::result_code code = core::common::result_code::ok;
    core::common::outcome outcome = core::common::outcome::ran;
    /// When to come back; only on refusals.
    core::common::duration retry_after{};
};

/// One request sent to one upstream. `exchange` comes back with its end.
struct upstream_send
{
    std::uint64_t exchange = 0;
    std::string upstream;
    endpoint remote_endpoint;
    caller_request request;
    /// How long the adapter waits before it says `timed_out`; it then keeps
    /// the connection and drains the late answer.
    core::common::duration timeout{};
};

enum class exchange_status : std::uint8_t
{
    answered,  ///< The whole answer came.
    not_sent,  ///< No connection; no byte went out.
    timed_out, ///< Given up; the upstream may still be running it.
    drained,   ///< After `timed_out`: the late answer came in whole.
    lost,      ///< The connection ended before the answer was whole.
    too_large, ///< The answer exceeded its bound; the connection was closed.
};

/// The end of an exchange; after `timed_out` a second one follows: `drained`
/// or `lost`.
struct upstream_end
{
    std::uint64_t exchange = 0;
    exchange_status status = exchange_status::lost;
    std::uint16_t http_status = 0;
    std::vector<header> headers;
    std::string body;
};

} // namespace fuchsia::ports
