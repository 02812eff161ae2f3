#pragma once

#include "core/pool/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fuchsia::core::pool
{

/// Free and idle cores of the workers that a placement round may use, in
/// contiguous arrays, so that a task is checked only against workers that may
/// have the capacity for it. The index only excludes workers; whether a worker
/// takes the task is up to the caller.
class capacity_index
{
public:
    /// `usable` is in the fleet's order, that is, sorted by id.
    explicit capacity_index(std::vector<worker*> usable);

    /// Updates the entry of a worker on which a task was placed or from which
    /// one was removed.
    void mark_changed(worker const& changed);
    /// Returns the workers that may have at least `millicores` unreserved, in
    /// the fleet's order.
    std::vector<worker*> with_free(std::int64_t millicores);
    /// Returns the workers on which at least `millicores` may be idle, in the
    /// fleet's order. Idle cores are known only for workers whose view is
    /// known; workers without a view are always included.
    std::vector<worker*> with_idle(std::int64_t millicores);

private:
    void read_free();
    void read_idle();
    void update_idle(std::size_t index);
    std::vector<worker*>
    workers_with(std::vector<std::int64_t> const& available,
                 std::int64_t minimum) const;

    std::vector<worker*> workers_;
    std::vector<std::int64_t>
        free_; ///< Unreserved millicores by worker; empty until first needed.
    std::vector<std::int64_t>
        idle_; ///< Idle millicores by worker; empty until first needed.
    std::vector<std::size_t> without_view_; ///< Indexes of the workers that had
                                            ///< no view at their last update.
};

} // namespace fuchsia::core::pool
