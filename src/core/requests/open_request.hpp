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
    arrived,           ///< Admission is not decided yet.
    awaiting_slice,    ///< Waits for a slice of its customer's contract.
    awaiting_owner,    ///< Waits for a change of its partition's owner.
    queued,            ///< Waits for a slot.
    awaiting_same_key, ///< Waits for the answer to another sending of its key.
    at_upstream,       ///< Sent to an upstream.
    at_peer,           ///< Forwarded to another entry.
    awaiting_unseen_end, ///< Answered, but may still run on an upstream.
};

/// One request, from its arrival until it certainly no longer runs anywhere.
struct open_request
{
    std::uint64_t id = 0;
    request_stage stage = request_stage::arrived;

    /// Caller that gets the answer. If `forwarded_by` has a name, the answer
    /// goes to that peer instead.
    std::uint64_t caller = 0;
    ports::member_identity forwarded_by;
    std::uint64_t forwarded_id = 0;
    /// Whether a peer without a free slot forwarded it, not an entry that does
    /// not own its key.
    bool received_as_spill = false;

    ports::caller_request request;
    common::time_point received;
    common::time_point expires;
    bool idempotent = false;

    // Members for requests whose key makes them run at most once.
    bool has_key = false;
    std::string key;
    std::uint32_t partition = 0;
    std::uint64_t fingerprint = 0;
    bool first_sending_confirmed = false; ///< See `key_memory`.
    /// Time until which it may wait for a change of the partition's owner.
    std::optional<common::time_point> await_owner_until;
    /// Whether the key memory holds the key as running on behalf of this
    /// request.
    bool key_begun = false;

    bool counted_in_slice = false; ///< Uses capacity of the customer's slice.
    bool answered = false;         ///< The answer was sent.
    bool may_have_run = false;     ///< The answer to an attempt was lost.
    bool spilled = false;          ///< Was forwarded to a free slot of a peer.
    std::uint32_t attempts = 0;
    std::optional<std::uint32_t>
        last_upstream; ///< Upstream of the last attempt.

    // Members for the current attempt.
    std::uint64_t attempt_id =
        0; ///< Id of the exchange or of the forwarded request.
    ports::member_identity peer;
    common::time_point attempt_sent_at;

    std::optional<common::time_point> timer_due; ///< Time of the set timer.

    bool is_local() const noexcept
    {
        return forwarded_by.name.empty();
    }
};

} // namespace fuchsia::core::requests
