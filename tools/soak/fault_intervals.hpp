#pragma once

#include "tools/soak/observation.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

// When trouble was on, and whether a time limit counts.
namespace fuchsia::tools::soak
{

/// From the begin of the first of some troubles to the end of the last of them;
/// `to` is empty while one is on.
struct fault_interval
{
    core::common::time_point from{};
    std::optional<core::common::time_point> to;
};

class fault_interval_log
{
public:
    /// A system may take `settle` after the end of trouble to be itself again.
    explicit fault_interval_log(core::common::duration recovery_time);

    void set(core::common::time_point at, fault_state_set const& state);

    /// No trouble was on from `settle` before `begin` to `end`.
    bool is_fault_free(core::common::time_point begin,
                       core::common::time_point end) const;

    /// Some stretch longer than `length` between `begin` and `end` was calm.
    bool has_fault_free_interval(core::common::time_point begin,
                                 core::common::time_point end,
                                 core::common::duration length) const;

    std::vector<fault_interval> const& intervals() const noexcept;

private:
    core::common::duration recovery_time_;
    std::set<std::string> active_;
    std::vector<fault_interval> intervals_;
};

} // namespace fuchsia::tools::soak
