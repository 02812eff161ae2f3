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

/// Which module of the tasks part a store call belongs to.
enum class call_owner : std::uint8_t
{
    log,           ///< A cell's log: take over, append, read back.
    snapshot,      ///< A cell's snapshot.
    inbox,         ///< The watch on all inboxes.
    inbox_message, ///< A parcel's way into another cell's inbox.
    job_requests,  ///< Submissions, cancellations and lists asked by operators.
    quota,
    load, ///< Free capacity published by every planner.
    erase,
    sweep,
};

constexpr std::size_t call_owner_count = 9;

/// Whose call it is; `name` is a cell, a customer or a job.
struct call_tag
{
    call_owner owner = call_owner::log;
    std::string name;
    std::uint64_t number = 0; ///< Of the call itself.
};

struct store_call_settings
{
    /// Writes a second that the tasks part of one planner may make. Nine
    /// planners share a store that takes several hundred.
    double writes_per_second = 40;
    double write_burst = 40;
};

/// Numbers the store calls of the tasks part, remembers who asked, and keeps
/// its writes within a rate. A call is answered exactly once by the adapter,
/// so what is remembered is bounded by the calls in flight, each of whose
/// owners has one or two.
class store_calls
{
public:
    explicit store_calls(store_call_settings settings);

    /// Takes one write from the budget. False: try again at a later tick.
    bool may_write(common::time_point now);

    std::uint64_t send(call_owner owner,
                       std::string name,
                       ports::store_operation operation,
                       ports::actions& out);
    std::optional<call_tag> take(ports::call_id id);

    /// Calls made so far, for the metrics.
    std::uint64_t count(call_owner owner) const noexcept;
    std::size_t in_flight() const noexcept;

private:
    store_call_settings settings_;
    double tokens_;
    common::time_point filled_{};
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, call_tag> waiting_;
    std::array<std::uint64_t, call_owner_count> counts_{};
};

std::string_view name_of(call_owner value) noexcept;

} // namespace fuchsia::core::tasks
