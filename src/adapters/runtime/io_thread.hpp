#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace fuchsia::adapters::runtime
{

/// A thread that runs the handlers of its own `io_context`. The handlers must
/// not access the state of other threads; threads exchange values through
/// `ring` queues.
class io_thread
{
public:
    /// The first 15 characters of `name` become the name of the thread.
    explicit io_thread(std::string name);
    /// Stops and joins the thread.
    ~io_thread();
    io_thread(io_thread const&) = delete;
    io_thread& operator=(io_thread const&) = delete;

    boost::asio::io_context& io() noexcept;
    void start();
    /// Ends the thread after the current handler and waits for its end. Pending
    /// handlers do not run. May be called more than once, but neither
    /// concurrently nor from this thread.
    void stop();

private:
    void run();

    std::string name_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_guard_;
    std::thread thread_;
};

} // namespace fuchsia::adapters::runtime
