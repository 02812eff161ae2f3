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
    arrived,             ///< Being decided on.
    awaiting_slice,      ///< Waits for a slice of its customer's contract.
    awaiting_owner,      ///< Waits for its key's partition to change its owner.
    queued,              ///< Waits for a slot.
    awaiting_same_key,   ///< Waits for another sending of its key.
    at_upstream,         ///< Sent to an upstream.
    at_peer,             ///< Forwarded to another entry.
    awaiting_unseen_end, ///< Answered, but may still run somewhere.
};

/// One request from its arrival until it certainly runs nowhere any more.
struct open_request
{
    std::uint64_t id = 0;
    request_stage stage = request_stage::arrived;

    /// Where the answer goes: to a caller of our own, or, where `from` has a
    /// name, to the peer that forwarded it.
    std::uint64_t caller = 0;
    ports::member_identity forwarded_by;
    std::uint64_t forwarded_id = 0;
    bool received_as_spill =
        false; ///< Forwarded for a free slot, not for its key.

    ports::caller_request request;
    common::time_point received;
    common::time_point expires;
    bool idempotent = false;

    // Of requests that run at most once by their key.
    bool has_key = false;
    std::string key;
    std::uint32_t partition = 0;
    std::uint64_t fingerprint = 0;
    bool first_sending_confirmed = false; ///< See `key_memory`.
    /// Until when it may wait for another owner.
    std::optional<common::time_point> await_owner_until;
    bool key_begun = false; ///< The key is remembered as running by this one.

    bool counted_in_slice = false; ///< Counts against the customer's slice.
    bool answered = false;         ///< The caller has its answer.
    bool may_have_run = false;     ///< A try was lost with its answer.
    bool spilled = false;          ///< Was forwarded for a free slot once.
    std::uint32_t attempts = 0;
    std::optional<std::uint32_t> last_upstream; ///< Upstream of the last try.

    // Of the try that is under way.
    std::uint64_t attempt_id = 0; ///< Exchange, or id of the forwarded request.
    ports::member_identity peer;
    common::time_point attempt_sent_at;

    std::optional<common::time_point> timer_due;

    bool is_local() const noexcept
    {
        return forwarded_by.name.empty();
    }
};

} // namespace fuchsia::core::requests
