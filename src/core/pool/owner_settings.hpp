#pragma once

#include "core/pool/colocation.hpp"
#include "core/pool/fleet.hpp"
#include "core/pool/ledger.hpp"
#include "core/pool/rebalance.hpp"
#include "core/pool/short_job_reserve.hpp"
#include "core/pool/worker_list.hpp"

#include <cstddef>
#include <cstdint>

// What an owner goes by, and what it counts.
namespace fuchsia::core::pool
{

struct owner_settings
{
    fleet_settings workers;
    ledger_settings commits;
    colocation_settings colocation;
    rebalance_settings rebalance;
    short_job_reserve_settings short_job_reserve;
    common::duration call_timeout = std::chrono::milliseconds(900);
    /// A page of the store is up to 1 MB: 0.8 s on a link of 10 Mbit/s that has
    /// nothing else to carry.
    common::duration page_timeout = std::chrono::seconds(5);
    /// Before a read of the state without an answer is sent once more. Nothing
    /// is heard, or renewed, while one that got lost is waited for.
    common::duration read_resend_after = std::chrono::seconds(1);
    /// An owner that gets no part of the state for this long gives up.
    common::duration load_timeout = std::chrono::seconds(6);
    /// An owner whose watches for jobs bring nothing for this long while the
    /// store renews its claim gives up. One watch may get lost.
    common::duration stalled_watch_timeout = std::chrono::seconds(4);
    worker_list_settings list;
    /// On a list that is older nothing starts while the store answers: a worker
    /// in it may be leaving.
    common::duration list_age_limit = std::chrono::milliseconds(1250);
    /// The same of what operators set,
    common::duration configuration_age_limit = std::chrono::milliseconds(1950);
    /// and of news of jobs: one of which something starts may be cancelled.
    common::duration jobs_age_limit = std::chrono::milliseconds(2600);
    /// How long a worker may hold back its answer while nothing ends there:
    /// where serving tasks have neighbours that may disturb them, and
    /// elsewhere.
    common::duration guarded_poll_wait = std::chrono::milliseconds(350);
    common::duration unguarded_poll_wait = std::chrono::milliseconds(700);
    /// An idle worker is asked this often, for its clock.
    common::duration idle_interval = std::chrono::seconds(2);
    /// An order that got no answer after this long is followed up.
    common::duration order_timeout = std::chrono::milliseconds(350);
    /// A wait without an answer ends this long after the worker's own limit.
    common::duration poll_grace = std::chrono::milliseconds(500);
    /// Between two rounds of placing while nothing but readings has changed.
    common::duration dispatch_interval = std::chrono::milliseconds(100);
    /// At least so long between two rounds.
    common::duration dispatch_pause = std::chrono::milliseconds(10);
    /// Before what was refused, or got no answer, is asked again.
    common::duration retry_pause = std::chrono::milliseconds(100);
    /// After a refusal for want of room.
    common::duration full_pause = std::chrono::milliseconds(100);
    /// A worker on which tasks of this many jobs failed in a row is avoided.
    std::size_t suspect_after = 3;
    common::duration suspect_pause = std::chrono::seconds(6);
    /// A task whose progress stands still for this long is started elsewhere.
    common::duration stuck_after = std::chrono::milliseconds(2500);
    /// Final states are kept this long: those who ask get an answer for two
    /// minutes at least.
    common::duration final_state_retention = std::chrono::minutes(4);
    /// So long a cancelling stays that overtook its job. A commit without an
    /// answer may take effect within seconds.
    common::duration cancel_retention = std::chrono::seconds(60);
};

/// What an owner counts, for metrics.
struct owner_counters
{
    std::uint64_t starts = 0;
    std::uint64_t starts_refused = 0;
    std::uint64_t starts_unclear = 0;
    std::uint64_t tasks_done = 0;
    std::uint64_t tasks_failed = 0;
    std::uint64_t tasks_lost = 0;
    std::uint64_t speed_limit_changes = 0;
    std::uint64_t evicted = 0;
    std::uint64_t rebalanced = 0; ///< Serving tasks moved.
    std::uint64_t rounds = 0;     ///< Of placing.
    std::uint64_t scored = 0;     ///< Workers looked at for a task.
    std::uint64_t jobs_finished = 0;
};

} // namespace fuchsia::core::pool
