#pragma once

#include "pool_simulation.hpp"

#include <map>
#include <string>

namespace fuchsia::tests::unit::pool
{

/// Measures how long serving tasks of a simulation miss their latency target on
/// end because of the best-effort tasks beside them: over the target with them,
/// and not without them.
class latency_target_check
{
public:
    /// `targets`: latency target of the tasks of each serving job, by id.
    latency_target_check(pool_simulation& simulation,
                         std::map<std::string, duration> targets);

    /// Runs the simulation for `length` and looks at all serving tasks at short
    /// intervals.
    void run(duration length);
    /// Longest time on end that a task has missed its target so far.
    duration longest() const noexcept;
    /// Sum of the times of all tasks.
    duration total() const noexcept;
    /// Task, worker and end of the longest time, for messages.
    std::string const& longest_at() const noexcept;

private:
    void observe();
    bool misses_target(std::size_t worker, ports::task_name const& task);

    pool_simulation& simulation_;
    std::map<std::string, duration> targets_;
    std::map<ports::task_name, time_point> missed_since_;
    duration longest_{};
    duration total_{};
    std::string longest_at_;
};

} // namespace fuchsia::tests::unit::pool
