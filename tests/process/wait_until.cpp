#include "process/wait_until.hpp"

#include <chrono>
#include <thread>

namespace fuchsia::tests::process
{

namespace
{

using namespace std::chrono_literals;

constexpr auto wait_limit = 60s;
constexpr auto poll_interval = 20ms;

} // namespace

bool wait_until(std::function<bool()> const& condition)
{
    auto const deadline = std::chrono::steady_clock::now() + wait_limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace fuchsia::tests::process
