#pragma once

#include "core/common/json.hpp"
#include "core/common/time.hpp"
#include "ports/workers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// A job as its submitter describes it.
namespace fuchsia::core::pool
{

/// Bounds of a job. Its owner holds every task in memory, and the record of
/// its progress has a row for each: more tasks would not fit into one value of
/// the store.
constexpr std::size_t max_steps = 256;
constexpr std::uint32_t max_tasks_per_step = 10'000;
constexpr std::uint32_t max_occurrences = 10'000;
constexpr std::uint64_t max_tasks = 20'000; ///< Of all occurrences together.
constexpr std::size_t max_spec_bytes = 16 * 1024; ///< Bytes.
constexpr std::size_t max_name_bytes = 256; ///< Bytes of a label or an image.
/// Of each part of a task's resources: sums of them stay exact.
constexpr std::int64_t max_resource_value = 1'000'000'000;
constexpr common::duration max_duration = std::chrono::hours(24 * 366);

/// `count` equal tasks that may run once all tasks of the steps in `after`
/// are done.
struct step
{
    std::uint32_t count = 1;
    ports::resources declared; ///< Of each task.
    common::duration estimate{};
    std::vector<std::uint32_t> after; ///< Numbers of earlier steps.
    bool checkpoints = false;         ///< Its progress can be resumed.
    bool gang = false;                ///< The tasks work only together.
    bool same_rack = false;           ///< Slower over more than one rack.
    std::string required_label;
    std::string near_rack;            ///< Where its data lies.
    std::uint32_t max_per_worker = 0; ///< 0: no limit.
    bool speculative = false;         ///< Copies may run; the first counts.
    bool long_running = false;        ///< Runs until the job is cancelled.
    std::string image;                ///< Tasks of one image behave alike.
    common::duration tail_target{};   ///< Of a serving task; 0: serves nobody.
    bool best_effort = false; ///< Uses what others leave; takes no capacity.
    std::uint32_t max_unavailable =
        0; ///< Tasks that may be away by our own orders.
};

struct job
{
    std::string id; ///< Chosen by the submitter; makes submitting idempotent.
    std::string queue;
    std::string spec; ///< Handed to the workers as it is.
    std::vector<step> steps;
    std::uint32_t occurrences = 1;
    std::int64_t first_unix_ms = 0; ///< 0: due when it is submitted.
    std::int64_t interval_ms = 0;   ///< Between occurrences.
    std::int64_t accepted_unix_ms = 0;

    /// Length of the longest chain of dependent steps, by their estimates.
    common::duration longest_chain() const;
};

/// The form in which jobs lie in the store.
std::string to_json(job const& value);
std::optional<job> parse_job(std::string_view json, common::failure& reason);

/// Numbers of steps under `key`, which may be absent; what is none fails `in`.
std::vector<std::uint32_t> earlier_steps(common::json_reader& in,
                                         std::string_view key);

/// Whether a job may be called so: 1 to 64 letters, digits, "-" and "_". Ids
/// stand in keys of the store and in names of tasks, where "/", "." and what a
/// query gives a meaning would make them another key's or another task's.
bool is_job_id(std::string_view text) noexcept;

/// Empty where the job keeps the bounds above and its steps refer to earlier
/// ones only; else what does not. Says nothing of its id and queue.
std::optional<common::failure> validate_job(job const& value);

} // namespace fuchsia::core::pool
