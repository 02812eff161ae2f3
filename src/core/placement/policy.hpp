#pragma once

#include "core/placement/interference.hpp"
#include "ports/workers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Which worker of a cell a task goes to. Hard limits come first and are the
// same for every policy; a policy only orders what they leave.
namespace fuchsia::core::placement
{

/// One task on a worker, or on its way there.
struct resident
{
    std::uint16_t task_class = 0;
    bool is_service = false;
    ports::resources declared;
    /// Share of the worker's cores that it was last seen to use, 0 to 1; the
    /// declared share until a report tells.
    double cpu_share = 0;
};

/// What a policy sees of one worker.
struct candidate
{
    std::string const* worker = nullptr;
    ports::resources capacity;
    ports::resources committed; ///< Declared by all its residents.
    std::int64_t batch_millicores = 0;
    /// Memory that residents use beyond what they declared; can't be promised
    /// to anyone else.
    std::int64_t memory_over_declared = 0;
    std::vector<resident> residents;
    bool failed_before =
        false; ///< The task failed there: only where nothing else is.
};

struct placement_task
{
    std::uint16_t task_class = 0;
    bool is_service = false;
    ports::resources declared;
};

/// Baseline: the first worker, in the order given, that holds the task.
struct first_fit
{
};

/// The worker where task and residents are expected to slow each other least;
/// of equals the one with most free cores.
struct least_interference
{
    /// What a service's slowdown weighs against a batch task's.
    double service_weight = 4;
    /// What a full worker costs beside an empty one.
    double utilisation_weight = 0.2;
};

using policy = std::variant<first_fit, least_interference>;

std::string_view name_of(policy const& value) noexcept;
std::optional<policy> policy_from(std::string_view name) noexcept;

struct placement_limits
{
    /// Share of a worker's cores that batch may take while the guard of
    /// services' tails is on, in thousandths.
    std::uint32_t batch_guard_permille = 900;
};

/// Whether the worker holds one more task like this, never more than its
/// declared capacity.
bool fits(candidate const& worker,
          placement_task const& task,
          placement_limits const& limits) noexcept;

/// Index of the worker to take; empty where none holds the task.
std::optional<std::size_t> choose_worker(policy const& selected,
                                         std::vector<candidate> const& workers,
                                         placement_task const& task,
                                         interference_model const& model,
                                         placement_limits const& limits);

} // namespace fuchsia::core::placement
