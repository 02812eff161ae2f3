#pragma once

#include "core/common/time.hpp"
#include "ports/actions.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace fuchsia::core::tasks
{

/// Purpose of a store call of the planner's task management.
enum class call_owner : std::uint8_t
{
    log,           ///< Takeover, append and read-back of a cell's log.
    snapshot,      ///< A cell's snapshot.
    inbox,         ///< Watch on all inboxes.
    inbox_message, ///< Write of a message to another cell's inbox.
    job_requests,  ///< Submission, cancellation and listing of jobs.
    quota,
    load, ///< Free capacity published by every planner.
    erase,
    sweep,
};

constexpr std::size_t call_owner_count = 9;

/// Identifies a store call and its purpose. `name` is that of a cell, a
/// customer, a job or a member.
struct call_tag
{
    call_owner owner = call_owner::log;
    std::string name;
    std::uint64_t number = 0; ///< Number of the call.
};

struct store_call_settings
{
    /// Maximum rate of writes by the task management of one planner. Nine
    /// planners share a store that accepts several hundred writes per second.
    double writes_per_second = 40;
    /// Maximum number of writes in a burst.
    double write_burst = 40;
};

/// Numbers the store calls of the task management, keeps the tag of each call
/// in flight and limits the rate of writes. The adapter answers each call
/// exactly once, so the number of tags is bounded by the calls in flight, of
/// which each owner has one or two.
class store_calls
{
public:
    explicit store_calls(store_call_settings settings);

    /// Takes one write from the rate limit and returns true, or returns false
    /// if the caller must retry at a later tick.
    bool may_write(common::time_point now);

    std::uint64_t send(call_owner owner,
                       std::string name,
                       ports::store_operation operation,
                       ports::actions& out);
    /// Removes and returns the tag of an answered call; empty if unknown.
    std::optional<call_tag> take(ports::call_id id);

    /// Number of calls sent so far, for the metrics.
    std::uint64_t count(call_owner owner) const noexcept;
    std::size_t in_flight() const noexcept;

private:
    store_call_settings settings_;
    double tokens_;
    common::time_point refilled_at_{};
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, call_tag> in_flight_calls_;
    std::array<std::uint64_t, call_owner_count> counts_{};
};

std::string_view name_of(call_owner value) noexcept;

} // namespace fuchsia::core::tasks
