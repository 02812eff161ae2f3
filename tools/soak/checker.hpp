#pragma once

#include "tools/soak/configuration_check.hpp"
#include "tools/soak/jobs_check.hpp"
#include "tools/soak/observation.hpp"
#include "tools/soak/observed_history.hpp"
#include "tools/soak/recovery_check.hpp"
#include "tools/soak/runs_check.hpp"

#include <deque>
#include <vector>

// Judges a run of the fault soak by what was seen from outside.
namespace fuchsia::tools::soak
{

/// Takes all that was seen, in the order of time, and says which rules were
/// broken. A time limit counts where no trouble was on for the length of the
/// limit and the stable window before it; all else counts always.
class checker
{
public:
    explicit checker(time_limits bounds);

    /// `seen.at` is no earlier than that of any observation before it.
    void observe(observation const& observed);

    /// To be called once, after the last observation. By `now` the accepted
    /// jobs have had time to end, and each was asked for after the traffic
    /// ended. Returns all violations, with those that only the end shows.
    std::vector<violation> finish(core::common::time_point now);

    /// Those found so far. Answers are judged once `limits::acknowledge` has
    /// passed since they came.
    std::vector<violation> const& violations() const;

private:
    void check_answer(observation const& answer);
    void check_answers_until(core::common::time_point limit);

    observed_history history_;
    runs_check runs_;
    configuration_check configurations_;
    recovery_check recovery_;
    std::deque<observation> pending_answers_; ///< Answers, the oldest first.
};

} // namespace fuchsia::tools::soak
