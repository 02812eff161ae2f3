#pragma once

#include "tools/soak/observation.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

// Records when faults were active, to decide whether a time limit applies.
namespace fuchsia::tools::soak
{

/// Time from the begin of the first to the end of the last of some overlapping
/// faults; `to` is empty while a fault is active.
struct fault_interval
{
    core::common::time_point from{};
    std::optional<core::common::time_point> to;
};

/// Log of the intervals during which faults were active.
class fault_interval_log
{
public:
    /// `recovery_time` is the time that the system may take to recover after
    /// the end of a fault.
    explicit fault_interval_log(core::common::duration recovery_time);

    /// Records the time of an observation. The instances were started shortly
    /// before the first one.
    void observe(core::common::time_point at);
    void set(core::common::time_point at, fault_state_set const& state);

    /// Returns whether no fault was active from the recovery time before
    /// `begin` to `end`.
    bool is_fault_free(core::common::time_point begin,
                       core::common::time_point end) const;

    /// Returns the time since which no fault has been active, that of the first
    /// observation if there has been none. Empty while one is active.
    std::optional<core::common::time_point> fault_free_since() const;

    /// Returns whether some interval longer than `length` between `begin` and
    /// `end` was free of faults and of recovery from them.
    bool has_fault_free_interval(core::common::time_point begin,
                                 core::common::time_point end,
                                 core::common::duration length) const;

    std::vector<fault_interval> const& intervals() const noexcept;

private:
    core::common::duration recovery_time_;
    std::optional<core::common::time_point> begun_at_;
    std::set<std::string> active_;
    std::vector<fault_interval> intervals_;
};

} // namespace fuchsia::tools::soak
