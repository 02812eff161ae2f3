#pragma once

#include <optional>
#include <string>
#include <string_view>

// Where the scheduler's state lies in the store. The claim and the accepted
// jobs share one prefix on purpose: an owner watches both in one sequence, so
// it can't learn of a job that was accepted after it had lost its claim
// without learning of the loss first.
namespace fuchsia::core::pool::keys
{

constexpr std::string_view owned_prefix = "pool/";
constexpr std::string_view claim = "pool/claim";
/// An instance that could schedule more asks the owner for the claim.
constexpr std::string_view handover = "pool/handover";
/// How many jobs of each queue wait. Written all the time, and watched with the
/// jobs: a watch that does not tell of it is deaf.
constexpr std::string_view backlog = "pool/backlog";
constexpr std::string_view job_prefix = "pool/job/";
constexpr std::string_view cancel_suffix = "/cancel";
constexpr std::string_view progress_prefix = "progress/";
constexpr std::string_view final_prefix = "final/";
/// Workers that may hold tasks: who takes over asks each of them.
constexpr std::string_view roster = "roster";
/// What owners learned of images.
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
