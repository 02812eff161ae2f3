#include "core/requests/admission.hpp"

namespace fuchsia::core::requests
{

namespace
{

using common::result_code;

struct verdict
{
    queue_state const& view;
    common::duration left;

    std::optional<result_code>
    operator()(deadline_admission const& policy) const noexcept
    {
        auto const answer = predicted_wait(view) + view.service_time;
        if (answer * policy.safety_factor_permille / 1000 > left)
        {
            return result_code::deadline_unreachable;
        }
        return std::nullopt;
    }

    std::optional<result_code>
    operator()(fixed_bound_admission const& policy) const noexcept
    {
        if (view.requests_waiting >= policy.max_waiting)
        {
            return result_code::queue_full;
        }
        return std::nullopt;
    }
};

} // namespace

common::duration predicted_wait(queue_state const& view) noexcept
{
    if (view.slots == 0)
    {
        return common::duration::max() / 1'000'000;
    }
    auto const turns = static_cast<std::int64_t>(view.requests_ahead + 1);
    return view.service_time * turns / view.slots;
}

std::optional<common::result_code>
admission_refusal(admission_policy const& policy,
                  queue_state const& view,
                  common::duration left) noexcept
{
    if (view.slots == 0)
    {
        return result_code::no_free_slot;
    }
    return std::visit(verdict{view, left}, policy);
}

} // namespace fuchsia::core::requests
