#pragma once

#include "core/common/time.hpp"

#include <cstdint>

namespace fuchsia::core::membership
{

/// Timing that the safety of every claim rests on; checked against each other
/// by the settings: beat_interval < hold, and hold with drift < bury.
///
/// Store calls a second, by role of n members: 2n beats (one write each
/// beat_interval) and n/2 lists (one read each list_interval). Two roles of 9:
/// 36 writes and 9 reads. Two roles of 33 (11 data centres x 3): 132 writes
/// and 33 reads. Both are far below several hundred writes and 2,000 reads.
/// A test counts them.
struct settings
{
    common::duration heartbeat_interval = std::chrono::milliseconds(500);
    /// A proof lets its member act this long, counted from when the beat or
    /// promise request was sent.
    common::duration proof_lifetime = std::chrono::seconds(2);
    /// A record must stand still, and promises must be silent, this long
    /// before their member may be buried.
    common::duration fencing_delay = std::chrono::seconds(3);
    /// A longer gap between two ticks is a pause: it voids all proofs.
    common::duration pause_limit = std::chrono::milliseconds(800);
    std::uint32_t witness_count = 5;
    /// Whether the platform may stand in for the consent of witnesses that
    /// are gone: its list no longer names them, or it runs a newer process
    /// under their name. Off, an operator has to remove such a member.
    bool platform_list_replaces_consent = true;
    /// The records of the role are read this often, and more often while one
    /// of them stands still. A member that dies is buried about `bury` to
    /// `bury + list_interval` after its last beat.
    common::duration list_interval = std::chrono::seconds(2);
};

/// A clock may run this much faster or slower than another, in thousandths.
constexpr std::int64_t max_drift_permille = 30;

/// Whether the times fit each other, as the proof of safety needs them to:
/// `hold` must have ended on the slowest clock before `bury` ends on the
/// fastest, and a member must get two tries at a beat within `hold`.
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
