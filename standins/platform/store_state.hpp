#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The platform's key-value store without sockets: versions, compare-and-swap,
// leases and blocking queries.
namespace fuchsia::standins::platform
{

struct store_limits
{
    std::size_t value_bytes = 1024 * 1024;
    std::size_t key_bytes = 512;
    std::size_t keys = 500'000;
    std::size_t sessions = 10'000;
    std::size_t held_queries = 10'000;
    /// Number of retained deletions, which blocking queries can still
    /// observe.
    std::size_t tombstones = 65'536;
};

struct stored_value
{
    std::string value;
    std::uint64_t create_index = 0;
    std::uint64_t modify_index = 0;
    std::uint64_t lock_index = 0;
    std::string session; ///< Session that holds the key; empty if none does.
};

enum class change_status : std::uint8_t
{
    done,
    conflict,  ///< The version or the holder differs; nothing changed.
    too_large, ///< The value, the key or the store exceeds its limit.
};

struct change_result
{
    change_status status = change_status::done;
    std::uint64_t index = 0; ///< New version of the key if `done`.
};

/// Blocking query that waits for a change. `number` is assigned by the caller
/// and identifies the query.
struct held_query
{
    std::uint64_t number = 0;
    std::string key;
    bool recurse = false;
    std::uint64_t index = 0;
    core::common::time_point deadline{};
};

class store_state
{
public:
    using entries = std::map<std::string, stored_value, std::less<>>;

    explicit store_state(store_limits limits = {});

    /// Returns the newest index of the store, which grows with every change.
    std::uint64_t index() const noexcept;
    stored_value const* find(std::string_view key) const;
    /// Returns the range of keys that begin with `prefix`, in sorted order.
    std::pair<entries::const_iterator, entries::const_iterator>
    below(std::string_view prefix) const;

    /// Writes the value if the version of the key is `expected` (0 if the key
    /// must be absent), or unconditionally if `expected` is empty.
    change_result write(std::string_view key,
                        std::string value,
                        std::optional<std::uint64_t> expected);
    change_result erase(std::string_view key,
                        std::optional<std::uint64_t> expected);

    /// Opens a session, which is a lease. Returns its id, or nothing if there
    /// are too many sessions.
    std::optional<std::string> open_session(core::common::time_point now,
                                            core::common::duration ttl);
    bool renew_session(core::common::time_point now, std::string_view id);
    /// Ends a session at the request of its holder or of an injected fault.
    bool end_session(std::string_view id);
    /// Writes the value and locks the key for the session. Returns a conflict
    /// if another session holds the key or the session has ended.
    change_result
    acquire(std::string_view key, std::string value, std::string_view session);
    change_result
    release(std::string_view key, std::string value, std::string_view session);

    /// Adds a waiting query. Returns false if its response is due at once or
    /// too many queries wait.
    bool hold(held_query query);
    void drop(std::uint64_t number);
    /// Ends expired sessions, then removes and returns the queries whose key
    /// has changed or whose wait is over.
    std::vector<held_query> take_due(core::common::time_point now);

private:
    struct session
    {
        core::common::duration ttl{};
        core::common::time_point deadline{};
    };
    struct tombstone
    {
        std::string key;
        std::uint64_t index = 0;
    };

    bool within_limits(std::string_view key, std::string const& value) const;
    void on_change(std::string_view key);
    void release_all_keys(std::string_view session);
    std::uint64_t newest_change(std::string_view key, bool recurse) const;

    store_limits limits_;
    std::uint64_t index_ = 1;
    entries entries_;
    std::map<std::string, session, std::less<>> sessions_;
    std::uint64_t sessions_opened_ = 0;
    std::deque<tombstone> tombstones_;
    /// Index of the newest evicted tombstone.
    std::uint64_t newest_evicted_index_ = 0;
    std::vector<held_query> waiting_queries_;
    std::vector<held_query> due_queries_;
};

} // namespace fuchsia::standins::platform
