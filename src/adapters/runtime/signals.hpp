#pragma once

#include <boost/asio/signal_set.hpp>
#include <functional>

namespace fuchsia::adapters::runtime
{

/// Calls `stop` once, on `io`, for the first SIGTERM or SIGINT. A second signal
/// terminates the process at once with the default action of the signal.
void on_stop_signal(boost::asio::io_context& io, std::function<void()> stop);

/// Calls `reload` on `io` for every SIGHUP.
void on_reload_signal(boost::asio::io_context& io,
                      std::function<void()> const& reload);

} // namespace fuchsia::adapters::runtime
