#include "core/common/time.hpp"

#include <atomic>

namespace fuchsia::core::common
{

namespace
{

// Readings of a paused clock, in microseconds; negative: the clock runs.
std::atomic<clock::rep> paused_at{-1};
// What pauses have taken from the clock's reading.
std::atomic<clock::rep> lag{0};

clock::rep machine_reading() noexcept
{
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(since).count();
}

} // namespace

clock::time_point clock::now() noexcept
{
    auto const paused = paused_at.load();
    if (paused >= 0)
    {
        return time_point(duration(paused));
    }
    return time_point(duration(machine_reading() - lag.load()));
}

void clock::pause() noexcept
{
    paused_at = now().time_since_epoch().count();
}

void clock::advance(duration by) noexcept
{
    paused_at += by.count();
}

void clock::resume() noexcept
{
    lag = machine_reading() - paused_at.load();
    paused_at = -1;
}

} // namespace fuchsia::core::common
