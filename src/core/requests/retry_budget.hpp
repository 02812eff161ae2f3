#pragma once

#include <cstdint>
#include <variant>

namespace fuchsia::core::requests
{

/// Retries may be a share of first tries. A fixed number of retries a request
/// multiplies the load on upstreams just when they fail for too much of it; a
/// share keeps the whole below 1 + share times the offered load.
struct retry_budget
{
    std::uint32_t share_permille = 100;
    std::uint32_t max_saved = 50; ///< Retries saved up in quiet times.
    std::uint64_t saved_permille = 10'000;
};

/// The plain baseline: so many retries for each request.
struct fixed_retries
{
    std::uint32_t max_retries = 2;
};

using retry_policy = std::variant<retry_budget, fixed_retries>;

/// No request is tried more often, whatever the policy.
constexpr std::uint32_t max_attempts = 4;

void count_first_attempt(retry_policy& policy) noexcept;

/// Whether a request that was tried `tries` times may be tried again; takes
/// it from the budget.
bool take_retry(retry_policy& policy, std::uint32_t tries) noexcept;

} // namespace fuchsia::core::requests
