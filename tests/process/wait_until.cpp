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

bool wait_until(std::function<bool()> const& wanted)
{
    auto const until = std::chrono::steady_clock::now() + wait_limit;
    while (!wanted())
    {
        if (std::chrono::steady_clock::now() > until)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace fuchsia::tests::process
