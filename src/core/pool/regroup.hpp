#pragma once

#include "core/pool/colocation.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Where serving tasks stand is decided again.
//
// Which images disturb each other is known only some seconds after the tasks
// were placed. On a draw where most filling images disturb three serving images
// of five, and these stand on nearly every worker, four ninths of the filling
// work had three workers of 48 to itself: 60 to 250 tasks waited beside 600 to
// 1,800 idle cores, up to the end. A plan clears one worker of what the waiting
// work would disturb; the tasks go where that work can't run anyway, so that
// tolerant serving tasks, and the idle cores beside them, are left to it.
namespace fuchsia::core::pool
{

struct regroup_settings
{
    /// Off: serving tasks stay where they were placed first.
    bool enabled = true;
    /// Between two plans, each of which clears one worker. A plan takes effect
    /// after a stop and a start, 0.5 to 1 s; what it freed is seen after that.
    common::duration interval = std::chrono::milliseconds(300);
    /// Work has to wait this long for a worker that it does not disturb: pairs
    /// are learned within seconds, and running tasks end after 2 s.
    common::duration patience = std::chrono::milliseconds(500);
    /// A serving task is moved again only after this long, so that the work
    /// that it lost (about 1 s of its service) stays below a tenth.
    common::duration least_stay = std::chrono::seconds(10);
    /// For this long no task that the cleared work disturbs is placed on the
    /// worker where another one can take it.
    common::duration kept_clear = std::chrono::seconds(25);
    /// At most this many tasks are moved away from one worker at a time.
    std::size_t most_tasks = 6;
    /// Workers that a plan tries to clear, the best first: each try looks for
    /// places on all workers, 0.1 ms where there are 350.
    std::size_t most_tries = 8;
    /// Cores of the cleared worker are worth what runs there in this time, in
    /// seconds,
    double horizon = 10;
    /// and a move costs its task's cores for this time: 1 s of standstill, four
    /// times as dear as filling work.
    double move_cost = 2;
};

/// A serving task that may be moved.
struct movable_task
{
    ports::task_name name;
    std::uint16_t image = 0;
    ports::resources declared;
    double alone = 0; ///< Headroom without neighbours.
    bool may_move = false;
};

/// A worker that takes tasks now.
struct regroup_worker
{
    std::string id;
    std::string service;       ///< Tasks stay with it.
    ports::resources free;     ///< Not reserved by anything placed there.
    std::int64_t capacity = 0; ///< Cores in thousandths.
    std::int64_t idle = 0;     ///< Of those, in use by nobody.
    bool settled = false;      ///< It may be cleared now.
    std::vector<movable_task> serving;
    std::vector<neighbour_share> fills;  ///< Declared, by image.
    std::vector<std::uint16_t> kept_for; ///< Filling images it was cleared for.
};

/// Filling work of one image that waits.
struct waiting_image
{
    std::uint16_t image = 0;
    std::int64_t each = 0;  ///< Cores in thousandths of its smallest task.
    std::int64_t total = 0; ///< Of all its tasks.
};

struct task_move
{
    ports::task_name name;
    std::string to;
};

/// One worker to clear, and where its tasks go.
struct regroup_plan
{
    std::string from;
    std::uint16_t image = 0; ///< Filling image that it is cleared for.
    std::int64_t idle = 0;   ///< Cores in thousandths that this unlocks.
    std::vector<task_move> moves;
};

/// The plan that unlocks most for its cost; empty where none is worth it.
std::optional<regroup_plan>
plan_regroup(regroup_settings const& settings,
             colocation const& pairs,
             std::vector<regroup_worker> const& workers,
             std::vector<waiting_image> const& waiting);

} // namespace fuchsia::core::pool
