#pragma once

#include "core/pool/best_effort_throttle.hpp"
#include "core/pool/colocation.hpp"
#include "core/pool/end_cursor.hpp"
#include "core/pool/job.hpp"
#include "core/pool/order_token.hpp"
#include "core/pool/outbox.hpp"
#include "core/pool/target_miss.hpp"
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
    /// Lease of a worker: time for which it goes on running its tasks without
    /// contact to an owner. Must be longer than a failover takes. The tasks of
    /// a worker that no longer answers can't start elsewhere for this time.
    common::duration lease = std::chrono::milliseconds(3500);
    /// Longest lease that a worker grants; it shortens a longer one.
    common::duration max_lease = std::chrono::seconds(10);
    /// A worker that has not answered for this long gets no lease extension.
    /// Any unanswered call may have reached the worker, so with further
    /// extensions its lease would never be known to have expired.
    common::duration renew_within = std::chrono::milliseconds(1300);
    /// Fraction by which a worker's clock may run slower than the owner's.
    double clock_drift = 0.02;
    /// Margin after the end of a lease that covers rounding errors.
    common::duration lapse_slack = std::chrono::milliseconds(100);
    /// An owner that gets no answer from the store goes on as long as more than
    /// half of its workers have answered within this time. A successor raises
    /// the fencing token on more than half of the workers, so at least one of
    /// these answers shows the old owner that it has been replaced. Must be
    /// longer than the poll interval of an idle worker. A takeover that waits
    /// for an unreached worker lasts this time and a lease; with the lease of
    /// the claim that has to stay below 7 s, within which all that could run
    /// has to run. It lasts longer only for workers that restarted shortly
    /// before.
    common::duration quorum_window = std::chrono::milliseconds(2100);
    /// Maximum time for which an owner goes on without the store and without
    /// such a quorum of workers.
    common::duration unconfirmed_limit = std::chrono::milliseconds(1500);
    /// Maximum time for which an owner goes on without the store in any case. A
    /// successor that can't reach half of the workers waits for the same time.
    common::duration quorum_limit = std::chrono::seconds(60);
};

/// State of a worker as known to the owner.
struct worker
{
    ports::pool_worker info;
    bool listed = false;  ///< It is in the platform's list.
    bool adopted = false; ///< This incarnation has answered this owner.
    common::time_point adopted_at{}; ///< Time of its first answer.
    /// It is in the stored roster, with its adopted incarnation if there is
    /// one, so that a successor will poll it and knows how long its lease may
    /// be. Only then may tasks start here.
    bool rostered = false;
    /// Another worker has answered at its address, so it has ended. Only set
    /// for workers that have not answered this owner.
    bool ended = false;
    std::uint64_t incarnation = 0; ///< Adopted incarnation; 0: none.
    order_token token;             ///< Fencing token of the orders to it.
    /// Time of the first answer of this incarnation if it has replaced another
    /// one that this owner had adopted.
    common::time_point restarted_at{};

    /// Reserved by the tasks placed here, without cores of best-effort tasks.
    ports::resources reserved;
    std::int64_t serving_cores = 0;      ///< Reserved by serving tasks.
    std::int64_t long_running_cores = 0; ///< Reserved by long-running tasks.
    std::int64_t serving_used = 0; ///< Part of `serving_cores` that is in use.
    std::int64_t best_effort_cores = 0; ///< Declared by best-effort tasks.
    std::set<ports::task_name> runs;    ///< Tasks placed here.
    /// Tasks placed here that may crash the worker.
    std::set<ports::task_name> suspects;
    /// Serving tasks that are being moved here, whose capacity is reserved.
    std::set<ports::task_name> reservations;
    /// Best-effort images for which this worker was cleared by rebalancing,
    /// with the time until which it is kept clear.
    std::map<std::uint16_t, common::time_point> cleared_for;

    std::uint64_t clock_ms = 0; ///< Last reported clock of the worker; 0: none.
    common::time_point clock_received_at{}; ///< Time of that report.
    /// End, on the worker's clock, of the latest lease that may have reached
    /// it.
    std::uint64_t lease_until_ms = 0;
    /// Time at which the latest lease by the clock of an earlier incarnation,
    /// which may be longer than `fleet_settings::lease`, has expired.
    common::time_point long_lease_until{};

    /// Sequence number up to which the worker's ended attempts are durable.
    std::uint64_t durable_end = 0;
    /// Sequence number up to which the worker has been told so.
    std::uint64_t acknowledged_end = 0;
    end_cursor ends; ///< Which of its ended attempts were processed.
    /// Number of ended attempts whose record is being written.
    std::uint64_t ends_being_written = 0;
    std::uint32_t starts_pending = 0; ///< Starts that wait for their answer.
    /// Time at which an order with a lease was last answered by another
    /// incarnation than the adopted one, or found to have got no answer.
    common::time_point unconfirmed_lease_at{};
    /// Time at which an order that may be carried out late was last found to
    /// have got no answer.
    common::time_point order_unanswered_at{};
    /// Time at which a start was last found to have got no answer.
    common::time_point start_unclear_at{};
    bool poll_pending = false; ///< A poll is waiting for its answer.
    common::time_point next_poll{};
    common::time_point last_contact{}; ///< Time of the last answer to a poll.
    /// Time at which the poll with that answer was sent.
    common::time_point report_as_of{};
    /// Time of the last sign that another incarnation than the adopted one has
    /// started under this id.
    common::time_point restart_suspected_at{};
    std::uint64_t suspected_incarnation = 0; ///< Incarnation in that sign.
    /// The last poll was not answered, so no task starts here.
    bool silent = false;
    /// Time of the last answer before the worker last fell silent, or of its
    /// restart where no poll went unanswered; zero: it never did.
    common::time_point contact_lost_at{};
    /// Whether one of its runs may have crashed it when it last fell silent.
    bool may_have_crashed = false;
    bool silence_noted = false; ///< It has been silent for some time.
    /// A poll that was sent after the lease had expired was not answered
    /// either.
    bool silent_since_lapse = false;

