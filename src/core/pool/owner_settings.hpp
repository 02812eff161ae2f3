#pragma once

#include "core/pool/colocation.hpp"
#include "core/pool/fleet.hpp"
#include "core/pool/ledger.hpp"
#include "core/pool/rebalance.hpp"
#include "core/pool/short_job_reserve.hpp"
#include "core/pool/worker_list.hpp"

#include <cstddef>
#include <cstdint>

// Settings and counters of the owner.
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
    /// Timeout of a page read. A page is up to 1 MB, which takes 0.8 s on an
    /// otherwise idle link of 10 Mbit/s.
    common::duration page_timeout = std::chrono::seconds(5);
    /// Time after which an unanswered read of the state is sent again; doubles
    /// each time.
    /// While the owner waits for a lost call it gets no updates and renews
    /// nothing.
    common::duration read_resend_after = std::chrono::seconds(1);
    /// Time without any part of the state after which a loading owner hands
    /// the claim over.
    common::duration load_timeout = std::chrono::seconds(6);
    /// Time without an answered job watch after which an owner whose claim is
    /// still renewed hands it over. Long enough for one watch to get lost.
    common::duration stalled_watch_timeout = std::chrono::seconds(4);
    /// Time without an answer of any worker after which an owner whose claim is
    /// still renewed hands it over. Longer than the interval of polls of idle
    /// workers, and shorter than the lease of a worker.
    common::duration silent_workers_timeout = std::chrono::milliseconds(2800);
    /// The same limit before the first answer. All workers are polled at once
    /// then.
    common::duration first_answer_timeout = std::chrono::milliseconds(1200);
    worker_list_settings list;
    /// Maximum age of the worker list for starting tasks while the store
    /// answers: a worker in an older list may be leaving.
    common::duration list_age_limit = std::chrono::milliseconds(1250);
    /// The same limit for the operators' configuration.
    common::duration configuration_age_limit = std::chrono::milliseconds(1950);
    /// The same limit for the job watch: a job may have been cancelled since.
    common::duration jobs_age_limit = std::chrono::milliseconds(2600);
    /// Long-poll wait on workers where best-effort tasks may disturb serving
    /// tasks.
    common::duration guarded_poll_wait = std::chrono::milliseconds(350);
    /// Long-poll wait on all other workers.
    common::duration unguarded_poll_wait = std::chrono::milliseconds(700);
    /// Time between polls of an idle worker, which read its clock.
    common::duration idle_interval = std::chrono::milliseconds(1600);
    /// Time for which an order without an answer may still be carried out.
    common::duration late_order_limit = std::chrono::seconds(15);
    /// Time between polls of an idle worker with such an order: until a new
    /// incarnation has received the next token, it may carry the order out.
    common::duration restart_watch_interval = std::chrono::milliseconds(250);
    /// Timeout of an order to a worker.
    common::duration order_timeout = std::chrono::milliseconds(350);
    /// Time by which the timeout of a poll exceeds the worker's long-poll wait.
    common::duration poll_grace = std::chrono::milliseconds(500);
    /// Time between dispatch rounds while only measurements change.
    common::duration dispatch_interval = std::chrono::milliseconds(100);
    /// Minimum time between dispatch rounds.
    common::duration dispatch_pause = std::chrono::milliseconds(10);
    /// Time before a call that was refused or not answered is retried.
    common::duration retry_pause = std::chrono::milliseconds(100);
    /// Time before a worker that reported no capacity, or did not answer, is
    /// used or polled again.
    common::duration full_pause = std::chrono::milliseconds(100);
    /// Number of jobs whose tasks must fail in a row on a worker before the
    /// worker is avoided.
    std::size_t suspect_after = 3;
    /// Time for which such a worker is avoided.
    common::duration suspect_pause = std::chrono::seconds(6);
    /// Time without progress after which a task is stopped and started on
    /// another worker.
    common::duration stuck_after = std::chrono::milliseconds(2500);
    /// Time for which final states are kept. Callers are promised an answer for
    /// at least two minutes.
    common::duration final_state_retention = std::chrono::minutes(4);
    /// Time for which a cancel key without a job is kept, because a cancel may
    /// overtake its job: an unanswered commit may take effect seconds later.
    common::duration cancel_retention = std::chrono::seconds(60);
};

/// Counters of the owner for metrics.
struct owner_counters
{
    std::uint64_t starts = 0;
    std::uint64_t starts_refused = 0;
    std::uint64_t starts_unclear = 0;
    /// Fencing tokens that were replaced for an order that may be late.
    std::uint64_t tokens_superseded = 0;
    /// Orders that were refused after one with a higher token.
    std::uint64_t orders_overtaken = 0;
    std::uint64_t tasks_done = 0;
    std::uint64_t tasks_failed = 0;
    std::uint64_t tasks_lost = 0;
    std::uint64_t tasks_blamed = 0; ///< Runs blamed for a worker's crash.
    /// Listed ends of tasks that were done, or whose job is not known any more.
    std::uint64_t ends_unused = 0;
    std::uint64_t speed_limit_changes = 0;
    std::uint64_t evicted = 0;
    /// Time for which some serving task of a worker was over its latency target
    /// beside best-effort tasks, summed over the workers.
    common::duration over_target{};
    common::duration longest_miss{}; ///< Longest such time on end.
    std::uint64_t rebalanced = 0;    ///< Serving tasks moved.
    std::uint64_t rounds = 0;        ///< Dispatch rounds.
    std::uint64_t scored = 0;        ///< Workers scored for a task.
    std::uint64_t jobs_finished = 0;
};

} // namespace fuchsia::core::pool
