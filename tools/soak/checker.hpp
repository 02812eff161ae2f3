#pragma once

#include "tools/soak/configuration_check.hpp"
#include "tools/soak/jobs_check.hpp"
#include "tools/soak/lasting_check.hpp"
#include "tools/soak/observation.hpp"
#include "tools/soak/observed_history.hpp"
#include "tools/soak/owner_check.hpp"
#include "tools/soak/recovery_check.hpp"
#include "tools/soak/runs_check.hpp"

#include <deque>
#include <vector>

// Checks a run of the fault soak from observations made outside the instances.
namespace fuchsia::tools::soak
{

/// Checks all observations, in order of time, against the rules. A rule with a
/// time limit applies only if no fault was active during the limit and the
/// stable window before it; all other rules always apply.
class checker
{
public:
    explicit checker(time_limits bounds);

    /// `seen.at` is no earlier than the time of any previous observation.
    void observe(observation const& observed);

    /// Must be called once, after the last observation. By `now` the accepted
    /// jobs must have had time to end, and the state of each must have been
    /// queried after the traffic ended. Returns all violations, including those
    /// that can be detected only at the end.
    std::vector<violation> finish(core::common::time_point now);

    /// Violations found so far. An answer is checked once
    /// `time_limits::acknowledge` has passed since its arrival.
    std::vector<violation> const& violations() const;

private:
    void check_answer(observation const& answer);
    void check_answers_until(core::common::time_point limit);
    void check_work_until(core::common::time_point at);

    observed_history history_;
    runs_check runs_;
    configuration_check configurations_;
    recovery_check recovery_;
    lasting_check lasting_;
    owner_check owner_;
    bool stopping_ = false; ///< The instances have been told to stop.
    std::deque<observation>
        pending_answers_; ///< Unchecked answers, oldest first.
};

} // namespace fuchsia::tools::soak
