#pragma once

#include "tools/soak/observed_history.hpp"

#include <optional>
#include <set>
#include <string>

// Checks that some instance schedules.
namespace fuchsia::tools::soak
{

/// Checks the rule `owner`: no instance reported that it schedules and knows
/// what runs, for longer than `time_limits::without_owner` without a fault.
class owner_check
{
public:
    void record(core::common::time_point at, working_owner_seen const& answer);

    /// Checks up to `at`. Must be called before each event is recorded, so that
    /// the state before it counts up to its time.
    void check_until(observed_history& history, core::common::time_point at);

private:
    std::set<std::string> working_; ///< Instances that said so last.
    std::optional<core::common::time_point> missing_since_;
    bool reported_ = false;
};

} // namespace fuchsia::tools::soak
