#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// Interface of the core to the platform's key-value service. A version is the
// store's modification index; a key that does not exist has version 0.
namespace fuchsia::ports
{

/// Part of the core that made a call; the reply is returned to that part.
enum class store_requester : std::uint8_t
{
    membership,
    claims,
    configuration,
    requests,
    tasks,
    administration,
};

/// Identifies one call; unique within a process.
struct call_id
{
    store_requester requester = store_requester::membership;
    std::uint64_t number = 0;

    auto operator<=>(call_id const&) const = default;
};

struct store_read
{
    std::string key;
};

/// Lists all keys that begin with `prefix`.
struct store_list
{
    std::string prefix;
};

/// Compare-and-swap: writes only if the key's version is `expected_version` (0:
/// the key must not exist).
struct store_write
{
    std::string key;
    std::string value;
    std::uint64_t expected_version = 0;
};

/// Deletes the key only if its version is `expected_version`.
struct store_erase
{
    std::string key;
    std::uint64_t expected_version = 0;
};

/// Long poll: waits until a key below `prefix` is newer than `index` or `wait`
/// has elapsed. The reply has the form of a list. Counts as one call to the
/// store.
struct store_watch
{
    std::string prefix;
    std::uint64_t index = 0;
    core::common::duration wait{};
};

using store_operation =
    std::variant<store_read, store_list, store_write, store_erase, store_watch>;

struct store_call
{
    call_id id;
    store_operation operation;
};

enum class store_status : std::uint8_t
{
    done,        ///< The store confirmed the call.
    conflict,    ///< The version differed; nothing was changed.
    unavailable, ///< The call was never sent and had no effect.
    unclear,     ///< No answer: the call may have taken effect, or still may.
};

struct store_entry
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// The reply to `store_call`. A read of a key that does not exist is `done`
/// without entries. After a successful write, `index` is the new version of the
/// key. An adapter replies to each call exactly once, within its time-out.
struct store_reply
{
    call_id id;
    store_status status = store_status::unclear;
    std::vector<store_entry> entries;
    std::uint64_t index = 0;
};

} // namespace fuchsia::ports
