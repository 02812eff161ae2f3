#pragma once

#include "tools/soak/observed_history.hpp"
#include "tools/soak/worker_room.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

// Checks that long-running tasks run.
namespace fuchsia::tools::soak
{

/// Checks the part of the rule `lost` that holds at any time: for
/// `time_limits::idle`, with no fault during it and `time_limits::calm_before`
/// before it, an accepted long-running task had no run, though its turn had
/// come, its last run had ended `time_limits::restart` ago, and there was room
/// for two of it.
class lasting_check
{
public:
    void record(submit_sent const& call);
    void record(observed_history const& history, run_started const& start);

    /// Records an event that changes the room on the workers.
    template<class Event>
    void record(Event const& event)
    {
        room_.record(event);
    }

    /// Checks up to `at`. Must be called before each event is recorded, so that
    /// the state before it counts up to its time.
    void check_until(observed_history& history, core::common::time_point at);

private:
    struct gap
    {
        /// Last time at which there was no room for two of the task.
        std::optional<core::common::time_point> full_at;
        bool reported = false;
    };

    void check_job(observed_history& history,
                   core::common::time_point at,
                   std::string const& name);
    void check_task(observed_history& history,
                    core::common::time_point at,
                    ports::task_name const& task,
                    core::common::time_point turn);

    std::set<std::string> lasting_jobs_;
    worker_room room_;
    /// Times without a run, by task.
    std::map<ports::task_name, gap> gaps_;
};

} // namespace fuchsia::tools::soak
