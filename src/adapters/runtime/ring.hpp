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

/// Bounded queue from one thread to another: a single producer thread pushes
/// values, and the consumer thread handles them. A push to a full ring fails
/// and the producer refuses the corresponding work, so that no thread blocks
/// and no value is dropped silently.
template<class T>
class ring
{
public:
    using handler = std::function<void(T&)>;

    ring(io_thread& consumer, std::size_t capacity, handler handle)
        : consumer_(consumer), queue_(capacity), handle_(std::move(handle))
    {
    }

    /// Returns false and leaves `value` unchanged if the ring is full.
    bool try_push(T& value)
    {
        if (queue_.write_available() == 0)
        {
            return false;
        }
        queue_.push(std::move(value));
        schedule_drain();
        return true;
    }

    bool try_push(T&& value)
    {
        return try_push(value);
    }

private:
    // Maximum number of values handled before other handlers of the thread run.
    static constexpr std::size_t max_batch = 64;

    void schedule_drain()
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
        // The flag is cleared before the queue is read, so that a push after
        // the last read schedules another drain and its value is not missed.
        // This is an exchange because a plain store could be reordered after
        // the read of the queue.
        scheduled_.exchange(false);
        T value;
        std::size_t handled = 0;
        while (handled < max_batch && queue_.pop(value))
        {
            handle_(value);
            ++handled;
        }
        if (handled == max_batch)
        {
            schedule_drain();
        }
    }

    io_thread& consumer_;
    boost::lockfree::spsc_queue<T> queue_;
    handler handle_;
    std::atomic<bool> scheduled_{false};
};

} // namespace fuchsia::adapters::runtime
