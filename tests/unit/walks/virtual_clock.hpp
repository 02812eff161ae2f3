#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

// Virtual time of a test and its scheduled events.
namespace fuchsia::tests::unit::walks
{

using core::common::duration;
using core::common::time_point;

class virtual_clock
{
public:
    using event = std::function<void()>;

    time_point now() const noexcept
    {
        return now_;
    }

    void after(duration wait, event action)
    {
        events_.push({now_ + wait, ++last_, std::move(action)});
    }

    /// Runs the next event. If it is later than `until`, or there is none, sets
    /// the time to `until` and returns false.
    bool step(time_point until)
    {
        if (events_.empty() || events_.top().when > until)
        {
            now_ = until;
            return false;
        }
        // std::priority_queue does not allow moving its top element out, so it
        // is copied.
        auto const next = events_.top();
        events_.pop();
        now_ = next.when;
        next.action();
        return true;
    }

    void run(duration length)
    {
        time_point const until = now_ + length;
        while (step(until))
        {
        }
    }

private:
    struct entry
    {
        time_point when;
        std::uint64_t order = 0;
        event action;

        bool operator<(entry const& other) const noexcept
        {
            return std::pair(other.when, other.order) < std::pair(when, order);
        }
    };

    std::priority_queue<entry> events_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t last_ = 0;
};

} // namespace fuchsia::tests::unit::walks
