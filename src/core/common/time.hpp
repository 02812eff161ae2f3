#pragma once

#include <chrono>
#include <cstdint>

namespace fuchsia::core::common
{

using namespace std::chrono_literals;

/// Duration in microseconds, used in every decision and message.
using duration = std::chrono::microseconds;

/// The monotonic clock of the runtime, which tests can pause and advance.
///
/// The core only uses its time points; `now` is passed into every decision. The
/// functions are defined in adapters/runtime/clock.cpp, so that a core which
/// called them would not link without the runtime.
struct clock
{
    using duration = common::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock, duration>;
    static constexpr bool is_steady = true;

    /// Returns the time since an arbitrary start; it never decreases.
    static time_point now() noexcept;

    /// Stops the clock at its current reading. For tests only.
    static void pause() noexcept;

    /// Moves a paused clock forward by `by`. For tests only.
    static void advance(duration by) noexcept;

    /// Lets a paused clock run again from its current reading. For tests only.
    static void resume() noexcept;
};

using time_point = clock::time_point;

/// Returns `length` in whole milliseconds, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration length) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

} // namespace fuchsia::core::common
