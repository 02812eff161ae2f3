#pragma once

#include "core/common/time.hpp"

#include <cstdint>

namespace fuchsia::core::pool
{

/// Speed of a worker relative to the estimates of its tasks. Some workers
/// become several times slower for seconds and look healthy.
class worker_speed
{
public:
    /// Records that a task with `estimate` made `percent` of its progress in
    /// `elapsed`.
    void observe(common::time_point now,
                 std::uint32_t percent,
                 common::duration estimate,
                 common::duration elapsed) noexcept;
    /// Returns the speed; 1 means that tasks take as long as estimated.
    /// Observations decay, since a worker that gets no tasks provides no new
    /// ones.
    double value(common::time_point now) const noexcept;

private:
    double speed_ = 1;
    common::time_point observed_at_{};
};

} // namespace fuchsia::core::pool
