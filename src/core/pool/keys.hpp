#pragma once

#include <optional>
#include <string>
#include <string_view>

// Keys of the scheduler's state in the store. The claim and the accepted jobs
// share one prefix, so that an owner receives the events of both in one ordered
// sequence: it learns that it has lost its claim before it receives a job that
// was accepted after the loss.
namespace fuchsia::core::pool::keys
{

constexpr std::string_view watched_prefix = "pool/";
constexpr std::string_view claim = "pool/claim";
/// Number of waiting jobs of each queue. The owner writes the key
/// periodically below the prefix that it watches, so a watch that returns no
/// event for a write has stalled.
constexpr std::string_view backlog = "pool/backlog";
constexpr std::string_view job_prefix = "pool/job/";
constexpr std::string_view cancel_suffix = "/cancel";
/// Progress of each job that has started and not ended.
constexpr std::string_view progress_prefix = "progress/";
/// Final state of each ended job.
constexpr std::string_view final_prefix = "final/";
/// Workers that may run tasks. A new owner queries each of them on takeover.
constexpr std::string_view roster = "roster";
/// Interference estimates of images.
constexpr std::string_view interference_estimates = "learned";

inline std::string job(std::string_view id)
{
    return std::string(job_prefix).append(id);
}

inline std::string cancel(std::string_view id)
{
    return job(id).append(cancel_suffix);
}

inline std::string progress(std::string_view id)
{
    return std::string(progress_prefix).append(id);
}

inline std::string final_state(std::string_view id)
{
    return std::string(final_prefix).append(id);
}

} // namespace fuchsia::core::pool::keys
