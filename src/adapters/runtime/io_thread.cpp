#include "adapters/runtime/io_thread.hpp"

#include <pthread.h>
#include <utility>

namespace fuchsia::adapters::runtime
{

namespace
{
// Maximum length of a thread name in Linux, without the terminating null.
constexpr std::size_t max_thread_name = 15;
} // namespace

io_thread::io_thread(std::string name)
    : name_(std::move(name)), io_(1), work_guard_(io_.get_executor())
{
}

io_thread::~io_thread()
{
    stop();
}

boost::asio::io_context& io_thread::io() noexcept
{
    return io_;
}

void io_thread::start()
{
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

void io_thread::stop()
{
    io_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void io_thread::run()
{
    pthread_setname_np(pthread_self(),
                       name_.substr(0, max_thread_name).c_str());
    io_.run();
}

} // namespace fuchsia::adapters::runtime
