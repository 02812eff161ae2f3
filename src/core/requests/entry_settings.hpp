#pragma once

#include "core/config/follower.hpp"
#include "core/contracts/slice.hpp"
#include "core/membership/member.hpp"
#include "core/requests/admission.hpp"
#include "core/requests/key_memory.hpp"
#include "core/requests/retry_budget.hpp"
#include "core/upstreams/slot_table.hpp"

namespace fuchsia::core::requests
{

/// All that the decisions of one entry depend on besides its input.
struct entry_settings
{
    membership::settings membership;
    config::follower_settings configuration;
    upstreams::slot_table_settings upstreams;
    contracts::slice_settings slices;
    key_memory_settings keys;
    admission_policy admission = deadline_admission{};
    retry_policy retries = retry_budget{};

    std::size_t max_open_requests = 20'000;  ///< Requests known at once.
    std::size_t max_open_bytes = 64U << 20U; ///< Their bodies.
    std::size_t max_queued = 2'000;
    std::size_t max_awaiting_slice =
        64; ///< Of one customer, waiting for a slice.

    /// A sending reaches an entry within this time of being sent, or never.
    /// The promise that a key runs once across a takeover rests on it.
    common::duration max_delivery_time = std::chrono::seconds(5);
    /// How long a request waits for the first slice of its customer.
    common::duration slice_timeout = std::chrono::milliseconds(150);
    /// How long a request waits for its key's partition to change hands, and
    /// how many may.
    common::duration owner_change_timeout = std::chrono::seconds(1);
    std::size_t max_awaiting_owner = 1'000;
    /// A peer that was not heard from for this long gets no forwarded key.
    common::duration peer_silence_timeout = std::chrono::milliseconds(1500);
    /// A forwarded request's deadline is earlier by this, for the way back.
    common::duration hop_margin = std::chrono::milliseconds(2);
    /// How long a peer may tell of a newer configuration, which we can't get,
    /// before new work stops.
    common::duration newer_configuration_grace = std::chrono::seconds(2);
    /// How long ago the store, or witnesses in its place, must have shown that
    /// our configuration is the newest.
    common::duration max_configuration_age = std::chrono::seconds(5);
    common::duration load_interval = std::chrono::milliseconds(500);
    /// Peers that hear of our load in one interval. All of them would make a
    /// node's bytes grow with the members: 19 KB/s at 33.
    std::size_t load_fanout = 3;
    /// A peer's load counts for so long: with 33 members it is heard of every
    /// 6 s. One that is out of date costs a refusal and a second choice.
    common::duration load_lifetime = std::chrono::seconds(10);
    /// How long a balancer may go on sending after /readyz turned to 503.
    common::duration balancer_lag = std::chrono::seconds(5);
    /// How long a handover waits for each of: slots, keys, acknowledgement.
    common::duration handover_stage_timeout = std::chrono::seconds(5);
    common::duration handover_retry_interval = std::chrono::milliseconds(300);
    std::size_t max_handovers = 8; ///< At once.
    /// Others learn within this time that a partition was given up. A member
    /// that leaves goes on refusing what they still forward to it.
    common::duration release_propagation_time = std::chrono::seconds(1);
    /// With nothing left to answer, a stop waits no longer than this for the
    /// store; the others then bury what is left of this member.
    common::duration stop_timeout = std::chrono::seconds(30);
};

} // namespace fuchsia::core::requests
