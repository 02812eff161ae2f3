#include "adapters/runtime/signals.hpp"

#include <csignal>
#include <memory>
#include <utility>

namespace fuchsia::adapters::runtime
{

void on_stop_signal(boost::asio::io_context& io, std::function<void()> stop)
{
    auto signals =
        std::make_shared<boost::asio::signal_set>(io, SIGTERM, SIGINT);
    signals->async_wait(
        [signals, stop = std::move(stop)](boost::system::error_code error, int)
        {
            if (error)
            {
                return;
            }
            signals->clear();
            stop();
        });
}

} // namespace fuchsia::adapters::runtime
