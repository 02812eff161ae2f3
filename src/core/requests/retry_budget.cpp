#include "core/requests/retry_budget.hpp"

#include <algorithm>

namespace fuchsia::core::requests
{

namespace
{

constexpr std::uint64_t permille_per_retry = 1000;

struct retry_check
{
    std::uint32_t attempts;

    bool operator()(retry_budget& budget) const noexcept
    {
        if (budget.saved_permille < permille_per_retry)
        {
            return false;
        }
        budget.saved_permille -= permille_per_retry;
        return true;
    }

    bool operator()(fixed_retries const& fixed) const noexcept
    {
        return attempts <= fixed.max_retries;
    }
};

} // namespace

void count_first_attempt(retry_policy& policy) noexcept
{
    if (auto* budget = std::get_if<retry_budget>(&policy))
    {
        budget->saved_permille =
            std::min(budget->saved_permille + budget->share_permille,
                     budget->max_saved * permille_per_retry);
    }
}

bool take_retry(retry_policy& policy, std::uint32_t attempts) noexcept
{
    return attempts < max_attempts && std::visit(retry_check{attempts}, policy);
}

} // namespace fuchsia::core::requests
