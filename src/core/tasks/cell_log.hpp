#pragma once

#include "core/common/time.hpp"
#include "core/tasks/cell_state.hpp"
#include "core/tasks/store_calls.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::core::tasks
{

struct cell_log_settings
{
    /// Maximum time that a change waits to share a record with later changes.
    common::duration commit_interval = std::chrono::milliseconds(40);
    /// Time before a failed store call is retried.
    common::duration retry_interval = std::chrono::milliseconds(200);
    /// Number of records after which a snapshot is due.
    std::uint32_t records_per_snapshot = 24;
    /// Maximum number of changes in one record, about 300 KB.
    std::size_t max_changes = 512;
};

/// Number of log records kept in the store. The key of a record is its number
/// modulo this value, so old records are overwritten and need no erase call.
constexpr std::uint64_t log_slots = 64;

std::string cell_prefix(std::string const& cell);
std::string record_key(std::string const& cell, std::uint64_t number);
std::string snapshot_key(std::string const& cell);

/// State of a cell as replayed from its stored entries, with the versions of
/// the log slots and of the snapshot.
struct stored_cell
{
    cell_state state;
    std::array<std::uint64_t, log_slots> versions{};
    std::uint64_t snapshot_version = 0;
    std::uint64_t snapshot_record = 0;
};

/// Returns the state that results from the entries below the prefix of a cell;
/// empty if a value is damaged.
std::optional<stored_cell>
replay(std::string const& cell,
       std::vector<ports::store_entry> const& entries,
       common::failure& reason);

/// Log of one cell that this planner owns. Takes the log over, appends change
/// records one at a time and writes snapshots.
///
/// Fencing: each append is a compare-and-swap of the slot of the next record.
/// A new owner first appends a record with its epoch. The next append of an old
/// owner that has not noticed the loss of its claim then conflicts, and the old
/// owner stops.
class cell_log
{
public:
    cell_log(std::string cell,
             std::uint64_t incarnation,
             std::uint64_t epoch,
             cell_log_settings settings);

    void start(store_calls& calls, ports::actions& out);
    void tick(common::time_point now, store_calls& calls, ports::actions& out);
    void on_store_reply(common::time_point now,
                        call_tag const& tag,
                        ports::store_reply const& reply,
                        store_calls& calls,
                        ports::actions& out);

    /// Applies the change to `state` at once and queues it for the store.
    /// Nothing outside the planner may depend on the change before
    /// `take_committed` returns it. Returns false, without effect, if the
    /// change does not fit the state.
    bool submit_change(common::time_point now,
                       tasks::change new_change,
                       bool urgent);

    /// Returns the changes confirmed by the store since the last call.
    std::vector<tasks::change> take_committed();

    /// Whether the log has been taken over, so that `state` may be acted on.
    bool active() const noexcept;
    /// Whether a record of a newer owner was found. Final: the log accepts no
    /// more changes.
    bool ownership_lost() const noexcept;
    /// Whether no change is pending and no call is in flight.
    bool idle() const noexcept;
    /// Number of changes not yet sent to the store. The caller bounds it.
    std::size_t pending_changes() const noexcept;
    cell_state const& state() const noexcept;
    common::failure const& last_failure() const noexcept;

private:
    enum class step : std::uint8_t
    {
        reading,
        compacting, ///< Writes a snapshot before the record of the takeover.
        ready,
        appending,
        checking, ///< Reads back a slot whose append conflicted.
        ownership_lost,
    };

    // cell_log.cpp: reading, appending and snapshots.
    void read(store_calls& calls, ports::actions& out);
    void send_append(store_calls& calls, ports::actions& out);
    void begin_append(store_calls& calls, ports::actions& out);
    void send_snapshot(store_calls& calls, ports::actions& out);
    bool commit_due(common::time_point now) const noexcept;

    // cell_log_replies.cpp: replies of the store.
    void on_listed(common::time_point now,
                   ports::store_reply const& reply,
                   store_calls& calls,
                   ports::actions& out);
    void on_appended(common::time_point now,
                     ports::store_reply const& reply,
                     store_calls& calls,
                     ports::actions& out);
    void on_checked(common::time_point now,
                    ports::store_reply const& reply,
                    store_calls& calls,
                    ports::actions& out);
    void complete_append(std::uint64_t version);
    void on_slot_conflict(store_calls& calls, ports::actions& out);
    void on_snapshot(common::time_point now,
                     ports::store_reply const& reply,
                     store_calls& calls,
                     ports::actions& out);
    void on_snapshot_stored(std::uint64_t version,
                            store_calls& calls,
                            ports::actions& out);

    std::string cell_;
    std::string writer_;
    std::uint64_t epoch_;
    cell_log_settings settings_;
    step step_ = step::reading;
    bool taken_over_ = false;
    stored_cell stored_;
    std::uint64_t writes_ = 0;
    std::uint64_t call_ = 0;
    std::optional<common::time_point> retry_at_;
    std::deque<tasks::change> pending_changes_;
    std::optional<common::time_point> pending_since_;
    bool urgent_ = false;
    log_record record_; ///< Record being appended.
    /// Serialized `record_`, so that a retried append writes the same bytes.
    std::string record_bytes_;
    std::vector<tasks::change> committed_;
    std::uint64_t snapshot_call_ = 0;
    bool snapshot_checking_ =
        false; ///< Reads the snapshot back after a conflict.
    std::optional<common::time_point> snapshot_retry_at_;
    std::string
        next_snapshot_; ///< Serialized state at `next_snapshot_record_`.
    std::uint64_t next_snapshot_record_ = 0;
    common::failure failure_;
};

} // namespace fuchsia::core::tasks
