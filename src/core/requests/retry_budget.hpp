#pragma once

#include <cstdint>
#include <variant>

namespace fuchsia::core::requests
{

/// Limits retries to a share of the first attempts. A fixed number of retries
/// per request multiplies the load on upstreams at the time when they fail from
/// overload; a share keeps the total load below (1 + share) times the offered
/// load.
struct retry_budget
{
    std::uint32_t share_permille = 100; ///< Retries per 1000 first attempts.
    std::uint32_t max_saved = 50; ///< Maximum number of unused retries kept.
    std::uint64_t saved_permille =
        10'000; ///< Unused retries, in thousandths of a retry.
};

/// Baseline for comparison: a fixed maximum number of retries per request.
struct fixed_retries
{
    std::uint32_t max_retries = 2;
};

using retry_policy = std::variant<retry_budget, fixed_retries>;

/// Maximum number of attempts per request under any policy.
constexpr std::uint32_t max_attempts = 4;

/// Adds the share of a retry that a first attempt earns to the budget.
void count_first_attempt(retry_policy& policy) noexcept;

/// Whether a request that has had `attempts` attempts may be retried. Takes the
/// retry from the budget if so.
bool take_retry(retry_policy& policy, std::uint32_t attempts) noexcept;

} // namespace fuchsia::core::requests
