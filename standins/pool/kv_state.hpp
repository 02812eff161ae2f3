#pragma once

#include "ports/kv.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace fuchsia::standins::pool
{

/// In-memory key-value store with revisions, transactions, leases, watches and
/// a history that can be compacted. It has no sockets and no clock of its own.
class kv_state
{
public:
    /// Executes an operation. Empty for a watch without matching events; the
    /// caller repeats it after a change or answers it when its wait is over.
    std::optional<ports::kv_reply> answer(core::common::time_point now,
                                          ports::kv_operation const& operation);
    /// Ends the leases that have expired and removes their keys.
    void expire(core::common::time_point now);
    /// Drops the history: a watch from an earlier revision is answered with
    /// `compacted`.
    void compact() noexcept;
    /// Answers all later reads that allow stale data from a snapshot of the
    /// present state.
    void freeze_stale_reads();
    /// Removes a key even if its lease is still valid.
    void expire_key(std::string const& key);
    /// Writes a key without a lease or precondition, as the operator or a
    /// worker does.
    void put(std::string const& key, std::string value);
    void erase(std::string const& key);
    /// Removes a key and its history without a new revision. A correct store
    /// never does this; it simulates lost data.
    void lose_key(std::string const& key);
    /// Ends all leases at once.
    void expire_all_leases();

    std::uint64_t revision() const noexcept;
    std::optional<ports::kv_item> find(std::string const& key) const;
    /// Time at which the next lease expires; empty if there are no leases.
    std::optional<core::common::time_point> next_expiry() const;

private:
    struct lease
    {
        core::common::duration ttl{};
        core::common::time_point expires_at{};
    };

    ports::kv_reply range(ports::kv_range const& call) const;
    ports::kv_reply read(ports::kv_read const& call) const;
    std::optional<ports::kv_reply> watch(ports::kv_watch const& call) const;
    ports::kv_reply commit(ports::kv_commit const& call);
    void store(ports::kv_put const& put);
    void remove(std::string const& key);
    void end_lease(std::uint64_t id);

    std::uint64_t revision_ = 1;
    std::uint64_t compacted_revision_ = 0;
    std::uint64_t last_lease_id_ = 100;
    std::map<std::string, ports::kv_item> items_;
    std::optional<std::map<std::string, ports::kv_item>> stale_items_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<ports::kv_item> history_;
};

} // namespace fuchsia::standins::pool
