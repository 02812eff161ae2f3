#pragma once

#include "core/pool/claim.hpp"
#include "core/pool/outbox.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::pool
{

struct ledger_settings
{
    common::duration call_timeout = std::chrono::milliseconds(1500);
    /// After a commit that failed.
    common::duration retry = std::chrono::milliseconds(100);
    /// Commits begin at least this far apart unless results fill one: each
    /// costs a call whatever it holds.
    common::duration interval = std::chrono::milliseconds(80);
    /// Changes in one commit; the store takes 32 entries, of which the two
    /// conditions and the common key take three.
    std::size_t max_changes = 29;
    /// Of these, kept for records while some wait.
    std::size_t record_share = 8;
};

/// What a commit takes first while more waits than one commit holds.
enum class write_rank : std::uint8_t
{
    result, ///< What callers ask for: ends of jobs, counts.
    record, ///< What only a successor needs.
};

/// A commit that took effect: at `asked` the store had not reached more than
/// its revision.
struct commit_mark
{
    common::time_point sent_at{};
    std::uint64_t revision = 0; ///< 0: there was none.
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
    using durable_handler = std::function<void(common::time_point)>;

    /// One thing to write. All its changes go into the same commit.
    struct entry
    {
        std::vector<ports::kv_put> puts;
        std::vector<std::string> erases;
        durable_handler on_durable;
    };

    /// The value of a key when a commit is made; empty: nothing to write.
    using value_source = std::function<std::optional<std::string>()>;

    ledger(ledger_settings settings,
           claim& held,
           outbox& out,
           common::time_point now);

    /// Where the entry makes the value of `instead_of` needless, what waits for
    /// that value waits for the entry.
    void write(write_rank rank, entry what, std::string const& instead_of = {});
    /// Writes the value that `key` has when the commit is made. Asked for again
    /// while it waits, it is still written once: what waits is bounded by the
    /// number of keys, however slow the commits are. `on_durable` of the first
    /// request that waits is called.
    void write_latest(write_rank rank,
                      std::string const& key,
                      value_source value,
                      durable_handler on_durable = {});
    /// Runs `then` once everything asked for so far is durable.
    void after_all(durable_handler then);
    void tick(common::time_point now);
    /// Entries that are not durable yet, and what waits for them.
    std::size_t waiting() const noexcept;
    commit_mark last_commit() const noexcept;
    /// Of the last commit that is known to have taken effect, by any owner.
    std::uint64_t revision() const noexcept;
    /// How long the oldest of them has waited; zero where none does.
    common::duration lag(common::time_point now) const noexcept;

private:
    struct queued
    {
        entry what;
        std::string latest; ///< Key of `value`; empty: none.
        value_source value;
        common::time_point since{};
        /// Rises with each entry, but for one that stands for an earlier one.
        std::uint64_t number = 0;
        std::uint64_t sent = 0; ///< The first commit that held it; 0: none.
        std::optional<std::string> text; ///< As it was last asked for.

        void refresh();
        std::size_t changes() const noexcept;
    };

    struct barrier
    {
        std::uint64_t number = 0; ///< Of the last entry that it waits for.
        durable_handler then;
    };

    void enqueue(write_rank rank, queued what);
    std::deque<queued>& waiting_of(write_rank rank) noexcept;
    /// Calls `look` with each entry that is not durable.
    template<class Look>
    void for_each(Look look) const;
    /// The one of the lowest number; null where everything is durable.
    queued const* oldest() const noexcept;
    void pass_barriers(common::time_point now);
    void read_revision();
    void commit(common::time_point now);
    void refresh_in_flight();
    void take_waiting(write_rank rank, std::size_t most);
    ports::kv_commit changes_in_flight() const;
    void on_commit(common::time_point now, ports::kv_reply const& reply);
    void committed(common::time_point now,
                   std::uint64_t revision,
                   std::uint64_t number);
    std::size_t entries() const noexcept;
    /// As the common key holds it.
    std::string mark_of(std::uint64_t commit) const;
    std::uint64_t own_commit(std::string_view mark) const;

    ledger_settings settings_;
    claim& claim_;
    outbox& out_;
    lifetime_token life_ = std::make_shared<char>();
    std::deque<queued> results_;
    std::deque<queued> records_;
    std::vector<queued> in_flight_;
    std::deque<barrier> barriers_;
    std::set<std::string> latest_; ///< Keys that wait to be asked for.
    common::time_point ticked_{};  ///< The last tick.
    std::uint64_t last_entry_ = 0;
    bool busy_ = false;
    bool revision_known_ = false;
    std::uint64_t revision_ = 0;
    std::uint64_t number_ = 0;  ///< Of the last commit that was sent.
    common::time_point sent_{}; ///< When it was.
    commit_mark last_commit_;
    common::time_point next_step_{};
};

} // namespace fuchsia::core::pool
