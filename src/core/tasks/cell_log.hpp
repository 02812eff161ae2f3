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
    /// Changes wait at most this long for others to share their record.
    common::duration commit_interval = std::chrono::milliseconds(40);
    /// Pause before an unanswered call is made again.
    common::duration retry_interval = std::chrono::milliseconds(200);
    /// A snapshot is due after this many records.
    std::uint32_t records_per_snapshot = 24;
    /// Changes in one record at most; some 300 KB.
    std::size_t max_changes = 512;
};

/// Records kept at a time. A record's key is its number modulo this, so that
/// old records are overwritten and never need a call to be erased.
constexpr std::uint64_t log_slots = 64;

std::string cell_prefix(std::string const& cell);
std::string record_key(std::string const& cell, std::uint64_t number);
std::string snapshot_key(std::string const& cell);

/// The state that the entries below a cell's prefix add up to, the version of
/// each slot of the log and of the snapshot. Empty where a value is damaged.
struct stored_cell
{
    cell_state state;
    std::array<std::uint64_t, log_slots> versions{};
    std::uint64_t snapshot_version = 0;
    std::uint64_t snapshot_record = 0;
};

std::optional<stored_cell>
replay(std::string const& cell,
       std::vector<ports::store_entry> const& entries,
       common::failure& reason);

/// The log of one cell that this planner owns: takes it over, appends change
/// records one at a time, and writes snapshots.
///
/// Fencing: each append is a compare-and-swap of the slot of the next record.
/// A new owner first appends a record with its epoch; an old owner that still
/// believes in its claim then finds its slot taken and stops.
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

    /// Applies the change to `state` at once and queues it for the store. The
    /// world must not be told before `take_committed` has it. False: it does
    /// not fit the state, and nothing happened.
    bool submit_change(common::time_point now, tasks::change what, bool urgent);

    /// Changes that the store holds for certain, since the last call.
    std::vector<tasks::change> take_committed();

    /// Taken over: `state` may be acted on.
    bool active() const noexcept;
    /// Another owner's record was found; this object is of no more use.
    bool ownership_lost() const noexcept;
    /// Nothing waits and nothing is in flight.
    bool idle() const noexcept;
    /// Changes that wait; the caller stops making more at a bound of its own.
    std::size_t pending_changes() const noexcept;
    cell_state const& state() const noexcept;
    common::failure const& last_failure() const noexcept;

private:
    enum class step : std::uint8_t
    {
        reading,
        compacting, ///< A snapshot comes before the takeover's record.
        ready,
        appending,
        checking, ///< Reads back a slot that answered "conflict".
        ownership_lost,
    };

    // cell_log.cpp: what is written, and when.
    void read(store_calls& calls, ports::actions& out);
    void send_append(store_calls& calls, ports::actions& out);
    void begin_append(store_calls& calls, ports::actions& out);
    void send_snapshot(store_calls& calls, ports::actions& out);
    bool commit_due(common::time_point now) const noexcept;

    // cell_log_replies.cpp: what the store answers.
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
    log_record record_; ///< In flight.
    std::string value_; ///< Its bytes: a repeated append is the same write.
    std::vector<tasks::change> committed_;
    std::uint64_t snapshot_call_ = 0;
    bool snapshot_checking_ = false; ///< Reads back after a conflict.
    std::optional<common::time_point> snapshot_retry_at_;
    std::string next_snapshot_; ///< State at `next_snapshot_record_`.
    std::uint64_t next_snapshot_record_ = 0;
    common::failure failure_;
};

} // namespace fuchsia::core::tasks
