#pragma once

#include <functional>

namespace fuchsia::tests::process
{

/// Waits until `condition` holds, for at most a minute. Returns whether it
/// holds.
bool wait_until(std::function<bool()> const& condition);

} // namespace fuchsia::tests::process
