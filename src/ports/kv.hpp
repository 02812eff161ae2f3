#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// Interface of the pool scheduler to a revisioned key-value store with
// transactions, leases and watches. One revision counter covers all keys; a key
// that does not exist has revision 0.
namespace fuchsia::ports
{

struct kv_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;        ///< Revision of the key's last change.
    std::uint64_t create_revision = 0; ///< Revision of its creation.
    std::uint64_t lease = 0;           ///< 0: bound to no lease.
    bool erased = false;               ///< Only set in watch replies.
};

/// Reads one key; the reply is `missing` if the key does not exist.
struct kv_read
{
    std::string key;
    bool allow_stale = false; ///< A tenth of the price; may lag by seconds.
};

/// Reads one page of the keys that begin with `prefix` and sort after `after`.
/// The pages together are not a consistent snapshot.
struct kv_range
{
    std::string prefix;
    std::string after;
};

/// Long poll: replies as soon as a key below `prefix` has a revision newer than
/// `after`, or without items once `wait` has elapsed.
struct kv_watch
{
    std::string prefix;
    std::uint64_t after = 0;
    core::common::duration wait{};
};

struct kv_precondition
{
    std::string key;
    std::uint64_t revision = 0;
};

struct kv_put
{
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
};

/// Atomic transaction: applies all changes if every key of `preconditions` has
/// exactly the given revision, and none otherwise.
struct kv_commit
{
    std::vector<kv_precondition> preconditions;
    std::vector<kv_put> puts;
    std::vector<std::string> erases;
};

struct kv_lease_grant
{
    core::common::duration ttl{};
};

struct kv_lease_renew
{
    std::uint64_t lease = 0;
};

struct kv_lease_revoke
{
    std::uint64_t lease = 0;
};

using kv_operation = std::variant<kv_read,
                                  kv_range,
                                  kv_watch,
                                  kv_commit,
                                  kv_lease_grant,
                                  kv_lease_renew,
                                  kv_lease_revoke>;

struct kv_call
{
    std::uint64_t id = 0;
    kv_operation operation;
    core::common::duration timeout{};
};

enum class kv_status : std::uint8_t
{
    done,
    conflict,  ///< A precondition of a commit failed; nothing was changed.
    missing,   ///< The key or lease does not exist.
    compacted, ///< The history of a watch is gone or too long; read again.
    refused,   ///< Rejected, or never reached the store; no effect.
    unclear,   ///< No answer: the call may have taken effect, or still may.
};

struct kv_reply
{
    std::uint64_t id = 0;
    kv_status status = kv_status::unclear;
    std::vector<kv_item> items;
    bool more = false; ///< Whether a range has another page.
    /// Revision of the store when it answered; for a commit, the new revision.
    std::uint64_t revision = 0;
    std::uint64_t lease = 0; ///< Lease that was granted.
};

} // namespace fuchsia::ports
