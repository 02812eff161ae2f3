#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>

// Latency of serving tasks beside best-effort tasks on one worker, and
// measurements that lag behind it.
namespace fuchsia::standins::pool
{

/// Load that its users put on a serving task, as a share of what the task can
/// serve alone: a sine around `mean`.
struct user_load
{
    double mean = 0;
    double swing = 0;                ///< Amplitude of the sine.
    core::common::duration period{}; ///< 0: the load is constant.
};

double load_at(user_load const& users, core::common::time_point now) noexcept;

/// Returns the factor by which the load of its users and the share of its
/// capacity that `neighbours` take lengthen the tail latency of a task.
double slowdown(double load, double neighbours) noexcept;

/// Share of its full speed at which a task works. A new limit comes into force
/// a tenth of a second after its order.
class task_speed
{
public:
    void limit(core::common::time_point now, std::uint32_t percent) noexcept;
    /// Must be called before `share` as time goes on.
    void advance(core::common::time_point now) noexcept;
    double share() const noexcept;

private:
    std::uint32_t percent_ = 100;
    std::uint32_t ordered_percent_ = 100;
    core::common::time_point in_force_at_{};
};

/// Rough mean of a value over the last half second. A new figure comes each
/// quarter of a second, with a random error; reports in between repeat it.
class rough_measurement
{
public:
    /// `error` is the largest relative error of a figure.
    rough_measurement(std::uint64_t seed, double error) noexcept;
    /// Does nothing if the last sample is less than 50 ms old.
    void sample(core::common::time_point now, double value);
    /// The last figure; 0 while there is none.
    double value() const noexcept;

private:
    double next_error() noexcept;

    std::uint64_t random_;
    double error_;
    std::deque<double> samples_;
    core::common::time_point next_sample_{};
    core::common::time_point next_figure_{};
    double value_ = 0;
};

} // namespace fuchsia::standins::pool
