#pragma once

#include "core/common/time.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

namespace fuchsia::adapters::runtime
{

/// Asio timer on the runtime's clock, so that a test which pauses the clock
/// pauses the timers too.
using timer = boost::asio::basic_waitable_timer<core::common::clock>;

} // namespace fuchsia::adapters::runtime
