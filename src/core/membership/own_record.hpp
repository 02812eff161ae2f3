#pragma once

#include "core/common/time.hpp"
#include "core/membership/record.hpp"
#include "ports/store.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

// Maintains the record of this process in the store: joins, writes heartbeats,
// resolves writes with an unknown outcome, and removes the record.
namespace fuchsia::core::membership
{

/// Witnesses of a member; see `record::witnesses`.
using witness_list = std::vector<ports::member_identity>;

/// Result of a store reply about the own record.
struct own_record_update
{
    /// Time at which a write was sent that is now known to have been accepted.
    std::optional<common::time_point> accepted_sent_at;
    /// Reason why this incarnation has ended, such as that another process
    /// changed the record; empty while it has not ended.
    std::string fenced_reason;
};

/// Decides the next store call about the own record; one call is in flight at
/// a time.
///
/// A heartbeat whose reply is lost may have taken effect or may still do so.
/// The record is then read, and all write ids sent since the last known version
/// are kept, so that a later read shows which write took effect. A new write
/// expects the last known version, so at most one of the unconfirmed writes
/// takes effect.
class own_record
{
public:
    own_record(member_info self, common::duration heartbeat_interval);

    /// Call to send now; empty if one is in flight or none is due. The next
    /// write stores `witnesses` in the record, unless there are unconfirmed
    /// writes.
    std::optional<ports::store_operation> next(common::time_point now,
                                               witness_list const& witnesses,
                                               std::mt19937_64& random);
    own_record_update on_reply(common::time_point now,
                               ports::store_reply const& reply);

    /// Requests a read of the record, because a list showed a change.
    void request_read() noexcept;
    /// Makes the next write due immediately.
    void schedule_now(common::time_point now) noexcept;
    void set_config_revision(std::uint64_t revision) noexcept;
    void set_leaving() noexcept;
    /// Erases the record once the outcome of the call in flight is known.
    void remove() noexcept;
    /// Whether `remove` is complete.
    bool is_removed() const noexcept;

    /// Whether a write of this incarnation is known to have been accepted.
    bool has_joined() const noexcept;
    /// Newest known version written by this incarnation; 0 before it has
    /// joined.
    std::uint64_t version() const noexcept;
    member_info const& info() const noexcept;
    /// Newest record that the store is known to have accepted.
    record const& accepted_record() const noexcept;
    /// Distinct witness lists that the store may hold now: the list of the
    /// accepted record and those of unconfirmed writes. Empty before this
    /// incarnation has joined.
    std::vector<witness_list> possible_witness_lists() const;
    /// Earlier incarnation with this member's name, which must be fenced before
    /// this one writes heartbeats.
    std::optional<ports::member_identity> const& predecessor() const noexcept;

private:
    enum class step : std::uint8_t
    {
        reading,  ///< The record must be read.
        marking,  ///< The predecessor's record must name its successor.
        waiting,  ///< The predecessor is being fenced.
        writing,  ///< Heartbeats are written; each expects the known version.
        erasing,  ///< The record is being erased.
        finished, ///< The record is removed or this incarnation is fenced.
    };

    enum class call_kind : std::uint8_t
    {
        none,
        read,
        mark,
        write,
        erase,
    };

    struct sent_write
    {
        record value;
        common::time_point sent_at;
    };

    record next_record(witness_list const& witnesses, std::mt19937_64& random);
    ports::store_operation send_write(common::time_point now,
                                      witness_list const& witnesses,
                                      std::mt19937_64& random);
    void on_write_reply(ports::store_reply const& reply,
                        own_record_update& update);
    void on_read_reply(ports::store_reply const& reply,
                       own_record_update& update);
    void on_mark_reply(ports::store_reply const& reply);
    void on_erase_reply(ports::store_reply const& reply);
    void continue_removal() noexcept;
    void resolve_absent(own_record_update& update);
    void resolve_own(record const& value,
                     std::uint64_t version,
                     own_record_update& update);
    void resolve_other(record value,
                       std::uint64_t version,
                       own_record_update& update);
    void accept(sent_write const& write,
                std::uint64_t version,
                own_record_update& update);
    void end_incarnation(std::string reason, own_record_update& update);
    std::string key() const;

    member_info self_;
    common::duration heartbeat_interval_;
    step step_ = step::reading;
    call_kind in_flight_ = call_kind::none;
    common::time_point next_call_at_{};
    common::time_point next_write_at_{};
    bool removing_ = false;
    bool joined_ = false;
    std::uint64_t version_ = 0;
    std::uint64_t heartbeat_count_ = 0;
    record accepted_record_;
    /// Writes with an unknown outcome; the one in flight is the last.
    std::vector<sent_write> unconfirmed_writes_;
    record predecessor_record_;
    std::uint64_t predecessor_version_ = 0;
    std::optional<ports::member_identity> predecessor_;
};

} // namespace fuchsia::core::membership
