#pragma once

#include "core/pool/colocation.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Rebalancing of serving tasks. Which images disturb each other is known only
// some seconds after the tasks were placed, so their placement is revised. A
// plan clears one worker of the tasks that waiting best-effort work would
// disturb, and moves them to workers where that work can't run anyway.
namespace fuchsia::core::pool
{

struct rebalance_settings
{
    bool enabled = true;
    /// Time between two plans, each of which clears one worker.
    common::duration interval = std::chrono::milliseconds(300);
    /// Minimum time that best-effort work has to wait, without a worker where
    /// it disturbs nothing, before a plan is made for it.
    common::duration min_wait = std::chrono::milliseconds(500);
    /// Minimum time between two moves of a serving task. Each move costs about
    /// 1 s of its service.
    common::duration min_stay = std::chrono::seconds(10);
    /// Time during which a cleared worker gets no task that the work disturbs
    /// as long as another worker can take the task.
    common::duration clear_period = std::chrono::seconds(25);
    /// Maximum number of tasks that one plan moves.
    std::size_t max_moved_tasks = 6;
    /// Maximum number of workers that a plan tries to clear, starting with the
    /// best: each try searches all workers for new places.
    std::size_t max_tries = 8;
    /// Value of an idle core of the cleared worker, in seconds of work.
    double benefit_horizon = 10;
    /// Cost of a core of a moved task, in seconds of work.
    double move_cost = 2;
};

/// A serving task of a worker.
struct movable_task
{
    ports::task_name name;
    std::uint16_t image = 0;
    ports::resources declared;
    double isolated_headroom = 0; ///< Headroom of its step without neighbours.
    bool may_move = false;
};

/// A worker that may be used now.
struct rebalance_worker
{
    std::string id;
    std::string service; ///< Service of the worker; tasks move only within it.
    ports::resources
        free; ///< Resources that are not reserved by the tasks placed there.
    std::int64_t capacity = 0;   ///< Cores in thousandths.
    std::int64_t idle = 0;       ///< Idle cores in thousandths.
    bool may_be_cleared = false; ///< Whether a plan may clear it now.
    std::vector<movable_task> serving;
    std::vector<neighbour_share>
        best_effort; ///< Declared cores of its best-effort tasks, by image.
    std::vector<std::uint16_t>
        cleared_for; ///< Images of best-effort tasks that it was cleared for.
};

/// Waiting best-effort work of one image.
struct waiting_image
{
    std::uint16_t image = 0;
    std::int64_t smallest_task =
        0;                  ///< Cores of its smallest task, in thousandths.
    std::int64_t total = 0; ///< Cores of all its tasks, in thousandths.
};

struct task_move
{
    ports::task_name name;
    std::string to;
};

/// A worker to clear, and the new workers of its tasks.
struct rebalance_plan
{
    std::string from;
    std::uint16_t image =
        0; ///< Image of the best-effort tasks that it is cleared for.
    std::int64_t idle =
        0; ///< Idle cores that this makes usable, in thousandths.
    std::vector<task_move> moves;
};

/// Returns the feasible plan with the highest gain, which is the unlocked work
/// minus the cost of the moves; empty if no plan is worth its cost.
std::optional<rebalance_plan>
plan_rebalance(rebalance_settings const& settings,
               colocation const& pairs,
               std::vector<rebalance_worker> const& workers,
               std::vector<waiting_image> const& waiting);

} // namespace fuchsia::core::pool
