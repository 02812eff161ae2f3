#pragma once

#include "core/common/json.hpp"
#include "core/common/time.hpp"
#include "ports/workers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The specification of a job as its submitter describes it.
namespace fuchsia::core::pool
{

/// Bounds of a job. The owner keeps every task in memory, and the progress
/// record has one row per task: the record of a job with more tasks would not
/// fit into one value of the store.
constexpr std::size_t max_steps = 256;
constexpr std::uint32_t max_tasks_per_step = 10'000;
constexpr std::uint32_t max_occurrences = 10'000;
constexpr std::uint64_t max_tasks =
    20'000; ///< Tasks of all occurrences together.
constexpr std::size_t max_spec_bytes = 16 * 1024;
constexpr std::size_t max_name_bytes = 256; ///< Of a label, rack or image.
/// Maximum of each resource of a task. The bound keeps sums of resources exact.
constexpr std::int64_t max_resource_value = 1'000'000'000;
constexpr common::duration max_duration = std::chrono::hours(24 * 366);

/// A step of `count` equal tasks, which may run once all tasks of the steps in
/// `after` are done.
struct step
{
    std::uint32_t count = 1;
    ports::resources declared;        ///< Resources of each task.
    common::duration estimate{};      ///< Expected duration of each task.
    std::vector<std::uint32_t> after; ///< Numbers of earlier steps.
    bool checkpoints = false;         ///< Progress can be resumed.
    bool gang = false;                ///< The tasks work only if all run.
    bool same_rack = false; ///< The tasks are slower on several racks.
    std::string required_label;
    std::string near_rack;            ///< Rack where its data is stored.
    std::uint32_t max_per_worker = 0; ///< 0: no limit.
    bool speculative = false;         ///< Copies may run; the first counts.
    bool long_running = false;        ///< Runs until the job is cancelled.
    std::string image;                ///< Tasks of the same image behave alike.
    /// Target of the tail latency of a serving task; 0: not a serving task.
    common::duration tail_target{};
    /// The tasks use only resources that others leave idle and take no
    /// capacity.
    bool best_effort = false;
    /// Maximum number of tasks that may be down at a time because of orders of
    /// the scheduler.
    std::uint32_t max_unavailable = 0;
};

struct job
{
    std::string id; ///< Chosen by the submitter; makes submission idempotent.
    std::string queue;
    std::string spec; ///< Passed to the workers unchanged.
    std::vector<step> steps;
    std::uint32_t occurrences = 1;
    std::int64_t first_unix_ms = 0; ///< First due time; 0: when submitted.
    std::int64_t interval_ms = 0;   ///< Time between occurrences.
    std::int64_t accepted_unix_ms = 0;

    /// Returns the duration of the longest chain of dependent steps, by their
    /// estimates.
    common::duration longest_chain() const;
};

/// Returns the form in which jobs are stored.
std::string to_json(job const& value);
std::optional<job> parse_job(std::string_view json, common::failure& reason);

/// Reads the list of step numbers under `key`, which may be absent. An element
/// that is not a step number makes `in` fail.
std::vector<std::uint32_t> earlier_steps(common::json_reader& in,
                                         std::string_view key);

/// Whether `text` is a valid job id: 1 to 64 letters, digits, "-" and "_". Ids
/// are parts of store keys and task names. In those, "/", "." and characters
/// with a meaning in URL queries would make the id refer to another key or
/// task.
bool is_job_id(std::string_view text) noexcept;

/// Returns the first violation of the bounds above, or of the rule that steps
/// refer only to earlier steps; empty if there is none. Does not check the id
/// and the queue.
std::optional<common::failure> validate_job(job const& value);

} // namespace fuchsia::core::pool
