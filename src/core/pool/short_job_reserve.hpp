#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>

namespace fuchsia::core::pool
{

struct short_job_reserve_settings
{
    bool enabled = true;
    /// Time over which the demand is observed.
    common::duration window = std::chrono::seconds(20);
    /// Fraction of the window in which the reserve covers the demand.
    double covered_fraction = 0.8;
};

/// Demand of short jobs with reserved cores, in thousandths of a core and in
/// tasks: tasks that are running, or waiting while they can still be on time.
struct short_job_demand
{
    std::int64_t millicores = 0;
    std::int64_t tasks = 0;
};

/// Cores that long-running tasks leave free for short jobs with reserved cores.
///
/// Long-running tasks take all capacity that can be reserved and return it only
/// after minutes. Jobs of a second, which come in bursts, then find no worker
/// and are late, those of many tasks first. The reserve follows the recent
/// demand of the short jobs.
class short_job_reserve
{
public:
    explicit short_job_reserve(short_job_reserve_settings settings);

    /// Adds a sample of the present demand.
    void observe(common::time_point now, short_job_demand const& present);
    /// Returns the part of a worker's free millicores that short tasks of
    /// average size can use.
    std::int64_t usable_millicores(std::int64_t millicores) const noexcept;
    /// Sets the usable millicores that long-running tasks leave free, summed
    /// over all workers.
    void set_available(std::int64_t millicores) noexcept;
    /// Subtracts the millicores of a long-running task that was placed.
    void consume(std::int64_t millicores) noexcept;
    /// Whether enough remains for short jobs after a long-running task has
    /// taken `millicores`.
    bool leaves_enough(std::int64_t millicores) const noexcept;

    /// Returns the millicores that short jobs are expected to need at the same
    /// time.
    std::int64_t expected() const noexcept;

private:
    short_job_reserve_settings settings_;
    struct sample
    {
        common::time_point when{};
        short_job_demand needed;
    };
    std::deque<sample> samples_; ///< Sorted by time, oldest first.
    std::int64_t expected_ = 0;
    std::int64_t average_task_ =
        0; ///< Average millicores of a task over all samples; 0 without tasks.
    std::int64_t available_ = 0;
};

} // namespace fuchsia::core::pool
