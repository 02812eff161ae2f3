#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The platform's key-value service without its sockets: versions,
// compare-and-swap, leases and blocking queries.
namespace fuchsia::standins::platform
{

struct store_limits
{
    std::size_t value_bytes = 1024 * 1024;
    std::size_t key_bytes = 512;
    std::size_t keys = 500'000;
    std::size_t sessions = 10'000;
    std::size_t held_queries = 10'000;
    /// Deletions that blocking queries can still see.
    std::size_t tombstones = 65'536;
};

struct stored_value
{
    std::string value;
    std::uint64_t create_index = 0;
    std::uint64_t modify_index = 0;
    std::uint64_t lock_index = 0;
    std::string session; ///< That holds the key; empty: nobody.
};

enum class change_status : std::uint8_t
{
    done,
    conflict,  ///< The version or the holder was another; nothing changed.
    too_large, ///< The value, the key or the store is over its bound.
};

struct change_result
{
    change_status status = change_status::done;
    std::uint64_t index = 0; ///< The key's new version after `done`.
};

/// One blocking query that is held back; `number` is its holder's own.
struct held_query
{
    std::uint64_t number = 0;
    std::string key;
    bool recurse = false;
    std::uint64_t index = 0;
    core::common::time_point until{};
};

class store_state
{
public:
    using entries = std::map<std::string, stored_value, std::less<>>;

    explicit store_state(store_limits limits = {});

    /// The newest index of the store; rises with every change.
    std::uint64_t index() const noexcept;
    stored_value const* find(std::string_view key) const;
    /// The range of keys that begin with `prefix`, sorted.
    std::pair<entries::const_iterator, entries::const_iterator>
    below(std::string_view prefix) const;

    /// Writes where the key's version is `expected` (0: absent); without
    /// `expected`, always.
    change_result write(std::string_view key,
                        std::string value,
                        std::optional<std::uint64_t> expected);
    change_result erase(std::string_view key,
                        std::optional<std::uint64_t> expected);

    /// Opens a lease; its id, or nothing where there are too many.
    std::optional<std::string> open_session(core::common::time_point now,
                                            core::common::duration life);
    bool renew_session(core::common::time_point now, std::string_view id);
    /// Ends a lease, whether its holder or a fault wants it.
    bool end_session(std::string_view id);
    /// Writes and takes the key for a lease; conflict where another holds it
    /// or the lease has ended.
    change_result
    acquire(std::string_view key, std::string value, std::string_view session);
    change_result
    release(std::string_view key, std::string value, std::string_view session);

    /// Holds the query back; false where its answer is due at once, or where
    /// too many wait.
    bool hold(held_query query);
    void drop(std::uint64_t number);
    /// Ends leases that ran out, and takes out the queries whose change came
    /// or whose wait is over.
    std::vector<held_query> take_due(core::common::time_point now);

private:
    struct session
    {
        core::common::duration life{};
        core::common::time_point until{};
    };
    struct tombstone
    {
        std::string key;
        std::uint64_t index = 0;
    };

    bool fits(std::string_view key, std::string const& value) const;
    void changed(std::string_view key);
    void release_all_of(std::string_view session);
    std::uint64_t newest_change(std::string_view key, bool recurse) const;

    store_limits limits_;
    std::uint64_t index_ = 1;
    entries entries_;
    std::map<std::string, session, std::less<>> sessions_;
    std::uint64_t sessions_opened_ = 0;
    std::deque<tombstone> tombstones_;
    std::uint64_t newest_forgotten_ = 0; ///< Index of a dropped tombstone.
    std::vector<held_query> held_;
    std::vector<held_query> due_;
};

} // namespace fuchsia::standins::platform
