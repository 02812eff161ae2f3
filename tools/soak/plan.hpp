#pragma once

#include "core/common/time.hpp"
#include "tools/soak/observation.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// What a soak does and when: drawn as a whole from its seed.
namespace fuchsia::tools::soak
{

enum class fault_kind : std::uint8_t
{
    kill,            ///< SIGKILL; started again at the end.
    stop,            ///< SIGTERM; started again at the end.
    pause,           ///< SIGSTOP and SIGCONT.
    settings_change, ///< The settings file changes; SIGHUP for half of them.
    store_delay,
    store_cut,
    store_reset, ///< Of one instance's connections.
    caller_delay,
    caller_cut,
    caller_reset,
    worker_cut, ///< Between all instances and one worker.
    worker_reset,
    store_silent,
    store_refusing,
    store_late,
    store_lossy,
    watch_lost,
    compaction,
    lease_lapse,
    crash, ///< Of a worker; reborn at the end.
    drain, ///< It leaves at the end, and another comes.
    worker_late,
    worker_silent, ///< Its orders are carried out at the end.
    worker_lossy,
    configuration, ///< The operator adds or removes a queue.
    evacuation,    ///< The operator takes a data centre out, and back.
};

std::string_view name_of(fault_kind kind) noexcept;
std::optional<fault_kind> fault_kind_from(std::string_view name) noexcept;
std::set<fault_kind> all_fault_kinds();
/// Whether promises with a time limit hold while it lasts.
bool suspends_time_limits(fault_kind kind) noexcept;

struct fault
{
    core::common::duration at{}; ///< From the start of the traffic.
    core::common::duration length{};
    fault_kind kind = fault_kind::kill;
    std::uint32_t target = 0;  ///< Instance or worker.
    std::uint32_t variant = 0; ///< Its kind's choice among variants.
    /// Of one that meets an instance: it meets whoever owns the pool then.
    bool at_owner = false;
};

struct planned_job
{
    core::common::duration at{};
    std::string id;
    std::string spec;
    job_shape shape;
    std::uint32_t caller = 0;
    std::uint32_t instance = 0;   ///< Where the first try goes.
    bool retries_refusals = true; ///< Its caller tries again after a refusal.
    bool resubmitted = false;     ///< Sent once more after its acceptance.
    std::optional<core::common::duration> cancel_after;
};

struct plan_settings
{
    std::uint64_t seed = 1;
    core::common::duration traffic = std::chrono::seconds(20);
    std::uint32_t instances = 9;
    std::uint32_t workers = 12;
    std::set<fault_kind> kinds = all_fault_kinds();
};

struct plan
{
    std::vector<fault> faults; ///< In order of time.
    std::vector<planned_job> jobs;
};

constexpr std::uint32_t caller_count = 12;
/// The queues that jobs go to; these never change.
constexpr std::string_view first_queue = "jobs";
constexpr std::string_view second_queue = "side";
/// Queues that the operator adds and removes: "extra0" and so on.
constexpr std::uint32_t extra_queue_count = 3;
std::string extra_queue(std::uint32_t number);

plan make_plan(plan_settings const& settings);
/// One line for each fault and job.
std::string to_text(plan const& drawn);

} // namespace fuchsia::tools::soak
