#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "ports/requests.hpp"

#include <random>
#include <string_view>

namespace fuchsia::core::requests
{

/// Answer of this entry to a request that gets none from an upstream.
/// `typical_wait` is the time after which a retry may succeed; zero: never. The
/// caller gets a random time around it, so that callers refused at the same
/// time don't all retry at the same time.
ports::caller_answer make_refusal(common::result_code code,
                                  common::duration typical_wait,
                                  std::mt19937_64& random);

/// Typical time after which a request refused with this code may succeed; zero:
/// never.
common::duration default_retry_after(common::result_code code) noexcept;

} // namespace fuchsia::core::requests
