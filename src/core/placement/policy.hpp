#pragma once

#include "core/placement/interference.hpp"
#include "ports/workers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Choice of a worker in a cell for a task. The hard limits are checked first
// and are the same for every policy; a policy only ranks the workers within
// them.
namespace fuchsia::core::placement
{

/// Task that runs on a worker or was assigned to it.
struct resident
{
    std::uint16_t task_class = 0;
    bool is_service = false;
    ports::resources declared;
    /// Last reported share of the worker's cores in use, 0 to 1; the declared
    /// share before the first report.
    double cpu_share = 0;
};

/// State of one worker as the input of a policy.
struct candidate
{
    std::string const* worker = nullptr;
    ports::resources capacity;
    ports::resources committed; ///< Sum of what all residents declared.
    std::int64_t batch_millicores = 0;
    /// Memory in MB that residents use beyond what they declared, which is not
    /// available to other tasks.
    std::int64_t memory_over_declared = 0;
    std::vector<resident> residents;
    /// Whether the task failed on this worker before, which makes the worker a
    /// last resort.
    bool failed_before = false;
};

struct placement_task
{
    std::uint16_t task_class = 0;
    bool is_service = false;
    ports::resources declared;
};

/// Baseline policy: the first worker in the given order with enough capacity.
struct first_fit
{
};

/// Policy that takes the worker where the task and the residents are expected
/// to slow each other down least; with equal slowdown the one with the smallest
/// committed share of its cores.
struct least_interference
{
    /// Weight of a service's slowdown relative to a batch task's.
    double service_weight = 4;
    /// Cost of a fully committed worker compared with an empty one.
    double utilisation_weight = 0.2;
};

using policy = std::variant<first_fit, least_interference>;

std::string_view name_of(policy const& value) noexcept;
std::optional<policy> policy_from(std::string_view name) noexcept;

struct placement_limits
{
    /// Maximum share of a worker's cores for batch tasks while the latency
    /// guard is enabled, in thousandths.
    std::uint32_t batch_guard_permille = 900;
};

/// Whether the worker has capacity for the task within `limits`. The sum of the
/// declared resources never exceeds the declared capacity of the worker.
bool fits(candidate const& worker,
          placement_task const& task,
          placement_limits const& limits) noexcept;

/// Index of the chosen worker; empty if none has capacity for the task.
std::optional<std::size_t> choose_worker(policy const& selected,
                                         std::vector<candidate> const& workers,
                                         placement_task const& task,
                                         interference_model const& model,
                                         placement_limits const& limits);

} // namespace fuchsia::core::placement
