#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace fuchsia::core::requests
{

/// What admission goes by when no slot is free.
struct queue_state
{
    std::size_t requests_ahead =
        0; ///< Requests that would be served before it.
    std::size_t requests_waiting = 0; ///< All that wait.
    std::uint32_t slots = 0;          ///< Slots that serve the queue.
    common::duration service_time{};  ///< Average seen; 0: none yet.
};

/// Refuses what would not be answered before its deadline. Waiting in vain
/// costs the caller its time and the upstream a slot that another could use.
struct deadline_admission
{
    /// The prediction is taken times this, in thousandths.
    std::uint32_t safety_factor_permille = 1000;
};

/// The plain baseline: a fixed number may wait, whatever their deadlines.
struct fixed_bound_admission
{
    std::size_t max_waiting = 100;
};

using admission_policy =
    std::variant<deadline_admission, fixed_bound_admission>;

/// Time until a newcomer gets a slot.
common::duration predicted_wait(queue_state const& view) noexcept;

/// Why a request with `left` until its deadline may not join the queue; empty
/// where it may.
std::optional<common::result_code>
admission_refusal(admission_policy const& policy,
                  queue_state const& view,
                  common::duration left) noexcept;

} // namespace fuchsia::core::requests
