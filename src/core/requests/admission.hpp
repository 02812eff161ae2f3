#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace fuchsia::core::requests
{

/// State of the queue that a new request would join.
struct queue_state
{
    std::size_t requests_ahead =
        0; ///< Requests that would be served before the new one.
    std::size_t requests_waiting = 0; ///< All requests in the queue.
    std::uint32_t slots = 0;          ///< Slots that serve the queue.
    /// Measured average time that a request occupies a slot; 0 without a
    /// sample.
    common::duration service_time{};
};

/// Refuses a request that is not expected to be answered before its deadline.
/// Queueing it would make the caller wait in vain and would occupy an upstream
/// slot that another request could use.
struct deadline_admission
{
    /// Factor applied to the predicted answer time, in thousandths.
    std::uint32_t safety_factor_permille = 1000;
};

/// Policy for comparison with `deadline_admission`: a fixed number of requests
/// may wait, regardless of their deadlines.
struct fixed_bound_admission
{
    std::size_t max_waiting = 100; ///< Maximum number of waiting requests.
};

using admission_policy =
    std::variant<deadline_admission, fixed_bound_admission>;

/// Predicted time until a new request gets a slot.
common::duration predicted_wait(queue_state const& queue) noexcept;

/// Reason to refuse a request whose deadline is `time_left` away; empty if it
/// may join the queue.
std::optional<common::result_code>
admission_refusal(admission_policy const& policy,
                  queue_state const& queue,
                  common::duration time_left) noexcept;

} // namespace fuchsia::core::requests
