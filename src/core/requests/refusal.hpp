#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "ports/requests.hpp"

#include <random>
#include <string_view>

namespace fuchsia::core::requests
{

/// Our own answer to a request that gets none from an upstream. `wait` is when
/// it may pass; zero: never. The caller is told a random time around it, so
/// that all who were refused together don't return together.
ports::caller_answer make_refusal(common::result_code code,
                                  common::duration wait,
                                  std::mt19937_64& random);

/// How long a refusal of this kind usually lasts.
common::duration default_retry_after(common::result_code code) noexcept;

} // namespace fuchsia::core::requests
