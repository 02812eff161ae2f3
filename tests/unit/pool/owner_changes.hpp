#pragma once

#include "pool_simulation.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// A pool of large and small instances with causes that change its owner, and a
// check of what the workers run meanwhile.
namespace fuchsia::tests::unit::pool
{

/// Time after which a crashed worker returns that never does in a test.
constexpr duration never = 1h;

/// Cause of changes of the owner, which acts on some instances.
enum class trouble : std::uint8_t
{
    late_takeover_writes,   ///< Writes that ask a holder for the claim.
    lost_takeover_answers,  ///< The same writes take effect without an answer.
    refused_lease_grants,   ///< Lease grants.
    lost_lease_grants,      ///< Answers of lease grants.
    refused_claim_writes,   ///< Writes of the claim or of a request for it.
    lost_claim_writes,      ///< The same writes don't reach the store.
    lost_claim_answers,     ///< Their answers are lost.
    late_claim_writes,      ///< They take effect late.
    stalled_claim_watches,  ///< Watches of the claim.
    lost_renewals,          ///< Lease renewals.
    refused_renewals,       ///< Lease renewals.
    lost_state_reads,       ///< Reads of the stored state.
    stalled_job_watches,    ///< The owner's watch of jobs and of the claim.
    lost_configuration,     ///< Reads and watches of the configuration.
    lost_commits,           ///< All commits but those for the claim.
    frozen_again_and_again, ///< For 1.5 s of every 2.5 s.
    lost_orders,            ///< Orders to workers.
};

std::string_view name_of(trouble kind);
/// Returns all kinds of trouble.
std::vector<trouble> const& all_troubles();

/// Numbers of instances and workers. The large instances come first.
struct pool_shape
{
    std::size_t large = 2;
    std::size_t small = 6;
    std::size_t workers = 24;
};

class changing_pool
{
public:
    /// Starts no instance.
    explicit changing_pool(pool_shape shape);

    void start(std::size_t instance);
    /// Starts the instances in this order, with a pause after each.
    void start(std::vector<std::size_t> const& order, duration pause);
    std::vector<std::size_t> large_instances() const;
    std::vector<std::size_t> small_instances() const;
    /// Submits jobs that last. Jobs that end follow by themselves, one a
    /// second.
    void submit_lasting_jobs();
    /// Waits for a working owner, submits the jobs and waits until they run.
    /// Returns whether they do.
    bool begin_work();

    void begin(trouble kind, std::vector<std::size_t> const& on);
    void end_all_troubles();
    /// Kills the holder of the claim. It is started again after `pause`, if one
    /// is given.
    void kill_holder(std::optional<duration> pause);
    void kill_all();
    /// Crashes the next worker that hasn't crashed yet. It returns after
    /// `down_time` under another id.
    void crash_next_worker(duration down_time);

    /// Ends all trouble and runs until no instance is frozen any more and all
    /// instances and workers that return have started again.
    void end_impairments();
    /// From now on the time counts as calm.
    void calm_down();
    /// Runs on with jobs that end and the check of what runs.
    void run(duration length);
    /// Runs until all jobs that end are completed. Returns those that aren't
    /// after `timeout`.
    std::string unfinished_jobs(duration timeout);

    /// Returns the first broken rule of what must run, or the simulation's own
    /// violation; empty if there is none.
    std::string violation() const;
    /// Returns the longest time without a working owner so far.
    duration longest_without_owner() const noexcept;
    /// Returns the total time without a working owner so far.
    duration total_without_owner() const noexcept;
    /// Returns the number of times that an owner began to work.
    std::size_t owners_that_worked() const noexcept;
    /// Returns the number of times that a large owner that worked lost the
    /// claim without having been killed.
    std::size_t large_owners_replaced() const;
    /// Returns the number of owners that lost the claim without having been
    /// killed, whether or not they worked.
    std::size_t owners_replaced() const;
    /// Returns the instance that works as the owner.
    std::optional<std::size_t> working_owner() const;
    /// Returns the figures and the last log lines about the owner.
    std::string report() const;

    pool_simulation& simulation() noexcept;

private:
    struct tracked_job
    {
        std::string id;
        std::uint64_t request = 0;
        std::uint32_t tasks = 0;
        bool lasting = false;
        bool accepted = false;
        /// Time of the last run of each task, or of the job's acceptance.
        std::vector<time_point> last_run;
        time_point last_run_of_any{};
    };

    fault_effect store_effect(std::size_t instance,
                              ports::kv_operation const& call) const;
    fault_effect worker_effect(std::size_t instance) const;
    bool acts(trouble kind, std::size_t instance) const;
    bool replaced_owner(logged_line const& line) const;
    void freeze_again();
    void restart_killed();
    /// Returns a small instance that is up, the last one if possible.
    std::size_t accepting_instance() const;
    void submit_due_job();
    void submit(std::string const& id, bool lasting, std::uint32_t tasks);
    void observe_owner();
    void observe_jobs();
    void observe(tracked_job& job);
    void check(tracked_job const& job);
    bool accept(tracked_job& job);
    bool has_pending_task(tracked_job const& job) const;
    bool finished(tracked_job const& job) const;
    /// Whether nothing ran for the time that the rule allows, counted from
    /// `last_run`, all of it calm.
    bool breaks_rule(time_point last_run) const;
    void note(std::string const& what, time_point last_run);

    pool_shape shape_;
    pool_simulation simulation_;
    time_point started_at_;
    std::map<trouble, std::set<std::size_t>> troubles_;
    std::map<std::size_t, time_point> restarts_;
    std::set<std::size_t> down_instances_;
    time_point impaired_until_{};
    std::size_t crashed_workers_ = 0;
    std::vector<tracked_job> jobs_;
    std::size_t next_job_ = 0;
    std::optional<time_point> next_job_at_;
    time_point next_freeze_{};
    std::optional<time_point> calm_since_;
    std::string violation_;
    std::uint64_t last_epoch_ = 0;
    time_point last_worked_at_;
    duration longest_without_owner_{};
    duration total_without_owner_{};
    std::size_t owners_that_worked_ = 0;
};

} // namespace fuchsia::tests::unit::pool
