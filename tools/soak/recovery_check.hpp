#pragma once

#include "tools/soak/observed_history.hpp"

#include <map>
#include <string>
#include <vector>

// Checks whether callers are served again after the last fault.
namespace fuchsia::tools::soak
{

/// Checks the rule `recovery`, separately for submissions and for queries.
class recovery_check
{
public:
    void record(core::common::time_point at, submit_sent const& call);
    void record(core::common::time_point at, submit_ended const& call);
    void record(core::common::time_point at, status_query_ended const& call);
    void record(core::common::time_point at, waiting_query_ended const& call);

    void finish(observed_history& history, core::common::time_point now) const;

private:
    struct call
    {
        core::common::time_point sent{};
        core::common::time_point ended{};
        bool served = false;
    };

    static void check_calls(observed_history& history,
                            core::common::time_point now,
                            std::vector<call> const& calls,
                            char const* kind);

    /// Send times of unanswered submissions by job, oldest first.
    std::map<std::string, std::vector<core::common::time_point>>
        pending_submissions_;
    std::vector<call> submissions_;
    std::vector<call> queries_;
};

} // namespace fuchsia::tools::soak
