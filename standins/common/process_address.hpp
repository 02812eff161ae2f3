#pragma once

#include <cstdint>
#include <string>
#include <unistd.h>

namespace fuchsia::standins
{

/// Returns a loopback address derived from the process id, so that tests that
/// run at the same time cannot take each other's ports.
inline std::string process_loopback_address()
{
    auto const id = static_cast<std::uint32_t>(::getpid());
    return "127." + std::to_string(200 + id / 65'536 % 32) + "." +
           std::to_string(id / 256 % 256) + "." + std::to_string(id % 256);
}

/// Returns the next unused port of the process's loopback address, from 20,001
/// upwards.
inline std::uint16_t next_loopback_port()
{
    static std::uint16_t next = 20'000;
    return ++next;
}

} // namespace fuchsia::standins
