#include "adapters/runtime/duty.hpp"

#include <pthread.h>
#include <utility>

namespace fuchsia::adapters::runtime
{

namespace
{
// The kernel's bound on a thread's name, without the closing zero.
constexpr std::size_t max_thread_name = 15;
} // namespace

duty::duty(std::string name)
    : name_(std::move(name)), io_(1), work_(io_.get_executor())
{
}

duty::~duty()
{
    stop();
}

boost::asio::io_context& duty::io() noexcept
{
    return io_;
}

void duty::start()
{
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

void duty::stop()
{
    io_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void duty::run()
{
    pthread_setname_np(pthread_self(),
                       name_.substr(0, max_thread_name).c_str());
    io_.run();
}

} // namespace fuchsia::adapters::runtime
