#pragma once

#include "ports/identity.hpp"

#include <cstdint>
#include <sys/types.h>

namespace fuchsia::tests::process
{

/// Returns the largest resident memory that the process ever had.
std::uint64_t largest_memory_kb(pid_t process);
/// Returns the number of descriptors that the process has open.
std::uint64_t open_descriptors(pid_t process);

/// Returns the number of bytes that the system has received for the connections
/// at this IPv4 endpoint and that their process hasn't read.
std::uint64_t unread_bytes(ports::endpoint const& server);

} // namespace fuchsia::tests::process
