#pragma once

#include "standins/common/own_address.hpp"

namespace fuchsia::tests::process
{

using standins::next_port;
using standins::own_address;

} // namespace fuchsia::tests::process
