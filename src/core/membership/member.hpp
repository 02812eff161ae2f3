#pragma once

#include "core/common/time.hpp"
#include "core/membership/fencing.hpp"
#include "core/membership/member_info.hpp"
#include "core/membership/member_lifecycle.hpp"
#include "core/membership/own_record.hpp"
#include "core/membership/platform_list.hpp"
#include "core/membership/proof.hpp"
#include "core/membership/roster.hpp"
#include "core/membership/safety_rules.hpp"
#include "core/membership/settings.hpp"
#include "core/membership/witness.hpp"
#include "ports/actions.hpp"
#include "ports/instances.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::membership
{

/// Number of requests and pauses of a member since its construction.
struct member_counts
{
    std::uint64_t own_writes = 0; ///< First write, heartbeats and removal.
    std::uint64_t own_reads = 0;  ///< First read and all later reads.
    std::uint64_t lists = 0;
    std::uint64_t fencing_writes = 0;
    std::uint64_t promise_requests = 0;
    std::uint64_t promises_given = 0;
    std::uint64_t promises_refused = 0;
    std::uint64_t consent_requests = 0;
    std::uint64_t consents_given = 0;
    std::uint64_t pauses = 0;
};

/// Membership of one process. It renews the process's record by heartbeats,
/// collects promises from its witnesses, gives promises and consent as a
/// witness of others, and fences failed members.
///
/// Promises are requested only when the newest proof is `proof_lifetime / 2`
/// old, that is, when a heartbeat was missed. This is sufficient for safety and
/// for failover: the remaining half of `proof_lifetime` is hundreds of round
/// trips. Constant requests would add to the traffic of each node in normal
/// operation, which is bounded. While the store does not answer, a round of
/// requests is sent every `proof_lifetime / 3`: with 5 witnesses each member
/// sends 7.5 requests and as many replies per second.
class member
{
public:
    /// `seed` initialises the generator of write ids. `rules` is for tests
    /// only.
    member(settings settings,
           member_info self,
           std::uint64_t seed,
           safety_rules rules = {});

    void start(common::time_point now, ports::actions& out);
    /// Must be called at least every 100 ms.
    void tick(common::time_point now, ports::actions& out);
    /// Handles replies to requests of `store_requester::membership` only.
    void on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        ports::actions& out);
    /// Handles promise_* and consent_* messages.
    void on_peer(common::time_point now,
                 ports::peer_receive const& message,
                 ports::actions& out);
    void on_instances(common::time_point now,
                      ports::instance_list const& list,
                      ports::actions& out);

    /// Sets the configuration revision that heartbeats and promises carry.
    void set_config_revision(std::uint64_t revision) noexcept;

    /// Marks the record as leaving: other members assign it no new claims.
    void begin_leaving(common::time_point now, ports::actions& out);
    /// Removes the record after the claims were handed over; `is_removed`
    /// tells when the store has removed it. The member no longer acts.
    void remove(common::time_point now, ports::actions& out);
    bool is_removed() const noexcept;

    /// Whether this member participates, was active within `pause_limit` and
    /// has a proof younger than `proof_lifetime`.
    bool may_act(common::time_point now) const noexcept;
    /// Age of the newest proof; one year if there is none.
    common::duration proof_age(common::time_point now) const noexcept;
    /// Whether the newest proof came from the store rather than witnesses.
    bool proved_by_store() const noexcept;
    /// Phase of this member, for logs, metrics and status.
    member_phase current_phase() const noexcept;

    member_info const& self() const noexcept;
    /// Live members of this role, sorted by name. This member is included once
    /// the store has accepted its record. Leaving members are included, fenced
    /// ones are not.
    std::vector<member_info> const& live() const noexcept;
    /// Live member with this name and incarnation; null if there is none.
    member_info const* find(ports::member_identity const& id) const noexcept;
    member_info const* find(std::string_view name) const noexcept;
    /// Whether the store shows this incarnation as fenced or removed, so that
    /// its claims may be taken over. An incarnation that joined after the
    /// newest list was read looks removed too. A caller that learned of it
    /// elsewhere, such as from a claim at some version, must not call this
    /// before `records().index()` has reached that version.
    bool is_fenced(ports::member_identity const& id) const noexcept;
    /// Records of all members of the role, as of the newest list.
    roster const& records() const noexcept;
    /// Whether the record list has been read at least once.
    bool has_member_list() const noexcept;
    member_counts const& counts() const noexcept;

private:
    enum class call_kind : std::uint8_t
    {
        own_record,
        list,
        fencing,
    };

    struct pending_call
    {
        call_kind kind = call_kind::own_record;
        common::time_point sent_at;
        /// Member that a fencing write concerns.
        ports::member_identity subject;
    };

    // member.cpp: this member's record, the list of members and the proof.
    void detect_pause(common::time_point now, ports::actions& out);
    void advance(common::time_point now, ports::actions& out);
    void advance_own_record(common::time_point now, ports::actions& out);
    void request_member_list(common::time_point now, ports::actions& out);
    void update_phase_from_proof(common::time_point now, ports::actions& out);
    void on_own_reply(common::time_point now,
                      ports::store_reply const& reply,
                      ports::actions& out);
    void on_list_reply(common::time_point now,
                       common::time_point sent_at,
                       ports::store_reply const& reply,
                       ports::actions& out);
    bool own_record_changed() const noexcept;
    void call_store(common::time_point now,
                    call_kind kind,
                    ports::store_operation operation,
                    ports::actions& out,
                    ports::member_identity const& subject = {});

    // member_peers.cpp: promises and consents.
    void request_promises(common::time_point now, ports::actions& out);
    void advance_fencing(common::time_point now, ports::actions& out);
    void send(ports::member_identity const& receiver,
              ports::peer_message message,
              ports::actions& out) const;
    void handle(common::time_point now,
                ports::member_identity const& sender,
                ports::promise_request const& request,
                ports::actions& out);
    void handle(common::time_point now,
                ports::member_identity const& sender,
                ports::promise_reply const& reply);
    void handle(common::time_point now,
                ports::member_identity const& sender,
                ports::consent_request const& request,
                ports::actions& out);

    settings settings_;
    std::mt19937_64 random_;
    roster roster_;
    proof proof_;
    witness witness_;
    platform_list platform_;
    fencing fencing_;
    member_lifecycle lifecycle_;
    own_record own_record_;
    witness_list next_witnesses_;
    member_counts counts_;
    /// Store calls in flight. At most one concerns the own record and one is a
    /// list; the others are fencing writes.
    std::map<std::uint64_t, pending_call> calls_;
    std::uint64_t last_call_ = 0;
    std::optional<common::time_point> last_activity_;
    common::time_point next_list_{};
    common::time_point next_round_{};
    bool started_ = false;
    bool list_in_flight_ = false;
};

} // namespace fuchsia::core::membership
