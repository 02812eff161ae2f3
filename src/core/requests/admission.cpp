#include "core/requests/admission.hpp"

namespace fuchsia::core::requests
{

namespace
{

using common::result_code;

struct policy_check
{
    queue_state const& queue;
    common::duration time_left;

    std::optional<result_code>
    operator()(deadline_admission const& policy) const noexcept
    {
        auto const time_to_answer = predicted_wait(queue) + queue.service_time;
        if (time_to_answer * policy.safety_factor_permille / 1000 > time_left)
        {
            return result_code::deadline_unreachable;
        }
        return std::nullopt;
    }

    std::optional<result_code>
    operator()(fixed_bound_admission const& policy) const noexcept
    {
        if (queue.requests_waiting >= policy.max_waiting)
        {
            return result_code::queue_full;
        }
        return std::nullopt;
    }
};

} // namespace

common::duration predicted_wait(queue_state const& queue) noexcept
{
    if (queue.slots == 0)
    {
        return common::duration::max() / 1'000'000;
    }
    auto const position = static_cast<std::int64_t>(queue.requests_ahead + 1);
    return queue.service_time * position / queue.slots;
}

std::optional<common::result_code>
admission_refusal(admission_policy const& policy,
                  queue_state const& queue,
                  common::duration time_left) noexcept
{
    if (queue.slots == 0)
    {
        return result_code::no_free_slot;
    }
    return std::visit(policy_check{queue, time_left}, policy);
}

} // namespace fuchsia::core::requests
