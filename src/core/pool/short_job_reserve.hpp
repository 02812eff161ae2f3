#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>

namespace fuchsia::core::pool
{

struct short_job_reserve_settings
{
    bool enabled = true;
    /// How far back what was needed counts.
    common::duration window = std::chrono::seconds(20);
    /// Part of that time in which what is kept is enough.
    double covered_fraction = 0.8;
};

/// Cores in thousandths, and tasks, of short work with reserved cores: at work,
/// or waiting while it can still be on time.
struct short_job_demand
{
    std::int64_t millicores = 0;
    std::int64_t tasks = 0;
};

/// How many cores lasting tasks leave to short work that needs its cores
/// reserved.
///
/// Lasting tasks take whatever can be reserved and give it back after minutes.
/// Jobs of a second, which come in bursts, then find no place and are late,
/// those of many tasks first. What they have needed lately tells what to keep
/// for them.
class short_job_reserve
{
public:
    explicit short_job_reserve(short_job_reserve_settings settings);

    /// What short work needs now.
    void observe(common::time_point now, short_job_demand const& present);
    /// Of so many millicores on one worker, those that short tasks of the usual
    /// size can take.
    std::int64_t usable_millicores(std::int64_t millicores) const noexcept;
    /// `usable` of what lasting tasks leave, of all workers together.
    void set_available(std::int64_t millicores) noexcept;
    /// A lasting task takes so many of them.
    void consume(std::int64_t millicores) noexcept;
    /// Whether short work has enough once a lasting task takes so many.
    bool leaves_enough(std::int64_t millicores) const noexcept;

    /// Millicores that short work is expected to need at once.
    std::int64_t expected() const noexcept;

private:
    short_job_reserve_settings settings_;
    struct sample
    {
        common::time_point when{};
        short_job_demand needed;
    };
    std::deque<sample> samples_; ///< The oldest first.
    std::int64_t expected_ = 0;
    std::int64_t piece_ = 0; ///< Millicores of a task, of all samples.
    std::int64_t left_ = 0;
};

} // namespace fuchsia::core::pool
