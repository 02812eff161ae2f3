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

/// What a member asked of the store and its peers since it was made.
struct member_counts
{
    std::uint64_t own_writes = 0; ///< Beats, the first write, removal.
    std::uint64_t own_reads = 0;  ///< Read backs, and the first look.
    std::uint64_t lists = 0;
    std::uint64_t fencing_writes = 0;
    std::uint64_t promise_requests = 0;
    std::uint64_t promises_given = 0;
    std::uint64_t promises_refused = 0;
    std::uint64_t consent_requests = 0;
    std::uint64_t consents_given = 0;
    std::uint64_t pauses = 0;
};

/// One process's membership: beats its record, collects promises, gives
/// promises and consent as a witness, buries members that are gone.
///
/// Promises are asked for only once the newest proof is `hold / 2` old, which
/// is when a beat was missed. Safety needs no more, and neither does failover:
/// half of `hold` is left to get them, hundreds of round trips. Asking always
/// would add to each node's traffic in calm times, which is bounded. While the
/// store is silent a round goes out every `hold / 3`: with 5 witnesses 7.5
/// requests and as many replies a second are sent by each member.
class member
{
public:
    /// `seed` draws write ids. `parts` is for tests only.
    member(settings settings,
           member_info self,
           std::uint64_t seed,
           safety_rules rules = {});

    void start(common::time_point now, ports::actions& out);
    /// Called at least every 100 ms.
    void tick(common::time_point now, ports::actions& out);
    /// Only replies of `store_user::membership`.
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

    /// The revision that beats and promises carry from now on.
    void set_config_revision(std::uint64_t revision) noexcept;

    /// Marks the record as leaving: others take no new claim for this member.
    void begin_leaving(common::time_point now, ports::actions& out);
    /// Writes the record away after the claims were handed over; `gone` tells
    /// when the store has it. The member acts on nothing from now on.
    void remove(common::time_point now, ports::actions& out);
    bool is_removed() const noexcept;

    /// Whether a proof stands that is younger than `hold`.
    bool may_act(common::time_point now) const noexcept;
    /// Age of the newest proof; very large where there is none.
    common::duration proof_age(common::time_point now) const noexcept;
    /// Whether the newest proof came from the store rather than witnesses.
    bool proved_by_store() const noexcept;
    /// Where this member stands in its life, for logs, metrics and status.
    member_phase current_phase() const noexcept;

    member_info const& self() const noexcept;
    /// Live members of this role, this one included once its record stands,
    /// sorted by name. Leaving ones are included; buried ones are not.
    std::vector<member_info> const& live() const noexcept;
    /// The live member with this name and incarnation; null where none is.
    member_info const* find(ports::member_identity const& id) const noexcept;
    member_info const* find(std::string_view name) const noexcept;
    /// Whether the store shows this incarnation as buried or removed: what it
    /// owned may be claimed. An incarnation that joined after the newest list
    /// was read looks removed too: who learns of one elsewhere, as from a claim
    /// at some version, may only ask once `records().index()` has reached that.
    bool is_fenced(ports::member_identity const& id) const noexcept;
    /// All records of the role as the newest list showed them.
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
        common::time_point sent;
        ports::member_identity subject; ///< Of a burial.
    };

    // member.cpp: the own record, the list of members, the proof.
    void detect_pause(common::time_point now, ports::actions& out);
    void advance(common::time_point now, ports::actions& out);
    void advance_own_record(common::time_point now, ports::actions& out);
    void request_member_list(common::time_point now, ports::actions& out);
    void update_phase_from_proof(common::time_point now, ports::actions& out);
    void on_own_reply(common::time_point now,
                      ports::store_reply const& reply,
                      ports::actions& out);
    void on_list_reply(common::time_point now,
                       common::time_point sent,
                       ports::store_reply const& reply,
                       ports::actions& out);
    bool own_record_changed() const noexcept;
    void call_store(common::time_point now,
                    call_kind kind,
                    ports::store_operation operation,
                    ports::actions& out,
                    ports::member_identity const& subject = {});

    // member_peers.cpp: promises and consent.
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
    /// Bounded by what is asked: one own call, one list, the burials.
    std::map<std::uint64_t, pending_call> calls_;
    std::uint64_t last_call_ = 0;
    std::optional<common::time_point> last_activity_;
    common::time_point next_list_{};
    common::time_point next_round_{};
    bool started_ = false;
    bool list_in_flight_ = false;
};

} // namespace fuchsia::core::membership
