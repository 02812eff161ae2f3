#pragma once

#include "core/common/time.hpp"
#include "ports/actions.hpp"
#include "ports/instances.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsia::core::membership
{

/// Timing that the safety of every claim rests on; checked against each other
/// by the settings: beat_interval < hold, and hold with drift < bury.
struct settings
{
    common::duration beat_interval = std::chrono::milliseconds(500);
    /// A proof lets its member act this long, counted from when the beat or
    /// promise request was sent.
    common::duration hold = std::chrono::seconds(2);
    /// A record must stand still, and promises must be silent, this long
    /// before their member may be buried.
    common::duration bury = std::chrono::seconds(3);
    /// A longer gap between two ticks is a pause: it voids all proofs.
    common::duration pause_limit = std::chrono::milliseconds(800);
    std::uint32_t witness_count = 5;
    /// Whether the platform's list may stand in for the consent of witnesses
    /// that it no longer names.
    bool list_stands_in = true;
};

/// How one member appears to the others.
struct member_info
{
    ports::member_identity id;
    std::string role; ///< "entry" or "planner".
    std::string data_centre;
    ports::endpoint peer_address;
    ports::endpoint http_address;
    bool leaving = false;
    std::uint64_t config_revision = 0; ///< The newest it has in force.

    bool operator==(member_info const&) const = default;
};

/// One process's membership: beats its record, collects promises, gives
/// promises and consent as a witness, buries members that are gone.
class member
{
public:
    /// `seed` draws witnesses and spreads retries.
    member(settings settings, member_info self, std::uint64_t seed);

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
    /// when the store has it.
    void remove(common::time_point now, ports::actions& out);
    bool gone() const noexcept;

    /// Whether a proof stands that is younger than `hold`.
    bool may_act(common::time_point now) const noexcept;
    /// Age of the newest proof; very large where there is none.
    common::duration proof_age(common::time_point now) const noexcept;
    /// Whether the newest proof came from the store rather than witnesses.
    bool proved_by_store() const noexcept;

    member_info const& self() const noexcept;
    /// Live members of this role, this one included once its record stands,
    /// sorted by name. Leaving ones are included; buried ones are not.
    std::vector<member_info> const& live() const noexcept;
    /// The live member with this name and incarnation; null where none is.
    member_info const* find(ports::member_identity const& id) const noexcept;
    member_info const* find(std::string_view name) const noexcept;
    /// Whether the store shows this incarnation as buried or removed: what it
    /// owned may be claimed.
    bool is_buried(ports::member_identity const& id) const noexcept;
    /// Whether the record list has been read at least once.
    bool knows_members() const noexcept;

private:
    settings settings_;
    member_info self_;
    std::vector<member_info> live_;
};

} // namespace fuchsia::core::membership
