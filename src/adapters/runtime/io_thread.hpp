#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace fuchsia::adapters::runtime
{

/// One thread with one job: it runs the handlers of its own `io` and touches
/// no other duty's state. Duties talk through rings.
class io_thread
{
public:
    explicit io_thread(std::string name);
    /// Stops and joins.
    ~io_thread();
    io_thread(io_thread const&) = delete;
    io_thread& operator=(io_thread const&) = delete;

    boost::asio::io_context& io() noexcept;
    void start();
    /// Ends the thread after the handler that runs now; pending work is
    /// dropped. Safe to call twice, and from any thread but the duty's own.
    void stop();

private:
    void run();

    std::string name_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    std::thread thread_;
};

} // namespace fuchsia::adapters::runtime
