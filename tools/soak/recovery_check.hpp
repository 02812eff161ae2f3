#pragma once

#include "tools/soak/observed_history.hpp"

#include <map>
#include <string>
#include <vector>

// Whether callers are served again after the last trouble.
namespace fuchsia::tools::soak
{

/// Checks `recovery`, for submissions and for questions separately.
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

    /// When the sendings under way began, by job, the oldest first.
    std::map<std::string, std::vector<core::common::time_point>> pending_submissions_;
    std::vector<call> submissions_;
    std::vector<call> queries_;
};

} // namespace fuchsia::tools::soak
