#pragma once

#include "core/common/time.hpp"

#include <cstdint>

namespace fuchsia::core::membership
{

/// Timing of the membership protocol. The safety of every claim (a member's
/// exclusive ownership of a partition) depends on it. `is_consistent` checks
/// the values against each other.
///
/// Store calls per second of a role with n members: 2n heartbeats (one write
/// per heartbeat_interval) and n/2 lists (one read per list_interval). Two
/// roles of 9: 36 writes and 9 reads. Two roles of 33 (11 data centres x 3):
/// 132 writes and 33 reads. Both are far below the limits of several hundred
/// writes and 2,000 reads. The test
/// `store_calls.steady_state_stays_within_the_budget` counts the calls.
struct settings
{
    /// Time between two heartbeats.
    common::duration heartbeat_interval = std::chrono::milliseconds(500);
    /// Time for which a proof allows its member to act, counted from the time
    /// at which the heartbeat or promise request was sent.
    common::duration proof_lifetime = std::chrono::seconds(2);
    /// Time for which a member's record must have been unchanged, and for which
    /// a witness must have given the member no promise before it consents,
    /// before the member may be fenced.
    common::duration fencing_delay = std::chrono::seconds(3);
    /// Maximum time without activity of this process. A longer gap counts as a
    /// pause of the process and invalidates its proof.
    common::duration pause_limit = std::chrono::milliseconds(800);
    /// Maximum number of witnesses that a member names.
    std::uint32_t witness_count = 5;
    /// Whether the consent of a witness may be replaced by evidence that the
    /// witness has terminated: the platform's list no longer contains it, or a
    /// newer process runs under its name. If false, an operator must remove a
    /// member whose witnesses have terminated.
    bool platform_list_replaces_consent = true;
    /// Time between two reads of all records of the role; reads are more
    /// frequent while a record is unchanged. A failed member is fenced about
    /// `fencing_delay` to `fencing_delay + list_interval` after its last
    /// heartbeat.
    common::duration list_interval = std::chrono::seconds(2);
};

/// Maximum difference between the speeds of two clocks, in thousandths.
constexpr std::int64_t max_drift_permille = 30;

/// Whether the values satisfy the safety conditions: `proof_lifetime` must have
/// ended on the slowest clock before `fencing_delay` ends on the fastest,
/// `proof_lifetime` must leave time for two attempts at a heartbeat, and
/// `pause_limit` must be shorter than `proof_lifetime`. `heartbeat_interval`
/// and `list_interval` must be positive.
constexpr bool is_consistent(settings const& value) noexcept
{
    return value.heartbeat_interval.count() > 0 &&
           value.list_interval.count() > 0 &&
           value.heartbeat_interval * 2 < value.proof_lifetime &&
           value.pause_limit < value.proof_lifetime &&
           value.proof_lifetime * (1000 + max_drift_permille) <
               value.fencing_delay * (1000 - max_drift_permille);
}

} // namespace fuchsia::core::membership
