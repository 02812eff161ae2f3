#include "adapters/runtime/acceptor.hpp"

#include <utility>

namespace fuchsia::adapters::runtime
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Delay after a failed accept, for example for lack of file descriptors. An
// immediate retry would fail again and keep the thread busy.
constexpr core::common::duration accept_retry_delay =
    std::chrono::milliseconds(50);

} // namespace

acceptor::acceptor(asio::io_context& io) : socket_(io), retry_(io)
{
}

std::optional<ports::endpoint>
acceptor::listen(ports::endpoint const& local_endpoint,
                 core::common::failure& reason,
                 std::optional<int> receive_buffer_bytes)
{
    error_code error;
    auto const address = asio::ip::make_address(local_endpoint.address, error);
    tcp::endpoint const endpoint(address, local_endpoint.port);
    if (!error)
    {
        socket_.open(endpoint.protocol(), error);
    }
    if (!error)
    {
        socket_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error && receive_buffer_bytes)
    {
        error_code ignored;
        socket_.set_option(
            asio::socket_base::receive_buffer_size(*receive_buffer_bytes),
            ignored);
    }
    if (!error)
    {
        socket_.bind(endpoint, error);
    }
    if (!error)
    {
        socket_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        reason = {core::common::result_code::out_of_range,
                  local_endpoint.address + " port " +
                      std::to_string(local_endpoint.port),
                  "can't listen: " + error.message()};
        return std::nullopt;
    }
    return ports::endpoint{local_endpoint.address,
                           socket_.local_endpoint().port()};
}

void acceptor::accept_next(handler handle)
{
    socket_.async_accept(
        [this, handle = std::move(handle)](error_code error, tcp::socket socket)
        {
            if (closed_ || error == asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                handle(std::move(socket));
                return;
            }
            retry_.expires_after(accept_retry_delay);
            retry_.async_wait(
                [this, handle](error_code wait_error)
                {
                    if (!wait_error)
                    {
                        accept_next(handle);
                    }
                });
        });
}

void acceptor::close()
{
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    retry_.cancel();
}

} // namespace fuchsia::adapters::runtime
