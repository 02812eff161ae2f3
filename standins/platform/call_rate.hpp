#pragma once

#include "core/common/time.hpp"

#include <algorithm>

namespace fuchsia::standins::platform
{

/// Token bucket that admits `per_second` calls per second, with bursts of at
/// most one second's calls.
class call_rate
{
public:
    explicit call_rate(double per_second)
        : per_second_(per_second), tokens_(per_second)
    {
    }

    /// Consumes the token of one call. Returns false if the rate limit is
    /// reached.
    bool admit(core::common::time_point now)
    {
        std::chrono::duration<double> const elapsed = now - last_refill_;
        tokens_ =
            std::min(per_second_, tokens_ + elapsed.count() * per_second_);
        last_refill_ = now;
        if (tokens_ < 1.0)
        {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    double per_second_;
    double tokens_;
    core::common::time_point last_refill_{};
};

} // namespace fuchsia::standins::platform
