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

/// Settings of one entry. Its decisions depend only on these and on its input.
struct entry_settings
{
    membership::settings membership;
    config::follower_settings configuration;
    upstreams::slot_table_settings upstreams;
    contracts::slice_settings slices;
    key_memory_settings keys;
    admission_policy admission = deadline_admission{};
    retry_policy retries = retry_budget{};

    std::size_t max_open_requests =
        20'000; ///< Maximum number of requests held at once.
    std::size_t max_open_bytes =
        64U << 20U; ///< Maximum total size of their bodies.
    /// Maximum number of requests that wait for a slot.
    std::size_t max_queued = 2'000;
    /// Maximum number of requests of one customer that wait for a slice.
    std::size_t max_awaiting_slice = 64;

    /// Upper bound of the delivery time of a sending: one that has not reached
    /// an entry by then never will. At-most-once execution of a key across a
    /// takeover relies on this bound.
    common::duration max_delivery_time = std::chrono::seconds(5);
    /// Maximum time that a request waits for the first slice of its customer.
    common::duration slice_timeout = std::chrono::milliseconds(150);
    /// Maximum time that a request waits for a change of its partition's owner.
    common::duration owner_change_timeout = std::chrono::seconds(1);
    /// Maximum number of requests of one partition that wait for that change.
    std::size_t max_awaiting_owner = 1'000;
    /// No request with a key is forwarded to a peer from which no message came
    /// for this long.
    common::duration peer_silence_timeout = std::chrono::milliseconds(1500);
    /// The deadline of a forwarded request is shortened by this margin, which
    /// allows for the transfer of the answer.
    common::duration hop_margin = std::chrono::milliseconds(2);
    /// An entry that knows from a peer of a newer configuration, but cannot
    /// load it, stops taking new work after this time.
    common::duration newer_configuration_grace = std::chrono::seconds(2);
    /// Maximum time since the store, or the witnesses in its place, last
    /// confirmed that this entry's configuration is the newest.
    common::duration max_configuration_age = std::chrono::seconds(5);
    /// Time between load reports to peers.
    common::duration load_interval = std::chrono::milliseconds(500);
    /// Number of peers that get a load report in one interval. With reports to
    /// all peers the traffic of a node would grow with the number of members:
    /// 19 KB/s with 33 members.
    std::size_t load_fanout = 3;
    /// Time for which a peer's load report is used. With 33 members a report of
    /// each peer arrives every 6 s. A request that is forwarded on a stale
    /// report is refused and needs a second choice.
    common::duration load_lifetime = std::chrono::seconds(10);
    /// Maximum time for which a load balancer goes on sending requests after
    /// /readyz has changed to 503.
    common::duration balancer_lag = std::chrono::seconds(5);
    /// Maximum duration of each handover stage: draining the slots, draining
    /// the keys, waiting for the acknowledgement.
    common::duration handover_stage_timeout = std::chrono::seconds(5);
    /// Time between repeated transmissions of the keys to the successor.
    common::duration handover_retry_interval = std::chrono::milliseconds(300);
    std::size_t max_handovers = 8; ///< Maximum number of concurrent handovers.
    /// Maximum time until the other members know that a partition was released.
    /// A leaving member goes on refusing requests that are forwarded to it
    /// during this time.
    common::duration release_propagation_time = std::chrono::seconds(1);
    /// Maximum time that a stop waits for the store once every request is
    /// answered. After it the other members fence this member and remove its
    /// records.
    common::duration stop_timeout = std::chrono::seconds(30);
};

} // namespace fuchsia::core::requests
