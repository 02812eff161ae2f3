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
    /// Erasures in one sweep at most.
    std::size_t max_erasures = 500;
};

/// Erases `jobs/<id>` of jobs that no cell and no inbox knows any more. Parts
/// of a job lie in several cells, so none of them can tell alone.
///
/// A job that is on its way from one cell to another, or that was registered
/// and not yet delivered, may be missing from one look: a key is erased only
/// where two sweeps in a row, at the same version, found it unknown.
class job_registry_sweep
{
public:
    explicit job_registry_sweep(job_registry_sweep_settings settings);

    /// `ours`: whether this planner is the one that sweeps.
    void tick(common::time_point now,
              bool ours,
              store_calls& calls,
              ports::actions& out);
    void on_store_reply(call_tag const& tag, ports::store_reply const& reply);

private:
    enum class step : std::uint8_t
    {
        resting,
        listing_registry, ///< First, so that what is newer is not missed.
        listing_inbox,
        listing_tasks,
        erasing,
    };

    void compare(std::vector<ports::store_entry> const& cells);

    job_registry_sweep_settings settings_;
    step step_ = step::resting;
    common::time_point next_{};
    bool began_ = false;
    std::uint64_t call_ = 0;
    std::map<std::string, std::uint64_t> registered_; ///< Job to version.
    std::set<std::string> known_;
    std::map<std::string, std::uint64_t> unknown_; ///< By the last sweep.
    std::vector<std::pair<std::string, std::uint64_t>> erasable_;
};

} // namespace fuchsia::core::tasks
