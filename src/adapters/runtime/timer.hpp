#pragma once

#include "core/common/time.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

namespace fuchsia::adapters::runtime
{

/// Asio timer on `core::common::clock`, so that a test that pauses the clock
/// also pauses the timers.
using timer = boost::asio::basic_waitable_timer<core::common::clock>;

} // namespace fuchsia::adapters::runtime
