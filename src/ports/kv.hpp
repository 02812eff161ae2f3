#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// A revisioned key-value store with transactions, leases and watches, as the
// scheduler of a pool sees it. One revision counter covers all keys; a key
// that does not exist has revision 0.
namespace fuchsia::ports
{

struct kv_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;        ///< Of its last change.
    std::uint64_t create_revision = 0; ///< Revision at which it came to be.
    std::uint64_t lease = 0;           ///< 0: the key outlives every lease.
    bool erased = false;               ///< In the answer to a watch.
};

/// One key; `missing` where it does not exist.
struct kv_read
{
    std::string key;
    bool allow_stale = false; ///< A tenth of the price; may be seconds behind.
};

/// One page of the keys that begin with `prefix` and come behind `after`.
/// Pages are no snapshot of one moment.
struct kv_range
{
    std::string prefix;
    std::string after;
};

/// Answers as soon as a key below `prefix` is newer than `after`, or with
/// nothing once `wait` is over.
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

/// All or nothing, where every key of `expected` has just that revision.
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
    conflict,  ///< A commit's condition did not hold; nothing was changed.
    missing,   ///< No such key or lease.
    compacted, ///< A watch is to read anew: its history is gone, or too long.
    refused,   ///< The store, or the way to it, did nothing.
    unclear,   ///< No answer: it may have taken effect, or may yet.
};

struct kv_reply
{
    std::uint64_t id = 0;
    kv_status status = kv_status::unclear;
    std::vector<kv_item> items;
    bool more = false; ///< A range has another page.
    /// The store's revision when it answered; of a commit, the new one.
    std::uint64_t revision = 0;
    std::uint64_t lease = 0; ///< Of a grant.
};

} // namespace fuchsia::ports
