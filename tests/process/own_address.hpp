#pragma once

#include "standins/common/process_address.hpp"

namespace fuchsia::tests::process
{

using standins::next_loopback_port;
using standins::process_loopback_address;

} // namespace fuchsia::tests::process
