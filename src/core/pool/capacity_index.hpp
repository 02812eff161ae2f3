#pragma once

#include "core/pool/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fuchsia::core::pool
{

/// The workers that a round of placing may use and the cores that they have
/// left, side by side, so that a task is held against those alone that may have
/// room for it. It only leaves workers out: whether one takes the task, its
/// user finds out.
class capacity_index
{
public:
    /// In the fleet's order, that of their ids.
    explicit capacity_index(std::vector<worker*> usable);

    /// Something was placed on the worker, or taken from it.
    void mark_changed(worker const& changed);
    /// Those that may have so many cores, in thousandths, without a
    /// reservation, in the fleet's order.
    std::vector<worker*> with_free(std::int64_t millicores);
    /// Those on which so many may be idle. How many are is known only where the
    /// worker's view is; those without a view are always among them.
    std::vector<worker*> with_idle(std::int64_t millicores);

private:
    void read_free();
    void read_idle();
    void take_idle(std::size_t number);
    std::vector<worker*> with(std::vector<std::int64_t> const& left,
                              std::int64_t least) const;

    std::vector<worker*> all_;
    std::vector<std::int64_t> free_; ///< Of each; empty: not asked for yet.
    std::vector<std::int64_t> idle_;
    std::vector<std::size_t> unknown_; ///< Without a view when last looked at.
};

} // namespace fuchsia::core::pool
