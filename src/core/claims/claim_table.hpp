#pragma once

#include "core/claims/assignment.hpp"
#include "core/claims/claim_record.hpp"
#include "core/claims/claim_view.hpp"
#include "core/common/time.hpp"
#include "core/membership/member.hpp"
#include "ports/actions.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace fuchsia::core::claims
{

struct claim_settings
{
    /// One long poll of the partitions waits this long. Its answer carries all
    /// of them even where none changed, so a short wait would cost bandwidth.
    common::duration watch_wait = std::chrono::seconds(30);
    /// Between two polls while claims change: one answer covers many changes.
    common::duration min_watch_interval = std::chrono::milliseconds(250);
    /// Pause before a call is tried again that the store did not answer.
    common::duration retry_interval = std::chrono::milliseconds(500);
    /// A member must have been live this long before claims are handed over
    /// to it, and must have owned a claim this long before it hands it on:
    /// one that comes and goes would move them each time.
    common::duration stable_after = std::chrono::seconds(5);
    /// A member claims nothing before it has been live this long, so that
    /// members which start together share out at once.
    common::duration claim_delay = std::chrono::seconds(1);
    /// Most claims and releases under way at once.
    std::uint32_t max_writes = 4;
    /// Most handovers that are asked for at once, but in a planned stop.
    std::uint32_t max_handovers = 8;
    /// A buried record is erased once no claim has named it for this long.
    common::duration fenced_record_retention = std::chrono::seconds(60);
};

/// Store calls that a claim table made since it was made.
struct claim_counts
{
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t erases = 0;
};

/// The partitions of one role: reads `partitions/<role>/`, claims by CAS those
/// that nobody live owns and that rendezvous hashing gives to this member, and
/// tells which are owned.
///
/// A claim names its owner's incarnation. It may be taken over only once that
/// incarnation is buried or removed, or once the owner itself released it; so
/// whom the table shows as owner is the only one that may act, for as long as
/// its membership's proof stands.
class claim_table
{
public:
    /// `partitions` may be replaced later (`set_partitions`): a planner's
    /// cells follow the list of workers.
    claim_table(std::string role,
                std::vector<std::string> partitions,
                claim_settings settings = {});

    void set_partitions(std::vector<std::string> partitions);

    void start(common::time_point now, ports::actions& out);
    void tick(common::time_point now,
              membership::member const& members,
              ports::actions& out);
    /// Only replies of `store_user::claims`.
    void on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        membership::member const& members,
                        ports::actions& out);

    /// Gives up one partition by CAS, in a handover or a planned stop. It is
    /// no longer owned from this call on; `lost` tells when the store has it.
    void release(common::time_point now,
                 std::string const& partition,
                 ports::actions& out);
    /// From now on claims nothing and asks to hand over everything.
    void begin_leaving() noexcept;

    /// Whether the partition is this member's and its proof stands.
    bool owns(common::time_point now,
              std::string const& partition,
              membership::member const& members) const noexcept;
    claim const* find(std::string const& partition) const noexcept;
    std::map<std::string, claim> const& all() const noexcept;
    /// Names of the partitions that are this member's.
    std::vector<std::string> owned(membership::member const& members) const;
    /// How many partitions the store may still show as this member's, those
    /// being released included. A planned stop waits until there is none.
    std::size_t held_count(membership::member const& members) const noexcept;
    /// Whether the table has been read at least once.
    bool is_loaded() const noexcept;
    claim_counts const& counts() const noexcept;

    /// Changes since the last call. To be called after each event.
    std::vector<claim_change> take_changes();

private:
    enum class call_kind : std::uint8_t
    {
        list,
        claim,
        release,
        read,
        erase,
    };

    struct pending_call
    {
        call_kind kind = call_kind::list;
        std::string partition;
        claim_record written;
    };

    /// Where this member stands with one partition.
    struct progress
    {
        common::time_point retry; ///< No call about it before this.
        bool calling = false;
        bool read_back = false; ///< A write is unclear: read before the next.
        bool handover_requested = false; ///< A handover was asked for.
        ports::member_identity requested_successor; ///< Whom it was asked for.
        std::uint64_t epoch = 0; ///< Of the claim that is ours since:
        common::time_point owned_since;
    };

    // claim_table.cpp: which partitions to claim, keep and hand over.
    void set_self(ports::member_identity const& self);
    void update_owned(common::time_point now,
                      claim const& current,
                      progress& state,
                      membership::member const& members);
    void resolve_unclear_write(claim const& current,
                               progress const& state,
                               ports::actions& out);
    void claim_if_free(common::time_point now,
                       claim const& current,
                       membership::member const& members,
                       ports::actions& out);
    void erase_fenced_record(common::time_point now,
                             membership::member const& members,
                             owner_candidates const& who,
                             ports::actions& out);
    bool is_kept_for_another(claim const& current,
                             membership::member const& members) const;
    bool may_claim(common::time_point now,
                   membership::member const& members) const;
    bool is_free(claim const& current, membership::member const& members) const;
    bool is_ours(std::string const& partition) const;
    std::size_t handovers_requested() const;

    // claim_calls.cpp: calls of the store.
    void drive_list(common::time_point now, ports::actions& out);
    void write_claim(claim const& current, ports::actions& out);
    void write_release(claim const& current, ports::actions& out);
    void on_list(common::time_point now, ports::store_reply const& reply);
    void on_read(common::time_point now,
                 pending_call const& answered,
                 ports::store_reply const& reply);
    void on_write(common::time_point now,
                  pending_call const& answered,
                  ports::store_reply const& reply);
    void call(pending_call what,
              ports::store_operation operation,
              ports::actions& out);

    std::string role_;
    std::string prefix_;
    std::vector<std::string> partitions_; ///< Sorted.
    claim_settings settings_;
    claim_view view_;
    std::map<std::string, progress> progress_;
    partition_assignment live_assignment_;   ///< Among all that don't leave.
    partition_assignment stable_assignment_; ///< Among those live long enough.
    /// Bounded by one list, one erase and `max_writes`.
    std::map<std::uint64_t, pending_call> calls_;
    claim_counts counts_;
    ports::member_identity self_;
    std::mt19937_64 random_;
    std::uint64_t last_call_ = 0;
    common::time_point next_list_{};
    std::uint32_t writes_ = 0;
    bool list_in_flight_ = false;
    bool leaving_ = false;
    bool erasing_ = false; ///< A buried record is being erased.
};

} // namespace fuchsia::core::claims
