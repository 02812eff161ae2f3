#pragma once

#include "core/common/time.hpp"
#include "core/membership/record.hpp"
#include "ports/store.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

// This process's own record: joins, beats, settles unclear answers, leaves.
namespace fuchsia::core::membership
{

using witness_list = std::vector<ports::member_identity>;

/// What an answer about the own record means.
struct own_record_update
{
    /// Set where a write is now known to have been accepted: when it was sent.
    std::optional<common::time_point> accepted_sent_at;
    /// Not empty: another wrote the record, this incarnation is over.
    std::string fenced_reason;
};

/// Decides the next store call about the own record, one at a time.
///
/// A beat whose answer is lost may have taken effect, or may yet: the record
/// is read back, and every write id sent since the last known version is kept,
/// so that a later read tells which of them stands. A new write expects the
/// last known version, so of all unclear writes one at most takes effect.
class own_record
{
public:
    own_record(member_info self, common::duration beat_interval);

    /// The call to send now; nothing where one is under way or none is due.
    /// `witnesses` goes into the next write, unless an unclear write is out.
    std::optional<ports::store_operation> next(common::time_point now,
                                               witness_list const& witnesses,
                                               std::mt19937_64& random);
    own_record_update on_reply(common::time_point now,
                               ports::store_reply const& reply);

    /// Another look at the record is due: a list showed it changed.
    void request_read() noexcept;
    /// The next write is due now.
    void schedule_now(common::time_point now) noexcept;
    void set_config_revision(std::uint64_t revision) noexcept;
    void set_leaving() noexcept;
    /// Erases the record, once what is under way is settled.
    void remove() noexcept;
    /// Whether `remove` is complete.
    bool is_removed() const noexcept;

    /// Whether a write of this incarnation is known to have been accepted.
    bool has_joined() const noexcept;
    /// The newest version known to be this incarnation's; 0 before it joined.
    std::uint64_t version() const noexcept;
    member_info const& info() const noexcept;
    /// The record as last known to stand.
    record const& accepted_record() const noexcept;
    /// Every witness list that the store may hold now, each once: the one
    /// known to stand and those of unclear writes. Empty before it joined.
    std::vector<witness_list> possible_witness_lists() const;
    /// An earlier incarnation's record that must be buried first.
    std::optional<ports::member_identity> const& predecessor() const noexcept;

private:
    enum class step : std::uint8_t
    {
        reading, ///< The record has to be read.
        marking, ///< A predecessor stands: tell that a successor waits.
        waiting, ///< The predecessor is being buried.
        writing, ///< Write, from the known version.
        erasing,
        finished,
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
        common::time_point sent;
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
    void finish_fenced(std::string reason, own_record_update& update);
    std::string key() const;

    member_info self_;
    common::duration heartbeat_interval_;
    step step_ = step::reading;
    call_kind in_flight_ = call_kind::none;
    common::time_point next_call_{};
    common::time_point next_write_{};
    bool removing_ = false;
    bool joined_ = false;
    std::uint64_t version_ = 0;
    std::uint64_t heartbeat_count_ = 0;
    record accepted_record_;
    /// Writes whose effect is not known, the one in flight last.
    std::vector<sent_write> unconfirmed_writes_;
    record predecessor_record_;
    std::uint64_t predecessor_version_ = 0;
    std::optional<ports::member_identity> predecessor_;
};

} // namespace fuchsia::core::membership
