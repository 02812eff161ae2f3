#pragma once

#include "tools/soak/capacity_check.hpp"
#include "tools/soak/observed_history.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

// Checks the starts, ends and crashes that workers observe.
namespace fuchsia::tools::soak
{

/// Checks the rules `refused_ran`, `doubled`, `order`, `attempts`, `cancelled`,
/// `drain`, `data_centre` and `crashes`, and `capacity` by a check of its own.
class runs_check
{
public:
    void record(observed_history& history,
                core::common::time_point at,
                run_started const& start);
    void record(observed_history& history,
                core::common::time_point at,
                run_ended const& end);
    void record(observed_history& history,
                core::common::time_point at,
                end_acknowledged const& end);
    void record(observed_history& history,
                core::common::time_point at,
                worker_crashed const& crash);
    void record(observed_history& history,
                core::common::time_point at,
                capacity_set const& change);
    void record(observed_history& history,
                core::common::time_point at,
                worker_draining const& draining);
    void record(observed_history& history,
                core::common::time_point at,
                data_centre_set const& change);

    /// Checks for runs of cancelled jobs that have not ended, and for runs of
    /// jobs that were refused only later.
    void finish(observed_history& history, core::common::time_point now) const;

private:
    void check_place(observed_history& history,
                     core::common::time_point at,
                     run_started const& start) const;
    /// Declared cores of all runs on the worker, in thousandths.
    std::int64_t used_on(observed_history const& history,
                         std::string const& worker) const;

    capacity_check capacity_;
    std::map<std::string, core::common::time_point> draining_since_;
    std::map<std::string, core::common::time_point> evacuated_since_;
    /// Active runs by worker and run; the value is the index in
    /// `task_history::runs`.
    std::map<std::pair<std::string, ports::pool_attempt>, std::size_t> running_;
};

} // namespace fuchsia::tools::soak
