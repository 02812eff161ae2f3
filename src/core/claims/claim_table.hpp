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
    /// Maximum duration of one long poll of the partitions. Its reply carries
    /// all of them even if none changed, so a short wait would cost bandwidth.
    common::duration watch_wait = std::chrono::seconds(30);
    /// Minimum time between two long polls while claims change, so that one
    /// reply covers many changes.
    common::duration min_watch_interval = std::chrono::milliseconds(250);
    /// Pause before the retry of a call that the store did not answer.
    common::duration retry_interval = std::chrono::milliseconds(500);
    /// Time for which a member must have been live before claims are handed
    /// over to it, and for which it must have owned a claim before it hands it
    /// over. Otherwise a flapping member would move claims each time.
    common::duration stable_after = std::chrono::seconds(5);
    /// Time for which a member must have been live before it claims anything,
    /// so that members which start together divide the partitions evenly at the
    /// first attempt.
    common::duration claim_delay = std::chrono::seconds(1);
    /// Maximum number of claims, releases and reads back in flight.
    std::uint32_t max_writes = 4;
    /// Maximum number of handovers requested at once, except in a planned stop.
    std::uint32_t max_handovers = 8;
    /// Time after which a fenced member's record that no claim names is erased.
    common::duration fenced_record_retention = std::chrono::seconds(60);
};

/// Number of store calls since the claim table was created.
struct claim_counts
{
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t erases = 0;
};

/// The partitions of one role. Reads `partitions/<role>/`, claims by
/// compare-and-swap the unowned partitions that rendezvous hashing assigns to
/// this member, and reports which ones it owns.
///
/// A claim names its owner's incarnation. It may be taken over only once that
/// incarnation is fenced or removed, or once the owner itself has released it.
/// So only the owner shown in the table may act, and only while the proof of
/// its membership is valid.
class claim_table
{
public:
    /// `partitions` can be replaced later by `set_partitions`, since the
    /// planner's cells follow the list of workers.
    claim_table(std::string role,
                std::vector<std::string> partitions,
                claim_settings settings = {});

    void set_partitions(std::vector<std::string> partitions);

    void start(common::time_point now, ports::actions& out);
    void tick(common::time_point now,
              membership::member const& members,
              ports::actions& out);
    /// Handles a reply to a call of `store_requester::claims`; others must not
    /// be passed in.
    void on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        membership::member const& members,
                        ports::actions& out);

    /// Releases one partition by compare-and-swap, in a handover or a planned
    /// stop. The partition is no longer owned from this call on; the change
    /// `lost` reports that the store has recorded the release.
    void release(common::time_point now,
                 std::string const& partition,
                 ports::actions& out);
    /// Stops claiming and requests the handover of all owned partitions.
    void begin_leaving() noexcept;

    /// Whether this member owns the partition and the proof of its membership
    /// is valid.
    bool owns(common::time_point now,
              std::string const& partition,
              membership::member const& members) const noexcept;
    claim const* find(std::string const& partition) const noexcept;
    std::map<std::string, claim> const& all() const noexcept;
    /// Returns the names of the partitions that this member owns.
    std::vector<std::string> owned(membership::member const& members) const;
    /// Returns the number of partitions that the store may still show as owned
    /// by this member, including those being released. A planned stop waits
    /// until it is 0.
    std::size_t held_count(membership::member const& members) const noexcept;
    /// Whether the claims have been read at least once.
    bool is_loaded() const noexcept;
    claim_counts const& counts() const noexcept;

    /// Returns the changes since the last call. To be called after each event.
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
        claim_record written_record;
    };

    /// State of this member's calls and handover for one partition.
    struct progress
    {
        common::time_point retry_at; ///< Earliest time of the next call.
        bool call_in_flight = false;
        /// Whether the key must be read before the next write, since the last
        /// write conflicted or its outcome is unknown.
        bool needs_read_back = false;
        bool handover_requested = false; ///< Whether a handover was requested.
        /// Successor named in the last handover request.
        ports::member_identity requested_successor;
        std::uint64_t epoch = 0; ///< Epoch of this member's latest claim.
        /// Time at which that epoch was first seen.
        common::time_point owned_since;
    };

    // claim_table.cpp: decisions on claiming, keeping and handing over.
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
                             owner_candidates const& candidates,
                             ports::actions& out);
    bool is_reserved_for_another(claim const& current,
                                 membership::member const& members) const;
    bool may_claim(common::time_point now,
                   membership::member const& members) const;
    bool is_free(claim const& current, membership::member const& members) const;
    bool is_ours(std::string const& partition) const;
    std::size_t handovers_requested() const;

    // claim_calls.cpp: store calls.
    void poll_list(common::time_point now, ports::actions& out);
    void write_claim(claim const& current, ports::actions& out);
    void write_release(claim const& current, ports::actions& out);
    void on_list(common::time_point now, ports::store_reply const& reply);
    void on_read(common::time_point now,
                 pending_call const& request,
                 ports::store_reply const& reply);
    void on_write(common::time_point now,
                  pending_call const& request,
                  ports::store_reply const& reply);
    void send_call(pending_call pending,
                   ports::store_operation operation,
                   ports::actions& out);

    std::string role_;
    std::string prefix_;
    std::vector<std::string> partitions_; ///< Sorted.
    claim_settings settings_;
    claim_view view_;
    std::map<std::string, progress> progress_;
    partition_assignment
        live_assignment_; ///< Among all live members not leaving.
    partition_assignment stable_assignment_; ///< Among the stable members only.
    /// Calls in flight: at most one list, one erase and `max_writes` others.
    std::map<std::uint64_t, pending_call> calls_;
    claim_counts counts_;
    ports::member_identity self_;
    std::mt19937_64 random_;
    std::uint64_t last_call_id_ = 0;
    common::time_point next_list_{};
    std::uint32_t writes_in_flight_ = 0;
    bool list_in_flight_ = false;
    bool leaving_ = false;
    bool erase_in_flight_ = false; ///< An erase of a fenced member's record.
};

} // namespace fuchsia::core::claims
