#pragma once

#include "tools/soak/observed_history.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

// Free capacity of the workers, as far as it can be observed.
namespace fuchsia::tools::soak
{

/// Counts the tasks for which the workers have room. A worker counts only while
/// its capacity is known, it isn't draining, and its data centre isn't
/// evacuated or, during an evacuation, not known yet.
class worker_room
{
public:
    void record(capacity_set const& change);
    void record(worker_crashed const& crash);
    void record(worker_draining const& draining);
    void record(data_centre_set const& change);
    /// The declared cores of the run are those of its task in `history`.
    void record(observed_history const& history, run_started const& start);
    void record(run_ended const& end);

    /// Number of tasks of `millicores` that fit beside all runs.
    std::int64_t places(std::int64_t millicores) const;

private:
    struct worker
    {
        std::optional<std::int64_t> millicores;
        std::string data_centre; ///< Empty until a run has started there.
        bool draining = false;
        std::map<ports::pool_attempt, std::int64_t> runs;
    };

    bool is_usable(worker const& candidate) const;

    std::map<std::string, worker> workers_;
    std::set<std::string> evacuated_;
};

} // namespace fuchsia::tools::soak
