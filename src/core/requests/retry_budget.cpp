#include "core/requests/retry_budget.hpp"

#include <algorithm>

namespace fuchsia::core::requests
{

namespace
{

constexpr std::uint64_t one_retry = 1000;

struct taker
{
    std::uint32_t tries;

    bool operator()(retry_budget& budget) const noexcept
    {
        if (budget.saved_permille < one_retry)
        {
            return false;
        }
        budget.saved_permille -= one_retry;
        return true;
    }

    bool operator()(fixed_retries const& fixed) const noexcept
    {
        return tries <= fixed.max_retries;
    }
};

} // namespace

void count_first_attempt(retry_policy& policy) noexcept
{
    if (auto* budget = std::get_if<retry_budget>(&policy))
    {
        budget->saved_permille =
            std::min(budget->saved_permille + budget->share_permille,
                     budget->max_saved * one_retry);
    }
}

bool take_retry(retry_policy& policy, std::uint32_t tries) noexcept
{
    return tries < max_attempts && std::visit(taker{tries}, policy);
}

} // namespace fuchsia::core::requests
