#pragma once

#include "core/common/time.hpp"
#include "ports/identity.hpp"
#include "ports/requests.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsia::core::requests
{

enum class request_stage : std::uint8_t
{
    arrived,     ///< Being decided on.
    parked,      ///< Waits for a slice of its customer's contract.
    seeking,     ///< Waits for its key's partition to change its owner.
    queued,      ///< Waits for a slot.
    joined,      ///< Waits for another sending of its key.
    at_upstream, ///< Sent to an upstream.
    at_peer,     ///< Forwarded to another entry.
    lingering,   ///< Answered, but may still run somewhere.
};

/// One request from its arrival until it certainly runs nowhere any more.
struct open_request
{
    std::uint64_t id = 0;
    request_stage stage = request_stage::arrived;

    /// Where the answer goes: to a caller of our own, or, where `from` has a
    /// name, to the peer that forwarded it.
    std::uint64_t caller = 0;
    ports::member_identity from;
    std::uint64_t forwarded_id = 0;
    bool spilled_here = false; ///< Forwarded for a free slot, not for its key.

    ports::caller_request request;
    common::time_point received;
    common::time_point expires;
    bool idempotent = false;

    // Of requests that run at most once by their key.
    bool keyed = false;
    std::string key;
    std::uint32_t partition = 0;
    std::uint64_t fingerprint = 0;
    bool vouched = false; ///< See `key_memory`.
    /// Until when it may wait for another owner.
    std::optional<common::time_point> seek_until;
    bool begun = false; ///< The key is remembered as running by this one.

    bool charged = false;   ///< Counts against the customer's slice.
    bool answered = false;  ///< The caller has its answer.
    bool maybe_ran = false; ///< A try was lost with its answer.
    bool spilled = false;   ///< Was forwarded for a free slot once.
    std::uint32_t tries = 0;
    std::optional<std::uint32_t> avoid; ///< Upstream of the last try.

    // Of the try that is under way.
    std::uint64_t sending = 0; ///< Exchange, or id of the forwarded request.
    ports::member_identity peer;
    common::time_point sent;

    std::optional<common::time_point> timer;

    bool is_local() const noexcept
    {
        return from.name.empty();
    }
};

} // namespace fuchsia::core::requests
