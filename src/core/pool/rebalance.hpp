#pragma once

#include "core/pool/colocation.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Where serving tasks stand is decided again, since which images disturb each
// other is known only some seconds after the tasks were placed. A plan clears
// one worker of what the waiting work would disturb; the tasks go where that
// work can't run anyway.
namespace fuchsia::core::pool
{

struct rebalance_settings
{
    bool enabled = true;
    /// Between two plans, each of which clears one worker.
    common::duration interval = std::chrono::milliseconds(300);
    /// Work has to wait this long for a worker where it disturbs nobody.
    common::duration min_wait = std::chrono::milliseconds(500);
    /// A serving task is moved again only after this long: each move loses
    /// about 1 s of its service.
    common::duration min_stay = std::chrono::seconds(10);
    /// For this long the cleared worker gets no task that the work disturbs,
    /// where another worker can take it.
    common::duration clear_period = std::chrono::seconds(25);
    /// Tasks that one plan moves.
    std::size_t max_moved_tasks = 6;
    /// Workers that a plan tries to clear, the best first: each try looks for
    /// places on all workers.
    std::size_t max_tries = 8;
    /// Seconds of work that an idle core of the cleared worker is worth,
    double benefit_horizon = 10;
    /// and that a core of a moved task costs.
    double move_cost = 2;
};

/// A serving task that may be moved.
struct movable_task
{
    ports::task_name name;
    std::uint16_t image = 0;
    ports::resources declared;
    double isolated_headroom = 0; ///< Headroom without neighbours.
    bool may_move = false;
};

/// A worker that takes tasks now.
struct rebalance_worker
{
    std::string id;
    std::string service;         ///< Tasks stay with it.
    ports::resources free;       ///< Not reserved by anything placed there.
    std::int64_t capacity = 0;   ///< Cores in thousandths.
    std::int64_t idle = 0;       ///< Of those, in use by nobody.
    bool may_be_cleared = false; ///< It may be cleared now.
    std::vector<movable_task> serving;
    std::vector<neighbour_share> best_effort; ///< Declared, by image.
    std::vector<std::uint16_t>
        cleared_for; ///< Filling images it was cleared for.
};

/// Filling work of one image that waits.
struct waiting_image
{
    std::uint16_t image = 0;
    std::int64_t smallest_task =
        0;                  ///< Cores in thousandths of its smallest task.
    std::int64_t total = 0; ///< Of all its tasks.
};

struct task_move
{
    ports::task_name name;
    std::string to;
};

/// One worker to clear, and where its tasks go.
struct rebalance_plan
{
    std::string from;
    std::uint16_t image = 0; ///< Filling image that it is cleared for.
    std::int64_t idle = 0;   ///< Cores in thousandths that this unlocks.
    std::vector<task_move> moves;
};

/// The plan that unlocks most for its cost; empty where none is worth it.
std::optional<rebalance_plan>
plan_rebalance(rebalance_settings const& settings,
               colocation const& pairs,
               std::vector<rebalance_worker> const& workers,
               std::vector<waiting_image> const& waiting);

} // namespace fuchsia::core::pool
