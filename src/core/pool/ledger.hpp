#pragma once

#include "core/pool/claim.hpp"
#include "core/pool/outbox.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace fuchsia::core::pool
{

struct ledger_settings
{
    common::duration call_timeout = std::chrono::milliseconds(1500);
    /// After a commit that failed.
    common::duration retry = std::chrono::milliseconds(100);
    /// Commits begin at least this far apart unless one is full: each costs a
    /// call whatever it holds, and what is asked for meanwhile shares the next
    /// one. Against 40 ms it saves 9 calls a second at 12 jobs a second, and
    /// an end is known 20 ms later on average, of the 250 ms and more that the
    /// shortest jobs have beyond their work.
    common::duration interval = std::chrono::milliseconds(80);
    /// Changes in one commit; the store takes 32 entries, of which the two
    /// conditions and the common key take three.
    std::size_t max_changes = 29;
};

/// Writes the owner's progress, one commit at a time.
///
/// A commit whose answer is lost may take effect seconds later and put an old
/// record over a newer one: the next owner would run again what had ended.
/// Every commit therefore names the revision of one common key and rewrites
/// it, so that a late one finds another revision there and does nothing.
class ledger
{
public:
    /// One thing to write. All its changes go into the same commit.
    struct entry
    {
        std::vector<ports::kv_put> puts;
        std::vector<std::string> erases;
        std::function<void(common::time_point)> on_durable;
    };

    ledger(ledger_settings settings, claim& held, outbox& out);

    void write(entry what);
    /// Runs `then` once everything written so far is durable.
    void after_all(std::function<void(common::time_point)> then);
    void tick(common::time_point now);
    bool idle() const noexcept;
    /// Entries that are not durable yet.
    std::size_t waiting() const noexcept;
    /// How long the oldest of them has waited; zero where none does.
    common::duration lag(common::time_point now) const noexcept;

private:
    /// Since when each entry waits, the oldest first.
    struct queued
    {
        entry what;
        common::time_point since{};
    };

    void read_revision();
    void commit(common::time_point now);
    void on_commit(common::time_point now, ports::kv_reply const& reply);

    ledger_settings settings_;
    claim& claim_;
    outbox& out_;
    scope life_ = std::make_shared<char>();
    std::deque<queued> waiting_;
    std::vector<queued> in_flight_;
    common::time_point ticked_{}; ///< The last tick.
    bool busy_ = false;
    bool revision_known_ = false;
    std::uint64_t revision_ = 0;
    std::uint64_t number_ = 0; ///< Of the last commit that was sent.
    common::time_point next_step_{};
};

} // namespace fuchsia::core::pool
