#include "core/requests/refusal.hpp"

#include <string>

namespace fuchsia::core::requests
{

using namespace std::chrono_literals;

ports::caller_answer make_refusal(common::result_code code,
                                  common::duration typical_wait,
                                  std::mt19937_64& random)
{
    auto const& row = common::row_of(code);
    ports::caller_answer answer;
    answer.status = row.http_status;
    answer.code = code;
    answer.outcome = row.request_outcome;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = "{\"code\":" + std::to_string(static_cast<unsigned>(code)) +
                  ",\"name\":\"" + std::string(row.name) + "\",\"why\":\"" +
                  std::string(row.meaning) + "\"}";
    if (typical_wait > 0us)
    {
        std::uniform_int_distribution<std::int64_t> spread(
            typical_wait.count() * 3 / 4, typical_wait.count() * 3 / 2);
        answer.retry_after = common::duration(spread(random));
    }
    return answer;
}

common::duration default_retry_after(common::result_code code) noexcept
{
    using enum common::result_code;
    switch (code)
    {
    case over_contract_in_flight:
    case over_contract_rate:
        return 200ms;
    case no_free_slot:
    case deadline_unreachable:
    case queue_full:
    case retry_budget_spent:
        return 250ms;
    case draining:
        return 50ms;
    case no_proof:
    case owner_unreachable:
        return 1s;
    case deadline_passed:
        return 100ms;
    default:
        return 0us;
    }
}

} // namespace fuchsia::core::requests
