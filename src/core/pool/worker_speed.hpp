#pragma once

#include "core/common/time.hpp"

#include <cstdint>

namespace fuchsia::core::pool
{

/// How fast a worker gets through its tasks, against their estimates: some turn
/// several times slower for seconds and look healthy.
class worker_speed
{
public:
    /// A task with `estimate` made `percent` of its way in `took`.
    void observe(common::time_point now,
                 std::uint32_t percent,
                 common::duration estimate,
                 common::duration took) noexcept;
    /// 1 is as estimated. What was seen is forgotten, since a worker that gets
    /// no tasks shows nothing.
    double value(common::time_point now) const noexcept;

private:
    double seen_ = 1;
    common::time_point when_{};
};

} // namespace fuchsia::core::pool
