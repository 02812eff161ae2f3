#pragma once

#include <cstdint>
#include <sys/types.h>

namespace fuchsia::tests::process
{

/// Returns the largest resident memory that the process ever had.
std::uint64_t largest_memory_kb(pid_t process);
/// Returns the number of descriptors that the process has open.
std::uint64_t open_descriptors(pid_t process);

} // namespace fuchsia::tests::process
