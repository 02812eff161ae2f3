#pragma once

#include <optional>
#include <string>
#include <string_view>

// Keys of the scheduler's state in the store. The claim and the accepted jobs
// share one prefix on purpose: an owner watches both in one ordered sequence,
// so it learns of the loss of its claim before any job accepted after that
// loss.
namespace fuchsia::core::pool::keys
{

constexpr std::string_view owned_prefix = "pool/";
constexpr std::string_view claim = "pool/claim";
/// Request of an instance with more capacity to take over the owner's claim.
constexpr std::string_view handover = "pool/handover";
/// Number of waiting jobs of each queue. The key is written continually and
/// watched together with the jobs: a watch that does not report the writes has
/// stalled.
constexpr std::string_view backlog = "pool/backlog";
constexpr std::string_view job_prefix = "pool/job/";
constexpr std::string_view cancel_suffix = "/cancel";
constexpr std::string_view progress_prefix = "progress/";
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
