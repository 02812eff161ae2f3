#include "ports/workers.hpp"

namespace fuchsia::ports
{

resources& resources::operator+=(resources const& other) noexcept
{
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(resources const& other) noexcept
{
    millicores -= other.millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

bool resources::covers(resources const& wanted) const noexcept
{
    return wanted.millicores <= millicores && wanted.memory_mb <= memory_mb &&
           wanted.accelerators <= accelerators;
}

} // namespace fuchsia::ports
