#pragma once

#include "tools/soak/observed_history.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Checks that no start brings a worker over its capacity.
namespace fuchsia::tools::soak
{

/// Checks the rule `capacity`. A capacity that has shrunk counts after the
/// stable window and one heartbeat, since that long it may not be known.
class capacity_check
{
public:
    void record(core::common::time_point at, capacity_set const& change);
    /// A worker that crashed comes back with another capacity, so nothing is
    /// known of it until it is set.
    void record(worker_crashed const& crash);
    /// Checks a start after which the runs of the worker use `millicores`.
    void check_start(observed_history& history,
                     core::common::time_point at,
                     run_started const& start,
                     std::int64_t millicores) const;

private:
    struct change
    {
        core::common::time_point at{};
        std::int64_t millicores = 0;
    };

    /// Changes by worker, the oldest first.
    std::map<std::string, std::vector<change>> changes_;
};

} // namespace fuchsia::tools::soak