    common::time_point avoid_until{}; ///< Suspected of making tasks fail.
    common::time_point full_until{};  ///< It has reported a lack of capacity.
    /// Runs in its last report that are not placed here. They are being stopped
    /// and occupy capacity until they end.
    std::set<ports::pool_attempt> unplaced_runs;
    worker_speed speed;
    /// Jobs with failed attempts here since the last successful attempt.
    std::vector<std::string> failed_jobs;
    target_miss miss;
    best_effort_throttle throttle;
    worker_view view;        ///< Cached view of the tasks that run together.
    bool view_known = false; ///< `view` is up to date.

    bool serves() const noexcept
    {
        return serving_cores > 0;
    }
    /// Whether there was a sign of another incarnation since the poll of the
    /// last report was sent, so that the report may be outdated.
    bool may_have_restarted() const noexcept
    {
        return restart_suspected_at > report_as_of;
    }
    /// Whether an answer or a list entry with `other` is a sign of another
    /// incarnation than the adopted one. 0 is an unknown incarnation.
    bool is_other_incarnation(std::uint64_t other) const noexcept
    {
        return adopted && incarnation != 0 && other != 0 &&
               other != incarnation;
    }
    /// Whether the capacity for two tasks of this size can be reserved.
    bool has_capacity_for_two(ports::resources const& declared) const noexcept;
    /// Unused cores, in thousandths of a core, as of the last update of `view`.
    std::int64_t idle_cores() const noexcept;
    /// The part of these that best-effort tasks may take by what the serving
    /// tasks measure.
    std::int64_t best_effort_room() const noexcept;
};

/// The set of all workers that may run tasks of this deployment.
class fleet
{
public:
    explicit fleet(fleet_settings settings);

    /// Applies changes that were read from the platform's list.
    void take_list(worker_changes const& changes);
    /// Adds a worker of the stored roster, which a previous owner may have
    /// used.
    void add_rostered(ports::pool_worker const& info);
    void erase(std::string const& id);

    worker* find(std::string const& id);
    /// Whether this owner may have sent the worker a higher token than `token`.
    /// If not, a refusal of `token` shows that there is a later owner.
    bool has_superseded(std::string const& id, std::uint64_t token) const;
    std::map<std::string, worker>& all() noexcept;
    std::map<std::string, worker> const& all() const noexcept;
    fleet_settings const& settings() const noexcept;

    /// Whether a listed worker of the service has the label that the step
    /// requires and, while it is empty, may have the capacity for one of its
    /// tasks. If not, none can start until the list changes.
    bool may_hold(step const& requested, std::string const& service);

    /// Whether more than half of the workers `ids` have answered at or after
    /// `oldest`, each in an incarnation that was adopted at or before
    /// `adopted_until`.
    bool majority_answered(std::set<std::string> const& ids,
                           common::time_point oldest,
                           common::time_point adopted_until) const;

    /// Number of workers that a successor would poll and that do not answer.
    std::size_t unreached() const noexcept;

    /// End, on the worker's clock, of a lease that begins now; 0 while the
    /// clock is unknown.
    std::uint64_t lease_end(worker const& target,
                            common::time_point now) const noexcept;
    /// Records that a lease until `until_ms`, computed by the clock of another
    /// incarnation, may have reached the worker by now.
    void assume_lease(worker& target,
                      std::uint64_t until_ms,
                      common::time_point now) const noexcept;
    /// Time after which every lease of the worker has expired if it may hold
    /// one that goes on for longer than a lease that begins now; else zero.
    common::duration long_lease_left(worker const& target,
                                     common::time_point now) const noexcept;
    /// Time after which a lease of `length` has expired on any worker's clock.
    common::duration expiry_time(common::duration length) const noexcept;
    /// Remaining time of the longest lease that may have reached the worker.
    common::duration lease_left(worker const& target,
                                common::time_point now) const noexcept;
    /// Whether every lease that was granted to the worker has expired on its
    /// clock, even if that clock is as slow as `clock_drift` allows. If it may
    /// have restarted, its new incarnation may hold the longest lease.
    bool lapsed(worker const& target, common::time_point now) const noexcept;
    /// Whether the worker may still list ends of tasks that ended before this
    /// owner adopted it. A start of such a task would be its second one. Ends
    /// no longer count once the worker has been silent for a lease.
    bool may_list_earlier_ends(worker const& target,
                               common::time_point now) const noexcept;

private:
    /// Returns the worker with this id, which is added if there is none.
    worker& find_or_add(std::string const& id);
    /// The worker's clock at `now`; 0 while it is unknown.
    std::uint64_t clock_at(worker const& target,
                           common::time_point now) const noexcept;

    /// Greatest amount of each resource that one of several workers has, by
    /// their label; the empty label stands for all of them.
    using largest_by_label = std::map<std::string, ports::resources>;

    std::map<std::string, largest_by_label> largest_by_service() const;

    fleet_settings settings_;
    std::map<std::string, worker> workers_;
    /// Highest token of the orders to workers that were removed. A worker that
    /// is added again has to get a higher one.
    std::uint64_t highest_removed_token_ = 0;
    /// By service; set when it is needed after a change of the list.
    std::optional<std::map<std::string, largest_by_label>> largest_;
};

} // namespace fuchsia::core::pool
