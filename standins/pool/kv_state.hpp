#pragma once

#include "ports/kv.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace fuchsia::standins::pool
{

/// A revisioned key-value store in memory: transactions, leases, watches, and
/// a history that can be forgotten. No sockets and no clock of its own.
class kv_state
{
public:
    /// Empty for a watch that has nothing to say yet; ask again after a change
    /// or when its wait is over.
    std::optional<ports::kv_reply> answer(core::common::time_point now,
                                          ports::kv_operation const& operation);
    /// Removes the keys of leases that ran out.
    void expire(core::common::time_point now);
    /// A watch from before this moment is told that its history is gone.
    void compact() noexcept;
    /// From now on reads that may be old are answered as of now.
    void freeze_stale_reads();
    /// Takes a key away, whatever its lease says.
    void expire_key(std::string const& key);
    /// Writes as the operator or a worker would.
    void put(std::string const& key, std::string value);
    void erase(std::string const& key);
    /// Loses a key and the memory of it, as no store may.
    void lose_key(std::string const& key);
    /// Ends all leases at once.
    void expire_all_leases();

    std::uint64_t revision() const noexcept;
    std::optional<ports::kv_item> find(std::string const& key) const;
    /// When the next lease runs out; empty where there is none.
    std::optional<core::common::time_point> next_expiry() const;

private:
    struct lease
    {
        core::common::duration ttl{};
        core::common::time_point until{};
    };

    ports::kv_reply range(ports::kv_range const& call) const;
    ports::kv_reply read(ports::kv_read const& call) const;
    std::optional<ports::kv_reply> watch(ports::kv_watch const& call) const;
    ports::kv_reply commit(ports::kv_commit const& call);
    void store(ports::kv_put const& put);
    void remove(std::string const& key);
    void end_lease(std::uint64_t id);

    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
    std::uint64_t next_lease_ = 100;
    std::map<std::string, ports::kv_item> items_;
    std::optional<std::map<std::string, ports::kv_item>> old_items_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<ports::kv_item> history_;
};

} // namespace fuchsia::standins::pool
