#pragma once

#include "adapters/runtime/io_thread.hpp"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <utility>

namespace fuchsia::adapters::runtime
{

/// Bounded queue from one duty to another: one thread pushes, the consumer's
/// thread handles. A full ring says so, and the producer refuses the work it
/// stood for; nothing waits and nothing is dropped unseen.
template<class T>
class ring
{
public:
    using handler = std::function<void(T&)>;

    ring(io_thread& consumer, std::size_t capacity, handler handle)
        : consumer_(consumer), queue_(capacity), handle_(std::move(handle))
    {
    }

    /// False where the ring is full; `value` is then left as it was.
    bool try_push(T& value)
    {
        if (queue_.write_available() == 0)
        {
            return false;
        }
        queue_.push(std::move(value));
        wake();
        return true;
    }

    bool try_push(T&& value)
    {
        return try_push(value);
    }

private:
    // Handlers of other sources get their turn after this many values.
    static constexpr std::size_t batch = 64;

    void wake()
    {
        if (!scheduled_.exchange(true))
        {
            boost::asio::post(consumer_.io(),
                              [this]
                              {
                                  drain();
                              });
        }
    }

    void drain()
    {
        // Cleared before the queue is looked at: a push that comes after the
        // last look then schedules a new turn instead of being forgotten.
        // An exchange, since a plain store may pass the look at the queue.
        scheduled_.exchange(false);
        T value;
        std::size_t handled = 0;
        while (handled < batch && queue_.pop(value))
        {
            handle_(value);
            ++handled;
        }
        if (handled == batch)
        {
            wake();
        }
    }

    io_thread& consumer_;
    boost::lockfree::spsc_queue<T> queue_;
    handler handle_;
    std::atomic<bool> scheduled_{false};
};

} // namespace fuchsia::adapters::runtime
