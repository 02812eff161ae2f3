#pragma once

#include "core/common/time.hpp"
#include "tools/soak/observation.hpp"
#include "tools/soak/random_source.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Plan of a soak run: all jobs and faults with their times, drawn from one
// seed.
namespace fuchsia::tools::soak
{

enum class fault_kind : std::uint8_t
{
    kill,            ///< SIGKILL; the instance restarts at the end.
    stop,            ///< SIGTERM; the instance restarts at the end.
    pause,           ///< SIGSTOP at the begin, SIGCONT at the end.
    settings_change, ///< The settings file changes; half of the time with
                     ///< SIGHUP.
    store_delay,
    store_cut,
    store_reset, ///< Resets the store connections of one instance.
    caller_delay,
    caller_cut,
    caller_reset,
    owner_change, ///< One of a series of kills, stops, pauses and store cuts,
                  ///< each of the owner of that moment.
    worker_cut,   ///< Cuts the link between all instances and one worker.
    worker_reset,
    store_silent,
    store_refusing,
    store_late,
    store_lossy,
    watch_lost,
    compaction,
    lease_lapse,
    crash, ///< A worker crashes and restarts at the end.
    drain, ///< A worker drains; another replaces it at the end.
    worker_late,
    worker_silent, ///< The worker carries out its pending orders at the end.
    worker_lossy,
    configuration, ///< The operator adds or removes a queue.
    evacuation,    ///< The operator evacuates a data centre and ends the
                   ///< evacuation.
    shrink, ///< The capacity of a worker shrinks, and grows again at the end.
    store_outage, ///< Cuts the links between all instances and the store.
    owner_loss, ///< One of a series of kills of the owner, each in an outage of
                ///< the store.
    long_worker_cut, ///< Cuts off a worker for longer than a takeover.
    late_orders, ///< A worker answers half of its orders only, and carries out
                 ///< the others seconds later.
    same_id_restart, ///< A worker crashes and restarts under its id at the end.
};

std::string_view name_of(fault_kind kind) noexcept;
std::optional<fault_kind> fault_kind_from(std::string_view name) noexcept;
std::set<fault_kind> all_fault_kinds();
/// The kinds of a run for which none are selected: all but those of owner
/// losses and of late orders, which need jobs of their own.
std::set<fault_kind> default_fault_kinds();
/// Whether the target of the kind is the index of a worker.
bool hits_worker(fault_kind kind) noexcept;
/// Whether time limits are not checked while a fault of this kind is active.
bool suspends_time_limits(fault_kind kind) noexcept;
/// Draws the length of a fault of the kind.
core::common::duration draw_length(fault_kind kind, random_source& random);
/// Kind of fault that a fault of the kind `owner_change` consists of.
fault_kind kind_of_owner_change(std::uint32_t variant) noexcept;

struct fault
{
    core::common::duration at{}; ///< Time since the start of the traffic.
    core::common::duration length{};
    fault_kind kind = fault_kind::kill;
    std::uint32_t target = 0;  ///< Index of the instance or worker.
    std::uint32_t variant = 0; ///< Selects a variant of the kind.
    /// Whether a fault of an instance hits the current owner of the pool
    /// instead of `target`.
    bool at_owner = false;
};

struct planned_job
{
    core::common::duration at{};
    std::string id;
    std::string spec; ///< May make one task of the job crash its workers.
    job_shape shape;
    std::uint32_t caller = 0;
    std::uint32_t instance = 0; ///< Instance that gets the first submission.
    bool retries_refusals =
        true;                 ///< Whether the caller retries after a refusal.
    bool resubmitted = false; ///< Whether it is submitted again after its
                              ///< acceptance.
    std::optional<core::common::duration> cancel_after;
    bool kept = false; ///< Not even cancelled at the end of the traffic.
};

struct plan_settings
{
    std::uint64_t seed = 1;
    core::common::duration traffic = std::chrono::seconds(20);
    std::uint32_t instances = 9;
    std::uint32_t workers = 12;
    std::set<fault_kind> kinds = default_fault_kinds();
};

/// Resources of the machine of an instance. The instances with the largest ones
/// schedule.
struct machine_size
{
    double cores = 0.069;
    double link_mbps = 10;
};

constexpr machine_size small_machine{};
constexpr machine_size large_machine{0.5, 200};

struct plan
{
    std::vector<machine_size> machines; ///< By number of the instance.
    std::vector<fault> faults;          ///< Faults in order of time.
    std::vector<planned_job> jobs;
};

constexpr std::uint32_t caller_count = 12;
/// Queues that receive jobs. They are part of every configuration.
constexpr std::string_view first_queue = "jobs";
constexpr std::string_view second_queue = "side";
/// Number of queues that the operator adds and removes, named "extra0" and up.
constexpr std::uint32_t extra_queue_count = 3;
std::string extra_queue(std::uint32_t number);

plan make_plan(plan_settings const& settings);
/// Returns one line per fault and job.
std::string to_text(plan const& drawn);

} // namespace fuchsia::tools::soak
