#pragma once

#include <functional>

namespace fuchsia::tests::process
{

/// Waits until `wanted` holds, at most a minute; whether it does.
bool wait_until(std::function<bool()> const& wanted);

} // namespace fuchsia::tests::process
