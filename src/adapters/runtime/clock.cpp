#include "core/common/time.hpp"

#include <atomic>
#include <ctime>

namespace fuchsia::core::common
{

namespace
{

// Time of the paused clock in microseconds; negative while the clock runs.
std::atomic<clock::rep> paused_reading{-1};
// Microseconds by which pauses have set the clock back behind the boot time.
std::atomic<clock::rep> pause_offset{0};

constexpr clock::rep microseconds_in_second = 1'000'000;
constexpr clock::rep nanoseconds_in_microsecond = 1'000;

// Returns the time since boot in microseconds. The steady clock stops while a
// virtual machine is suspended: a member that resumes would consider its last
// proof of membership recent and act concurrently with its successor. The
// boot-time clock includes the time in suspension, so the member detects the
// pause.
clock::rep read_boot_time() noexcept
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return ts.tv_sec * microseconds_in_second +
           ts.tv_nsec / nanoseconds_in_microsecond;
}

} // namespace

clock::time_point clock::now() noexcept
{
    auto const paused = paused_reading.load();
    if (paused >= 0)
    {
        return time_point(duration(paused));
    }
    return time_point(duration(read_boot_time() - pause_offset.load()));
}

void clock::pause() noexcept
{
    paused_reading = now().time_since_epoch().count();
}

void clock::advance(duration by) noexcept
{
    paused_reading += by.count();
}

void clock::resume() noexcept
{
    pause_offset = read_boot_time() - paused_reading.load();
    paused_reading = -1;
}

} // namespace fuchsia::core::common
