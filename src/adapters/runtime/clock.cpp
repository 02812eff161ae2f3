#include "core/common/time.hpp"

#include <atomic>
#include <ctime>

namespace fuchsia::core::common
{

namespace
{

// Readings of a paused clock, in microseconds; negative: the clock runs.
std::atomic<clock::rep> paused_at{-1};
// What pauses have taken from the clock's reading.
std::atomic<clock::rep> lag{0};

constexpr clock::rep microseconds_in_second = 1'000'000;
constexpr clock::rep nanoseconds_in_microsecond = 1'000;

// The steady clock stands still while a virtual machine is suspended: a member
// that wakes would take its proof for a young one and act beside whoever took
// over. This one counts the time asleep, so the pause is seen.
clock::rep machine_reading() noexcept
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return reading.tv_sec * microseconds_in_second +
           reading.tv_nsec / nanoseconds_in_microsecond;
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
