#pragma once

#include "tools/soak/observed_history.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

// What workers see: starts, ends and crashes.
namespace fuchsia::tools::soak
{

/// Checks `refused_ran`, `doubled`, `order`, `attempts`, `cancelled`, `drain`
/// and `data_centre`.
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
              worker_draining const& draining);
    void record(observed_history& history,
              core::common::time_point at,
              data_centre_set const& change);

    /// What still runs for a cancelled job, and what ran for a refused one.
    void finish(observed_history& history, core::common::time_point now) const;

private:
    void check_place(observed_history& history,
                     core::common::time_point at,
                     run_started const& start) const;

    std::map<std::string, core::common::time_point> draining_since_;
    std::map<std::string, core::common::time_point> evacuated_since_;
    /// What runs, by worker and run: the place in the task's book.
    std::map<std::pair<std::string, ports::pool_attempt>, std::size_t> running_;
};

} // namespace fuchsia::tools::soak
