#pragma once

#include "core/common/time.hpp"
#include "core/tasks/store_calls.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fuchsia::core::tasks
{

struct job_registry_sweep_settings
{
    common::duration interval = std::chrono::minutes(10);
    /// Maximum number of erasures in one sweep.
    std::size_t max_erasures = 500;
};

/// Erases the key `jobs/<id>` of jobs that are in no cell and no inbox any
/// more. The tasks of a job may be spread over several cells, so that no cell
/// can decide this alone.
///
/// A job in transfer between two cells, or one that is registered but not yet
/// delivered, may be missing from a single read. A key is therefore erased only
/// if two consecutive sweeps found the job unknown at the same version.
class job_registry_sweep
{
public:
    explicit job_registry_sweep(job_registry_sweep_settings settings);

    /// `is_sweeper` tells whether this planner is the one that sweeps.
    void tick(common::time_point now,
              bool is_sweeper,
              store_calls& calls,
              ports::actions& out);
    void on_store_reply(call_tag const& tag, ports::store_reply const& reply);

private:
    enum class step : std::uint8_t
    {
        idle,
        listing_registry, ///< First: the later lists then show deliveries
                          ///< since.
        listing_inbox,
        listing_tasks,
        erasing,
    };

    void find_unknown_jobs(std::vector<ports::store_entry> const& cells);

    job_registry_sweep_settings settings_;
    step step_ = step::idle;
    common::time_point next_sweep_{};
    bool started_ = false;
    std::uint64_t call_ = 0;
    std::map<std::string, std::uint64_t>
        registered_jobs_; ///< Version by job id.
    std::set<std::string> known_jobs_;
    std::map<std::string, std::uint64_t>
        unknown_jobs_; ///< Version by job id, of the last sweep.
    std::vector<std::pair<std::string, std::uint64_t>> erasable_;
};

} // namespace fuchsia::core::tasks
