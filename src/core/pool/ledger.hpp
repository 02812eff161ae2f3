#pragma once

#include "core/pool/claim.hpp"
#include "core/pool/outbox.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
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

    /// The value of a key when a commit is made; empty: nothing to write.
    using value_source = std::function<std::optional<std::string>()>;

    ledger(ledger_settings settings, claim& held, outbox& out);

    void write(entry what);
    /// Writes the value that `key` has when the commit is made. Asked for again
    /// while it waits, it is still written once: what waits is bounded by the
    /// number of keys, however slow the commits are. `on_durable` of the first
    /// request that waits is called.
    void write_latest(std::string const& key,
                      value_source value,
                      std::function<void(common::time_point)> on_durable = {});
    /// Runs `then` once everything written so far is durable.
    void after_all(std::function<void(common::time_point)> then);
    void tick(common::time_point now);
    bool idle() const noexcept;
    /// Entries that are not durable yet.
    std::size_t waiting() const noexcept;
    /// How long the oldest of them has waited; zero where none does.
    common::duration lag(common::time_point now) const noexcept;

private:
    struct queued
    {
        entry what;
        std::string latest; ///< Key of `value`; empty: none.
        value_source value;
        common::time_point since{};
        std::optional<std::string> text; ///< As it was last asked for.

        void refresh();
        std::size_t changes() const noexcept;
    };

    void read_revision();
    void commit(common::time_point now);
    void take_waiting();
    ports::kv_commit changes_in_flight() const;
    void on_commit(common::time_point now, ports::kv_reply const& reply);

    ledger_settings settings_;
    claim& claim_;
    outbox& out_;
    scope life_ = std::make_shared<char>();
    std::deque<queued> waiting_;
    std::vector<queued> in_flight_;
    std::set<std::string> latest_; ///< Keys in `waiting_` to be asked for.
    common::time_point ticked_{};  ///< The last tick.
    bool busy_ = false;
    bool revision_known_ = false;
    std::uint64_t revision_ = 0;
    std::uint64_t number_ = 0; ///< Of the last commit that was sent.
    common::time_point next_step_{};
};

} // namespace fuchsia::core::pool
