#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The platform's key-value service as the core sees it. Versions are the
// store's modification indexes: a key that does not exist has version 0.
namespace fuchsia::ports
{

/// Which part of the core asked; answers are handed back to that part.
enum class store_requester : std::uint8_t
{
    membership,
    claims,
    configuration,
    requests,
    tasks,
    administration,
};

/// Names one call; unique within one process.
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

/// All keys that begin with `prefix`.
struct store_list
{
    std::string prefix;
};

/// Writes only where the key's version is `expected` (0: it must not exist).
struct store_write
{
    std::string key;
    std::string value;
    std::uint64_t expected_version = 0;
};

/// Deletes only where the key's version is `expected`.
struct store_erase
{
    std::string key;
    std::uint64_t expected_version = 0;
};

/// Waits until a key below `prefix` is newer than `index`, or `wait` is over;
/// answers like a list. Counts as one call of the store.
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
    done,        ///< The store said so.
    conflict,    ///< The version was another; nothing was changed.
    unavailable, ///< The call was never sent; it had no effect.
    unclear,     ///< No answer came: it may have taken effect, or may yet.
};

struct store_entry
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// The answer to `store_call`. A read of an absent key is `done` with no
/// entry. After a write that is `done`, `index` is the key's new version.
/// Adapters answer each call exactly once, within their time-out.
struct store_reply
{
    call_id id;
    store_status status = store_status::unclear;
    std::vector<store_entry> entries;
    std::uint64_t index = 0;
};

} // namespace fuchsia::ports
