#pragma once

#include "core/pool/colocation.hpp"
#include "core/pool/outbox.hpp"
#include "core/pool/worker_list.hpp"
#include "core/pool/worker_speed.hpp"
#include "ports/pool_workers.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::pool
{

struct fleet_settings
{
    /// How long a worker goes on with what it runs without hearing from an
    /// owner. Must outlast a failover; a worker that falls silent keeps its
    /// tasks from running elsewhere for this time.
    common::duration lease = std::chrono::milliseconds(3500);
    /// A worker that has not answered for this long gets no longer lease: each
    /// call may have reached it, so its lease would never be known to end.
    common::duration renew_within = std::chrono::milliseconds(1300);
    /// Part by which a worker's clock may run slower than ours.
    double clock_drift = 0.02;
    /// Beyond the end of a lease, for what was rounded on the way.
    common::duration lapse_slack = std::chrono::milliseconds(100);
    /// An owner that the store does not answer goes on while more than half of
    /// its workers have answered within this time. Whoever takes over raises
    /// the fence on more than half of them, so one of those answers tells the
    /// old owner that it is replaced. Longer than an idle worker is left alone.
    common::duration quorum_window = std::chrono::milliseconds(2500);
    /// Without such answers it goes on for this long.
    common::duration unconfirmed_limit = std::chrono::milliseconds(1500);
    /// And in no case longer than this; a successor that never reaches half of
    /// the workers waits as long.
    common::duration quorum_limit = std::chrono::seconds(60);
};

/// A worker as the owner knows it.
struct worker
{
    ports::pool_worker info;
    bool listed = false;   ///< The platform's list names it now.
    bool adopted = false;  ///< It answered this owner in this incarnation.
    bool rostered = false; ///< Successors will ask it: tasks may start here.
    std::uint64_t incarnation = 0; ///< Incarnation that was adopted.
    /// When it was first heard in place of another that this owner knew.
    common::time_point restarted_at{};

    ports::resources reserved;      ///< By what is placed; cores not by fills.
    std::int64_t serving_cores = 0; ///< Part of the reserved.
    std::int64_t long_running_cores = 0; ///< Of the reserved, by lasting tasks.
    std::int64_t serving_used = 0;       ///< Of those, what is in use now.
    std::int64_t best_effort_cores = 0;  ///< Declared by tasks that fill.
    std::set<ports::task_name> runs;     ///< Tasks placed here.
    /// Serving tasks that are being moved here: their room is reserved.
    std::set<ports::task_name> reservations;
    /// Filling images that this worker was cleared for, and until when.
    std::map<std::uint16_t, common::time_point> cleared_for;

    std::uint64_t clock_ms = 0;             ///< As it last told,
    common::time_point clock_received_at{}; ///< and when that was received.
    std::uint64_t lease_until_ms =
        0; ///< Latest lease that may have reached it.

    std::uint64_t durable_end = 0; ///< Ends that are durable.
    std::uint64_t highest_end = 0; ///< The highest end that was taken in.
    std::uint64_t ends_being_written = 0; ///< Ends whose record is on its way.
    bool poll_pending = false;            ///< A hold is on its way.
    common::time_point next_poll{};
    common::time_point last_contact{}; ///< Last answer to a hold.
    bool silent = false; ///< The last hold got no answer: nothing starts here.
    /// Nor did one that was sent when the lease had run out.
    bool silent_since_lapse = false;

    common::time_point avoid_until{}; ///< Suspected of failing what it runs.
    common::time_point full_until{};  ///< It said that it has no room.
    worker_speed speed;
    std::vector<std::string> failed_jobs; ///< Since its last success.
    common::time_point over_since{};      ///< A serving task there is too slow.
    worker_view view;        ///< What stands beside each other here,
    bool view_known = false; ///< unless something changed since.

    bool serves() const noexcept
    {
        return serving_cores > 0;
    }
    /// Whether two such tasks can have their room reserved.
    bool has_capacity_for_two(ports::resources const& declared) const noexcept;
    /// Cores in thousandths that nobody uses, as far as `view` tells.
    std::int64_t idle_cores() const noexcept;
};

/// All workers that may run tasks of this deployment.
class fleet
{
public:
    explicit fleet(fleet_settings settings);

    /// What was read from the platform's list.
    void take_list(worker_changes const& seen);
    /// One that a previous owner may have used.
    void add_rostered(ports::pool_worker const& info);
    void erase(std::string const& id);

    worker* find(std::string const& id);
    std::map<std::string, worker>& all() noexcept;
    std::map<std::string, worker> const& all() const noexcept;
    fleet_settings const& settings() const noexcept;

    /// Whether more than half of the workers that a successor would ask have
    /// answered since `oldest`.
    bool quorum(common::time_point oldest) const noexcept;

    /// End of a lease that begins now, on the worker's clock; 0 while that
    /// clock is not known.
    std::uint64_t lease_end(worker const& of,
                            common::time_point now) const noexcept;
    /// What is left of the longest lease that may have reached it.
    common::duration lease_left(worker const& of,
                                common::time_point now) const noexcept;
    /// Whether every lease that we gave has run out on the worker's clock, even
    /// where that is as slow as allowed.
    bool lapsed(worker const& of, common::time_point now) const noexcept;

private:
    fleet_settings settings_;
    std::map<std::string, worker> workers_;
};

} // namespace fuchsia::core::pool
