#pragma once

#include "core/tasks/change.hpp"
#include "ports/actions.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace fuchsia::core::tasks
{

enum class worker_call_kind : std::uint8_t
{
    start,
    renew,
    throttle,
    checkpoint,
    stop,
    stray_stop, ///< Stop of an attempt that has ended in the log.
};

/// Identifies the purpose of a worker call. The task is empty for a renewal.
struct worker_call_tag
{
    worker_call_kind kind = worker_call_kind::start;
    std::string cell;
    std::string worker;
    task_key task;
    std::uint32_t attempt = 0;
    std::uint64_t number = 0;
};

/// Numbers the calls to workers and keeps the tag of each call in flight. Their
/// number is bounded: each attempt has at most one call in flight and each
/// worker one renewal.
class worker_calls
{
public:
    std::uint64_t send(worker_call_tag tag,
                       ports::worker_operation operation,
                       ports::actions& out);
    /// Removes and returns the tag of an answered call; empty if unknown.
    std::optional<worker_call_tag> take(std::uint64_t number);

private:
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, worker_call_tag> in_flight_;
};

} // namespace fuchsia::core::tasks
