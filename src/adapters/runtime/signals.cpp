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

namespace
{

void wait_for_reload(std::shared_ptr<boost::asio::signal_set> const& signals,
                     std::function<void()> const& reload)
{
    signals->async_wait(
        [signals, reload](boost::system::error_code error, int)
        {
            if (error)
            {
                return;
            }
            reload();
            wait_for_reload(signals, reload);
        });
}

} // namespace

void on_reload_signal(boost::asio::io_context& io,
                      std::function<void()> const& reload)
{
    wait_for_reload(std::make_shared<boost::asio::signal_set>(io, SIGHUP),
                    reload);
}

} // namespace fuchsia::adapters::runtime
