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
    /// Pause after a failed commit or a failed read of the common key.
    common::duration retry = std::chrono::milliseconds(100);
    /// Minimum time between the starts of two commits, unless the waiting
    /// results fill a commit. Every commit costs one call, whatever its size.
    common::duration interval = std::chrono::milliseconds(80);
    /// Maximum number of changes in one commit. The store accepts 32 entries
    /// per commit; the two preconditions and the common key take three of them.
    std::size_t max_changes = 29;
    /// Number of changes of a commit that are reserved for records while any
    /// records wait.
    std::size_t record_share = 8;
};

/// Order in which entries are committed while more wait than fit into one
/// commit.
enum class write_rank : std::uint8_t
{
    result, ///< Read by callers: final states of jobs, counts.
    record, ///< Needed only by the next owner.
};

/// A commit that took effect. At `sent_at` the store had not gone beyond
/// `revision`.
struct commit_mark
{
    common::time_point sent_at{};
    std::uint64_t revision = 0; ///< 0: no commit took effect.
};

/// Writes the owner's progress to the store, one commit at a time.
///
/// A commit whose answer is lost may take effect seconds later and overwrite a
/// newer record with an older one; the next owner would then run tasks again
/// that had already ended. Every commit therefore has the revision of one
/// common key as a precondition and rewrites that key (compare-and-swap), so a
/// late commit finds a different revision and has no effect.
class ledger
{
public:
    using durable_handler = std::function<void(common::time_point)>;

    /// A set of changes that are written in the same commit.
    struct entry
    {
        std::vector<ports::kv_put> puts;
        std::vector<std::string> erases;
        durable_handler on_durable;
    };

    /// Returns the value to write when a commit is created; empty if there is
    /// nothing to write.
    using value_source = std::function<std::optional<std::string>()>;

    ledger(ledger_settings settings,
           claim& owned_claim,
           outbox& out,
           common::time_point now);

    /// Enqueues `new_entry`. If it makes the waiting value of `replaced_key`
    /// obsolete, barriers that wait for that value wait for the entry instead.
    void write(write_rank rank,
               entry new_entry,
               std::string const& replaced_key = {});
    /// Writes the value that `key` has when the commit is created. Repeated
    /// requests for a waiting key are written once, so the number of waiting
    /// entries is bounded by the number of keys, however slow the commits are.
    /// Only the `on_durable` of the first waiting request is called.
    void write_latest(write_rank rank,
                      std::string const& key,
                      value_source value,
                      durable_handler on_durable = {});
    /// Calls `handler` once all entries enqueued so far are durable.
    void after_all(durable_handler handler);
    void tick(common::time_point now);
    /// Number of entries that are not durable yet and of handlers that wait for
    /// them.
    std::size_t waiting() const noexcept;
    commit_mark last_commit() const noexcept;
    /// Revision of the last commit, by any owner, that is known to have taken
    /// effect.
    std::uint64_t revision() const noexcept;
    /// Time for which the oldest entry that is not durable has waited; zero if
    /// there is none.
    common::duration lag(common::time_point now) const noexcept;

private:
    struct queued_entry
    {
        entry content;
        std::string latest_key; ///< Key of `value`; empty: no value.
        value_source value;
        common::time_point queued_at{};
        /// Increases with each entry, except that an entry which replaces an
        /// earlier one takes the number of the earlier one.
        std::uint64_t number = 0;
        /// Number of the first commit that contained it; 0: none.
        std::uint64_t first_commit = 0;
        /// Last result of `value`.
        std::optional<std::string> latest_value;

        void refresh();
        std::size_t changes() const noexcept;
    };

    struct barrier
    {
        std::uint64_t number = 0; ///< Number of the last entry it waits for.
        durable_handler handler;
    };

    void enqueue(write_rank rank, queued_entry item);
    std::deque<queued_entry>& queue_of(write_rank rank) noexcept;
    /// Calls `visit` with each entry that is not durable.
    template<class Visitor>
    void for_each(Visitor visit) const;
    /// Returns the entry with the lowest number that is not durable; null if
    /// all entries are durable.
    queued_entry const* oldest() const noexcept;
    void pass_barriers(common::time_point now);
    void read_revision();
    void commit(common::time_point now);
    void refresh_in_flight();
    void take_waiting(write_rank rank, std::size_t change_limit);
    ports::kv_commit changes_in_flight() const;
    void on_commit(common::time_point now, ports::kv_reply const& reply);
    void committed(common::time_point now,
                   std::uint64_t revision,
                   std::uint64_t number);
    std::size_t entries() const noexcept;
    /// Returns the value of the common key that identifies the commit.
    std::string commit_mark_text(std::uint64_t commit) const;
    std::uint64_t own_commit_number(std::string_view mark) const;

    ledger_settings settings_;
    claim& claim_;
    outbox& out_;
    lifetime_token life_ = std::make_shared<char>();
    std::deque<queued_entry> results_;
    std::deque<queued_entry> records_;
    std::vector<queued_entry> in_flight_;
    std::deque<barrier> barriers_;
    std::set<std::string> queued_keys_; ///< Keys of waiting values.
    common::time_point last_tick_{};    ///< Time of the last tick.
    std::uint64_t last_entry_ = 0;
    bool call_pending_ = false;
    bool revision_known_ = false;
    std::uint64_t revision_ = 0;
    std::uint64_t last_commit_number_ = 0; ///< Number of the last commit sent.
    common::time_point last_commit_sent_at_{}; ///< Time of sending it.
    commit_mark last_commit_;
    common::time_point next_call_at_{};
};

} // namespace fuchsia::core::pool
