#pragma once

#include "core/common/time.hpp"

#include <algorithm>

namespace fuchsia::standins::platform
{

/// Token bucket: `per_second` calls a second, at most one second's worth at
/// once.
class call_rate
{
public:
    explicit call_rate(double per_second)
        : per_second_(per_second), tokens_(per_second)
    {
    }

    /// Takes one call's token; false where the bound is reached.
    bool admit(core::common::time_point now)
    {
        std::chrono::duration<double> const gone = now - filled_;
        tokens_ = std::min(per_second_, tokens_ + gone.count() * per_second_);
        filled_ = now;
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
    core::common::time_point filled_{};
};

} // namespace fuchsia::standins::platform
